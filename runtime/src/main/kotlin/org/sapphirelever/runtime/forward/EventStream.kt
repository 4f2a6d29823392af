/*
 * Splitter of a byte stream into server-sent events, so that only complete events are forwarded.
 */
package org.sapphirelever.runtime.forward

import org.sapphirelever.runtime.transport.MemoryClaim
import org.sapphirelever.runtime.transport.OversizedMessageException

/**
 * One complete event including its terminating blank line, with its id if it has one.
 *
 * @property isComment whether it consists of comments only, which keep a connection open
 */
public class StreamEvent(
    public val bytes: ByteArray,
    public val id: String?,
    public val isComment: Boolean
)

/** Splits the parts of a body into events; [claim] holds an incomplete event. Not thread-safe. */
public class EventSplitter(private val claim: MemoryClaim) {
    private var pending = ByteArray(0)

    /** Bytes after the last complete event. */
    public val rest: ByteArray get() = pending

    /**
     * Appends [part] and returns the events that it completes. Throws [OversizedMessageException]
     * if the incomplete event after them is larger than any event should be.
     */
    public fun add(part: ByteArray): List<StreamEvent> {
        claim.resize(pending.size.toLong() + part.size)
        val bytes = pending + part
        val events = mutableListOf<StreamEvent>()
        var start = 0
        while (true) {
            val end = endOfEvent(bytes, start)
            if (end < 0) break
            events += eventOf(bytes.copyOfRange(start, end))
            start = end
        }
        pending = if (start == 0) bytes else bytes.copyOfRange(start, bytes.size)
        if (pending.size > MAXIMUM_EVENT_BYTES) {
            throw OversizedMessageException("event", MAXIMUM_EVENT_BYTES.toLong())
        }
        claim.resize(pending.size.toLong())
        return events
    }

    /** Index after the blank line that ends the event at [start], or -1 if it is incomplete. */
    private fun endOfEvent(bytes: ByteArray, start: Int): Int {
        var lineStart = start
        for (index in start until bytes.size) {
            if (bytes[index] != LINE_FEED) continue
            val isBlank =
                index == lineStart ||
                    (index == lineStart + 1 && bytes[lineStart] == CARRIAGE_RETURN)
            if (isBlank && lineStart > start) return index + 1
            lineStart = index + 1
        }
        return -1
    }

    private fun eventOf(bytes: ByteArray): StreamEvent {
        // An id is sent in a head, which keeps each byte as a character.
        val text = bytes.toString(Charsets.ISO_8859_1)
        val lines = text.lineSequence().filter { it.isNotBlank() }.toList()
        val id = lines.lastOrNull { it.startsWith(ID_FIELD) }?.removePrefix(ID_FIELD)
            ?.trim(' ', '\t')
        return StreamEvent(bytes, id, lines.all { it.startsWith(COMMENT) })
    }

    private companion object {
        /** Many times the size of an event, which holds a few tokens. */
        const val MAXIMUM_EVENT_BYTES = 1_048_576
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
        const val COMMENT = ":"
    }
}
