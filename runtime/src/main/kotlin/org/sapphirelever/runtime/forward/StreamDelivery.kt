/*
 * A stream of events on its way from targets to the caller. Only whole events are passed on, so
 * that another target can continue after the last one.
 */
package org.sapphirelever.runtime.forward

/** Passes events to [answer]; [lastEvent] is the identity of the last one that the caller has. */
public class StreamDelivery(
    private val answer: CallerAnswer,
    private val protocol: ForwardProtocol,
    lastEvent: String?
) {
    public var lastEvent: String? = lastEvent
        private set

    /** Passes the events of [response] on as they arrive; [onFirst] runs at the first of them. */
    public suspend fun deliver(response: OpenResponse, onFirst: () -> Unit) {
        val splitter = EventSplitter()
        var first = true
        while (true) {
            val part = response.body.next() ?: break
            val events = splitter.add(part).filterNot { isKnown(it) }
            if (events.isEmpty()) continue
            if (first) onFirst()
            first = false
            pass(response, events.map { it.bytes }.reduce { all, bytes -> all + bytes })
            lastEvent = events.lastOrNull { it.id != null }?.id ?: lastEvent
        }
        if (!answer.hasBegun || splitter.rest.isNotEmpty()) pass(response, splitter.rest)
        answer.end()
    }

    private suspend fun pass(response: OpenResponse, bytes: ByteArray) {
        if (answer.hasBegun) {
            answer.part(bytes)
        } else {
            answer.begin(protocol.answered(response.head), bytes)
        }
    }

    /** Whether the caller has this event, which a target that continues must not send again. */
    private fun isKnown(event: StreamEvent): Boolean {
        val last = lastEvent?.toLongOrNull() ?: return false
        val number = event.id?.toLongOrNull() ?: return false
        return number <= last
    }
}
