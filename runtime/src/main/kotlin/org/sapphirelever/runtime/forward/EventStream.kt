/*
 * Server-sent events cut out of a stream of bytes, so that only whole events are passed on.
 */
package org.sapphirelever.runtime.forward

import java.io.ByteArrayOutputStream

/** One whole event with the blank line that ends it, and its identity if it has one. */
public class StreamEvent(public val bytes: ByteArray, public val id: String?)

/** Cuts events out of parts of a body. Not safe for use by several tasks. */
public class EventSplitter {
    private val pending = ByteArrayOutputStream()

    /** Bytes after the last whole event. */
    public val rest: ByteArray get() = pending.toByteArray()

    /** The events that are whole after [part]. */
    public fun add(part: ByteArray): List<StreamEvent> {
        pending.write(part)
        val bytes = pending.toByteArray()
        val events = mutableListOf<StreamEvent>()
        var start = 0
        while (true) {
            val end = endOfEvent(bytes, start)
            if (end < 0) break
            events += eventOf(bytes.copyOfRange(start, end))
            start = end
        }
        if (start > 0) {
            pending.reset()
            pending.write(bytes, start, bytes.size - start)
        }
        return events
    }

    /** Index after the blank line that ends the event at [start], or -1. */
    private fun endOfEvent(bytes: ByteArray, start: Int): Int {
        var lineStart = start
        for (index in start until bytes.size) {
            if (bytes[index] != LINE_FEED) continue
            val blank =
                index == lineStart || (index == lineStart + 1 && bytes[lineStart] == RETURN)
            if (blank && lineStart > start) return index + 1
            lineStart = index + 1
        }
        return -1
    }

    private fun eventOf(bytes: ByteArray): StreamEvent {
        val id =
            bytes
                .decodeToString()
                .lineSequence()
                .lastOrNull { it.startsWith(ID_FIELD) }
                ?.removePrefix(ID_FIELD)
                ?.trim()
        return StreamEvent(bytes, id)
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
