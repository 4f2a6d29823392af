/*
 * Incremental reading of message bodies. The end of a body is reported only if its framing shows
 * that the body is complete.
 */
package org.sapphirelever.runtime.transport

import java.io.ByteArrayOutputStream

/** Reads the parts of one body in order. */
public interface BodyReader {
    /**
     * The next bytes, or null after the end of a complete body; throws [TornMessageException] if
     * the body is truncated.
     */
    public suspend fun next(): ByteArray?
}

/** Reads the complete body; null if it exceeds [limit] bytes. */
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

internal fun bodyReader(input: InputBuffer, framing: Framing): BodyReader = when (framing) {
    Framing.Empty -> FixedLengthBody(input, 0)
    is Framing.Length -> FixedLengthBody(input, framing.bytes)
    Framing.Chunked -> ChunkedBody(input)
    Framing.UntilClose -> CloseDelimitedBody(input)
}

private class FixedLengthBody(private val input: InputBuffer, private var remaining: Long) :
    BodyReader {
    override suspend fun next(): ByteArray? {
        if (remaining == 0L) return null
        val part =
            input.readPart(minOf(remaining, MAXIMUM_PART_BYTES.toLong()).toInt())
                ?: throw TornMessageException("body ended $remaining bytes early")
        remaining -= part.size
        return part
    }
}

private class ChunkedBody(private val input: InputBuffer) : BodyReader {
    private var remaining = 0L
    private var isFinished = false

    override suspend fun next(): ByteArray? {
        if (isFinished) return null
        if (remaining == 0L) remaining = readChunkSize()
        if (remaining == 0L) {
            skipTrailer()
            isFinished = true
            return null
        }
        val part =
            input.readPart(minOf(remaining, MAXIMUM_PART_BYTES.toLong()).toInt())
                ?: throw TornMessageException("chunk ended $remaining bytes early")
        remaining -= part.size
        if (remaining == 0L && readLine().isNotEmpty()) throw TornMessageException("chunk too long")
        return part
    }

    private suspend fun readChunkSize(): Long {
        val digits = readLine().substringBefore(';').trim()
        val valid = digits.length in CHUNK_SIZE_DIGITS && digits.all { it.isHexadecimal() }
        if (!valid) throw TornMessageException("invalid chunk size")
        return digits.toLong(HEXADECIMAL_RADIX)
    }

    private suspend fun skipTrailer() {
        var bytes = 0
        while (true) {
            val line = readLine()
            if (line.isEmpty()) return
            bytes += line.length
            if (bytes > MAXIMUM_TRAILER_BYTES) {
                throw OversizedMessageException("trailer", MAXIMUM_TRAILER_BYTES.toLong())
            }
        }
    }

    private suspend fun readLine(): String =
        input.readLine(MAXIMUM_LINE_BYTES, "line of a chunked body")
            ?: throw TornMessageException("body ended before its last chunk")

    private fun Char.isHexadecimal(): Boolean =
        this in '0'..'9' || this in 'a'..'f' || this in 'A'..'F'

    private companion object {
        /** A size with more digits exceeds the limit of any body. */
        val CHUNK_SIZE_DIGITS = 1..15
        const val HEXADECIMAL_RADIX = 16
    }
}

/** A body that ends when the peer closes the connection. */
private class CloseDelimitedBody(private val input: InputBuffer) : BodyReader {
    override suspend fun next(): ByteArray? = input.readPart(MAXIMUM_PART_BYTES)
}

/** A part is at most one buffer of the connection. */
private const val MAXIMUM_PART_BYTES = 8_192
