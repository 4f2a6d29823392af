/*
 * Encoding of message heads. Each character is one byte, as in heads that were read.
 */
package org.sapphirelever.runtime.transport

import java.io.IOException

/** A head holds something that would reach its receiver changed, such as a line end in a value. */
public class UnencodableHeadException(what: String) : IOException("head cannot be encoded: $what")

/**
 * Bytes of a request head; it gets a `Content-Length` field unless [bodyBytes] is null. Throws
 * [UnencodableHeadException] if a field would reach the receiver changed.
 */
public fun RequestHead.encoded(bodyBytes: Int?): ByteArray = encodeHead {
    append(method).append(' ').append(target).append(" HTTP/1.1\r\n")
    appendFields(headers)
    if (bodyBytes != null) append("Content-Length: ").append(bodyBytes).append("\r\n")
}

/**
 * Bytes of a response head. Throws [UnencodableHeadException] if a field would reach the receiver
 * changed.
 */
public fun ResponseHead.encoded(): ByteArray = encodeHead {
    append("HTTP/1.1 ").append(status).append(' ').append(reason).append("\r\n")
    appendFields(headers)
}

private fun encodeHead(build: StringBuilder.() -> Unit): ByteArray {
    val head = buildString {
        build()
        append("\r\n")
    }
    // The encoder would write a question mark.
    if (head.any { it > LAST_BYTE }) throw UnencodableHeadException("character above 255")
    return head.toByteArray(Charsets.ISO_8859_1)
}

private fun StringBuilder.appendFields(headers: Headers) {
    headers.fields.forEach { field ->
        if (!field.isEncodable()) throw UnencodableHeadException("field ${field.name}")
        append(field.name).append(": ").append(field.value).append("\r\n")
    }
}

/** Whether a receiver reads the same value: it removes spaces at both ends. */
private fun Header.isEncodable(): Boolean = value.none { it in LINE_BREAKS } &&
    (value.isEmpty() || (value.first() !in SPACES && value.last() !in SPACES))

private const val LAST_BYTE = '\u00ff'
private const val LINE_BREAKS = "\r\n\u0000"
private const val SPACES = " \t"
