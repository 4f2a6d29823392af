/*
 * Buffered reading of one connection. The buffer exists only while it holds bytes.
 */
package org.sapphirelever.runtime.transport

import java.io.ByteArrayOutputStream
import java.io.IOException
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.yield

/** Reads lines and parts of bodies from [stream]. */
internal class InputBuffer(private val stream: SocketStream) {
    private var bytes = EMPTY
    private var start = 0
    private var end = 0
    private var readsInRow = 0

    /** Bytes read since the connection was opened. */
    @Volatile
    var readBytes: Long = 0
        private set

    /** Whether the peer has closed its side, or the connection failed. */
    var isAtEnd: Boolean = false
        private set

    /** Bytes that this buffer occupies. */
    val occupied: Int get() = bytes.size

    /** Whether no byte is unread and the peer has not closed the connection. */
    val isIdle: Boolean get() = start == end && !isAtEnd && !hasNews()

    /**
     * Waits for a byte; false at the end of the input. Throws [TornMessageException] if the
     * connection fails.
     */
    suspend fun awaitByte(): Boolean {
        while (start == end) {
            if (isAtEnd) return false
            // A fast peer would otherwise keep the thread, and a cancelled task would go on.
            if (++readsInRow % READS_IN_ROW == 0) yield()
            try {
                if (readNow() == 0) stream.awaitReadable()
            } catch (cancelled: CancellationException) {
                // A closed channel throws a CancellationException although the task goes on.
                currentCoroutineContext().ensureActive()
                throw TornMessageException("connection closed within a message", cancelled)
            } catch (failure: IOException) {
                isAtEnd = true
                throw TornMessageException("connection failed within a message", failure)
            }
        }
        return true
    }

    /** The next bytes, at most [limit] of them; null at the end of the input. */
    suspend fun readPart(limit: Int): ByteArray? {
        if (!awaitByte()) return null
        val count = minOf(limit, end - start)
        return bytes.copyOfRange(start, start + count).also { consume(count) }
    }

    /**
     * Reads a line without its end, which is a line feed with or without a carriage return; null
     * if the input ends before it. Throws [OversizedMessageException] beyond [limit] bytes.
     */
    suspend fun readLine(limit: Int, what: String): String? {
        var collected: ByteArrayOutputStream? = null
        while (awaitByte()) {
            val stop = indexOfLineFeed()
            val isWhole = stop < end
            if ((collected?.size() ?: 0) + stop - start > limit + CARRIAGE_RETURN_BYTES) {
                throw OversizedMessageException(what, limit.toLong())
            }
            if (isWhole && collected == null) {
                return lineOf(bytes, start, stop).also { consume(stop + 1 - start) }
            }
            val line = collected ?: ByteArrayOutputStream().also { collected = it }
            line.write(bytes, start, stop - start)
            consume(minOf(stop + 1, end) - start)
            if (isWhole) return line.toByteArray().let { lineOf(it, 0, it.size) }
        }
        return null
    }

    /** Index of the next line feed, or [end] if there is none. */
    private fun indexOfLineFeed(): Int {
        var index = start
        while (index < end && bytes[index] != LINE_FEED) index++
        return index
    }

    /** Reads and discards until the input ends. */
    suspend fun discard() {
        while (awaitByte()) consume(end - start)
    }

    private fun lineOf(source: ByteArray, from: Int, to: Int): String {
        val hasReturn = to > from && source[to - 1] == CARRIAGE_RETURN
        return String(source, from, (if (hasReturn) to - 1 else to) - from, Charsets.ISO_8859_1)
    }

    private fun consume(count: Int) {
        start += count
        if (start == end) {
            bytes = EMPTY
            start = 0
            end = 0
        }
    }

    /** Whether the peer has sent something, or ended the connection, since the last read. */
    private fun hasNews(): Boolean = try {
        readNow() != 0
    } catch (_: IOException) {
        true
    }

    /** Reads what has arrived into the empty buffer. */
    private fun readNow(): Int {
        val buffer = ByteArray(BUFFER_BYTES)
        val count = stream.readNow(buffer)
        if (count < 0) isAtEnd = true
        if (count > 0) {
            readBytes += count
            bytes = buffer
            start = 0
            end = count
        }
        return count
    }

    private companion object {
        const val BUFFER_BYTES = 8_192
        const val READS_IN_ROW = 8
        const val CARRIAGE_RETURN_BYTES = 1
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        val EMPTY = ByteArray(0)
    }
}
