/*
 * Bodies as they arrive. The end of a body is reported only if its framing says that it is whole.
 */
package org.sapphirelever.runtime.transport

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.LineEnding
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.readLineStrict
import java.io.ByteArrayOutputStream
import java.io.IOException
import kotlinx.coroutines.CancellationException
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

internal fun bodyReader(input: ByteReadChannel, framing: Framing): BodyReader = when (framing) {
    Framing.Empty -> LengthBody(input, 0)
    is Framing.Length -> LengthBody(input, framing.bytes)
    Framing.Chunked -> ChunkedBody(input)
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

/**
 * Ktor's decoder takes the end of the connection for the end of the body, so the chunks are read
 * here.
 */
private class ChunkedBody(private val input: ByteReadChannel) : BodyReader {
    private var left = 0L
    private var ended = false

    override suspend fun next(): ByteArray? {
        if (ended) return null
        if (left == 0L) left = chunkSize()
        if (left == 0L) {
            skipTrailer()
            ended = true
            return null
        }
        val part =
            input.part(minOf(left, PART_BYTES.toLong()).toInt())
                ?: throw TornMessageException("chunk ended $left bytes early", input.closedCause)
        left -= part.size
        if (left == 0L && line().isNotEmpty()) throw TornMessageException("chunk without end")
        return part
    }

    private suspend fun chunkSize(): Long {
        val digits = line().substringBefore(';').trim()
        val valid = digits.length in SIZE_DIGITS && digits.all { it.isHexadecimal() }
        if (!valid) throw TornMessageException("invalid chunk size")
        return digits.toLong(HEXADECIMAL)
    }

    private suspend fun skipTrailer() {
        while (line().isNotEmpty()) continue
    }

    private suspend fun line(): String {
        val line =
            try {
                input.readLineStrict(LINE_LIMIT, LineEnding.Lenient)
            } catch (cancelled: CancellationException) {
                currentCoroutineContext().ensureActive()
                throw TornMessageException("chunk torn", cancelled)
            } catch (failure: IOException) {
                throw TornMessageException("chunk torn", failure)
            }
        return line ?: throw TornMessageException("body ended without its last chunk")
    }

    private fun Char.isHexadecimal(): Boolean =
        this in '0'..'9' || this in 'a'..'f' || this in 'A'..'F'

    private companion object {
        /** More digits would name chunks beyond any limit of a body. */
        val SIZE_DIGITS = 1..15
        const val HEXADECIMAL = 16
        const val LINE_LIMIT = 8_192L
    }
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
