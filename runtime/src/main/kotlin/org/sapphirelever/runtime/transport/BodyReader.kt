/*
 * Bodies as they arrive. The end of a body is reported only if its framing says that it is whole.
 */
package org.sapphirelever.runtime.transport

import io.ktor.http.cio.decodeChunked
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.writer
import java.io.ByteArrayOutputStream
import java.io.IOException
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive

/** Parts of one body in their order. */
public interface BodyReader {
    /** Bytes that arrived, or null after a whole body; throws [TornMessageException] if torn. */
    public suspend fun next(): ByteArray?
}

/** The whole body, or null if it exceeds [limit] bytes. */
public suspend fun BodyReader.readWhole(limit: Int): ByteArray? {
    val first = next() ?: return ByteArray(0)
    val collected = ByteArrayOutputStream(first.size)
    var part: ByteArray? = first
    while (part != null) {
        if (collected.size() + part.size > limit) return null
        collected.write(part)
        part = next()
    }
    return collected.toByteArray()
}

internal fun bodyReader(
    input: ByteReadChannel,
    framing: Framing,
    scope: CoroutineScope
): BodyReader = when (framing) {
    Framing.Empty -> LengthBody(input, 0)
    is Framing.Length -> LengthBody(input, framing.bytes)
    Framing.Chunked -> ChunkedBody(scope.writer { decodeChunked(input, channel) }.channel)
    Framing.UntilClose -> OpenBody(input)
}

private class LengthBody(private val input: ByteReadChannel, private var left: Long) : BodyReader {
    override suspend fun next(): ByteArray? {
        if (left == 0L) return null
        val part =
            input.part(minOf(left, PART_BYTES.toLong()).toInt())
                ?: throw TornMessageException("body ended $left bytes early", input.closedCause)
        left -= part.size
        return part
    }
}

private class ChunkedBody(private val decoded: ByteReadChannel) : BodyReader {
    override suspend fun next(): ByteArray? = decoded.part(PART_BYTES) ?: decoded.endIfWhole()
}

private class OpenBody(private val input: ByteReadChannel) : BodyReader {
    override suspend fun next(): ByteArray? = input.part(PART_BYTES) ?: input.endIfWhole()
}

private fun ByteReadChannel.endIfWhole(): ByteArray? {
    closedCause?.let { throw TornMessageException("body torn", it) }
    return null
}

/** Up to [limit] bytes, or null at the end of the channel. */
private suspend fun ByteReadChannel.part(limit: Int): ByteArray? {
    val buffer = ByteArray(limit)
    val count =
        try {
            readAvailable(buffer, 0, limit)
        } catch (cancelled: CancellationException) {
            currentCoroutineContext().ensureActive()
            throw TornMessageException("body torn", cancelled)
        } catch (failure: IOException) {
            throw TornMessageException("body torn", failure)
        }
    return if (count <= 0) null else buffer.copyOf(count)
}

/** Largest part of a body that is held at once: one segment of Ktor's buffers. */
private const val PART_BYTES = 8_192
