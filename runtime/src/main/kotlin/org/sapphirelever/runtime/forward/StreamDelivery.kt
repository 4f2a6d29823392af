/*
 * Delivery of an event stream from targets to the caller. Only complete events are forwarded, so
 * that another target can resume the stream after the last one.
 */
package org.sapphirelever.runtime.forward

import org.sapphirelever.runtime.transport.Framing
import org.sapphirelever.runtime.transport.MessageMemory
import org.sapphirelever.runtime.transport.TornMessageException

/**
 * Writes events to [response]; [lastEventId] is the id of the last event that the caller has, and
 * [memory] holds incomplete events.
 */
public class StreamDelivery(
    private val response: CallerResponse,
    private val protocol: ForwardProtocol,
    private val memory: MessageMemory,
    lastEventId: String?
) {
    public var lastEventId: String? = lastEventId
        private set

    /** The first response of the stream, whose head the caller has. */
    private var first: OpenResponse? = null

    /** Whether [source] is a stream of the same form as the one that it would continue, if any. */
    public fun mayContinueWith(source: OpenResponse): Boolean {
        val begun = first ?: return true
        val hasLength = source.framing is Framing.Length
        if (hasLength != (begun.framing is Framing.Length)) return false
        val mediaType = source.mediaType ?: return true
        return mediaType == begun.mediaType
    }

    /**
     * Writes the events of [source] as they arrive; [onEvents] runs before each write. Throws
     * [TornMessageException] if the stream ends inside an event, whatever its framing says.
     */
    public suspend fun deliver(source: OpenResponse, onEvents: () -> Unit) {
        memory.claim().use { deliver(source, EventSplitter(it), onEvents) }
    }

    private suspend fun deliver(
        source: OpenResponse,
        splitter: EventSplitter,
        onEvents: () -> Unit
    ) {
        while (true) {
            val part = source.body.next() ?: break
            val events = splitter.add(part).filterNot { isDelivered(it) }
            if (first != null && source !== first && events.any { lacksId(it) }) {
                throw TornMessageException("event without an id in a resumed stream")
            }
            if (events.isEmpty()) continue
            onEvents()
            write(source, events.map { it.bytes }.reduce { all, bytes -> all + bytes })
            lastEventId = events.lastOrNull { it.id != null }?.id ?: lastEventId
        }
        if (splitter.rest.isNotEmpty()) throw TornMessageException("stream ended inside an event")
        if (!response.hasStarted) write(source, ByteArray(0))
        response.endStream()
    }

    private suspend fun write(source: OpenResponse, bytes: ByteArray) {
        if (response.hasStarted) {
            response.sendChunk(bytes)
        } else {
            first = source
            response.startStream(protocol.callerHead(source.head), bytes)
        }
    }

    /** Whether [event] could be an error in place of the events with ids that came before. */
    private fun lacksId(event: StreamEvent): Boolean =
        event.id == null && lastEventId != null && !event.isComment

    private val OpenResponse.mediaType: String?
        get() = head.headers["Content-Type"]?.substringBefore(';')?.trim()?.lowercase()

    /** Whether the caller already received [event], which a resuming target may repeat. */
    private fun isDelivered(event: StreamEvent): Boolean {
        val lastNumber = lastEventId?.toLongOrNull() ?: return false
        val number = event.id?.toLongOrNull() ?: return false
        return number <= lastNumber
    }
}
