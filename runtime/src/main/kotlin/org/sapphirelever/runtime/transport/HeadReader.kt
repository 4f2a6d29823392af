/*
 * Bounded reading of message heads, so that a peer that never ends a message can neither fill the
 * memory nor keep its reader busy. Bytes above 127 are kept as characters of ISO 8859-1, so that a
 * head that is forwarded has the same bytes.
 */
package org.sapphirelever.runtime.transport

import java.io.IOException
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive

/** A peer sent more than the [limit] of [what], so the message is not read to its end. */
public class OversizedMessageException(what: String, limit: Long) :
    IOException("oversized: $what exceeds $limit")

/** Greatest size of the head of a response in bytes, with its start line. */
public const val MAXIMUM_HEAD_BYTES: Int = 65_536

/** Greatest size of one line of a response or of the framing of a chunked body, in bytes. */
public const val MAXIMUM_LINE_BYTES: Int = 8_192

/** Greatest size of the trailer fields after a chunked body, in bytes. */
public const val MAXIMUM_TRAILER_BYTES: Int = 16_384

/**
 * Bounds of a head.
 *
 * @property lineBytes greatest size of its start line and of a field, in bytes
 * @property fieldBytes greatest size of all names and values together, in bytes
 * @property fields greatest number of fields
 */
public data class HeadLimits(
    public val lineBytes: Int,
    public val fieldBytes: Int,
    public val fields: Int
) {
    public companion object {
        /** A field without a value has a name of one byte, a colon and a line end. */
        private const val SHORTEST_FIELD_BYTES = 4

        /** Limits of responses; no target needs as many fields. */
        public val RESPONSE: HeadLimits =
            HeadLimits(MAXIMUM_LINE_BYTES, MAXIMUM_HEAD_BYTES, fields = 2_048)

        /** Limits of requests whose header may have [bytes]; none of that size has more fields. */
        public fun ofRequests(bytes: Int): HeadLimits = HeadLimits(
            lineBytes = maxOf(bytes, MAXIMUM_LINE_BYTES),
            fieldBytes = bytes,
            fields = bytes / SHORTEST_FIELD_BYTES
        )
    }
}

/** The start line and the fields of a head. */
internal data class Head(val startLine: String, val headers: Headers)

/**
 * Reads one head from [input] and reports the memory that it takes to [onGrowth]. Only the fields
 * [keptFields] are kept, which are in lower case, or all of them if it is null.
 */
internal class HeadReader(
    private val input: InputBuffer,
    private val limits: HeadLimits,
    private val keptFields: Set<String>? = null,
    private val onGrowth: (Long) -> Unit = {}
) {
    private val fields = persistentListOf<Header>().builder()
    private var fieldBytes = 0
    private var count = 0
    private var occupied = 0L

    /** The head, or null if the input ends before it. */
    suspend fun read(): Head? {
        val startLine = input.readLine(limits.lineBytes, "start line") ?: return null
        grow(startLine.length)
        while (true) {
            val line = input.readLine(limits.lineBytes, "line of the head") ?: return null
            // A parser that reads many lines from a full buffer does not suspend.
            currentCoroutineContext().ensureActive()
            if (line.isEmpty()) return Head(startLine, Headers(fields.build()))
            add(line)
        }
    }

    private fun add(line: String) {
        val field = fieldOf(line)
        fieldBytes += maxOf(field.name.length + field.value.length, line.length - SEPARATOR_BYTES)
        if (fieldBytes > limits.fieldBytes) {
            throw OversizedMessageException("header", limits.fieldBytes.toLong())
        }
        if (++count > limits.fields) {
            throw OversizedMessageException("number of fields", limits.fields.toLong())
        }
        if (keptFields != null && field.name.lowercase() !in keptFields) return
        fields.add(field)
        grow(line.length)
    }

    private fun grow(bytes: Int) {
        occupied += bytes + FIELD_OVERHEAD_BYTES
        onGrowth(occupied + input.occupied)
    }

    private companion object {
        const val SEPARATOR_BYTES = 2

        /** The objects of a parsed field, and the copy of it that is forwarded. */
        const val FIELD_OVERHEAD_BYTES = 256L
    }
}

/** Parses a field; throws [TornMessageException] if it is invalid. */
private fun fieldOf(line: String): Header {
    val colon = line.indexOf(':')
    val name = line.substring(0, maxOf(colon, 0))
    if (name.isEmpty() || !name.all { it.isTokenCharacter() }) {
        throw TornMessageException("invalid field name")
    }
    val value = line.substring(colon + 1).trim(' ', '\t')
    if (value.any { it == '\r' || it == '\u0000' }) throw TornMessageException("invalid field")
    return Header(name, value)
}

/** Parses a request line; throws [TornMessageException] if it is invalid. */
internal fun Head.toRequest(): RequestHead {
    val parts = startLine.split(' ')
    val isValid =
        parts.size == REQUEST_LINE_PARTS && parts[0].isNotEmpty() &&
            parts[0].all { it.isTokenCharacter() } && parts[1].isNotEmpty() &&
            parts[1].none { it <= ' ' || it == DELETE } && parts[2] in VERSIONS
    if (!isValid) throw TornMessageException("invalid request")
    return RequestHead(parts[0], parts[1], headers)
}

/** Parses a status line; throws [TornMessageException] if it is invalid. */
internal fun Head.toResponse(): ResponseHead {
    val parts = startLine.split(' ', limit = STATUS_LINE_PARTS)
    val status = parts.getOrNull(1)?.takeIf { it.length == STATUS_DIGITS }?.toIntOrNull()
    val reason = parts.getOrElse(2) { "" }
    val isValid = parts[0] in VERSIONS && status != null && status >= LEAST_STATUS &&
        reason.none { it == '\r' || it == '\u0000' }
    if (!isValid) throw TornMessageException("invalid response")
    return ResponseHead(checkNotNull(status), reason, headers)
}

private fun Char.isTokenCharacter(): Boolean =
    this in 'a'..'z' || this in 'A'..'Z' || this in '0'..'9' || this in "!#$%&'*+-.^_`|~"

private val VERSIONS = setOf("HTTP/1.1", "HTTP/1.0")
private const val DELETE = '\u007f'
private const val REQUEST_LINE_PARTS = 3
private const val STATUS_LINE_PARTS = 3
private const val STATUS_DIGITS = 3
private const val LEAST_STATUS = 100
