/*
 * Heads of HTTP messages as values. Names are compared without regard to case.
 */
package org.sapphirelever.runtime.transport

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/** One header field. */
public data class Header(public val name: String, public val value: String)

/** Header fields of one message. */
public data class Headers(public val fields: PersistentList<Header> = persistentListOf()) {
    /** The first value of [name], or null. */
    public operator fun get(name: String): String? =
        fields.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value

    public fun all(name: String): List<String> =
        fields.filter { it.name.equals(name, ignoreCase = true) }.map { it.value }

    /** These fields without any whose lower-case name is in [names]. */
    public fun without(names: Set<String>): Headers =
        Headers(fields.filterNot { it.name.lowercase() in names }.toPersistentList())

    public operator fun plus(header: Header): Headers = Headers(fields.add(header))

    /** Whether the comma-separated field [name] has [token]. */
    public fun hasToken(name: String, token: String): Boolean =
        all(name).any { value -> value.split(',').any { it.trim().equals(token, true) } }
}

/** Start line and fields of a request; [target] is the path with its query. */
public data class RequestHead(
    public val method: String,
    public val target: String,
    public val headers: Headers
) {
    public val path: String get() = target.substringBefore('?')
}

/** Status and fields of a response. */
public data class ResponseHead(
    public val status: Int,
    public val reason: String,
    public val headers: Headers
) {
    /** Whether the connection serves no further request after this response. */
    public val closes: Boolean get() = headers.hasToken(CONNECTION, "close")
}

/** How the end of a body is told. */
public sealed interface Framing {
    public data object Empty : Framing

    public data class Length(public val bytes: Long) : Framing

    public data object Chunked : Framing

    /** The body ends with its connection. */
    public data object UntilClose : Framing
}

/** A peer sent bytes that are no message of the protocol, or stopped inside one. */
public class TornMessageException(message: String, cause: Throwable? = null) :
    java.io.IOException(message, cause)

public const val CONNECTION: String = "Connection"
public const val CONTENT_LENGTH: String = "Content-Length"
public const val TRANSFER_ENCODING: String = "Transfer-Encoding"

/** Fields that concern one connection only and are never forwarded, in lower case. */
public val CONNECTION_FIELDS: Set<String> =
    setOf(
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length"
    )

/** Fields to drop before a message is forwarded: fixed ones and those that it names itself. */
public fun Headers.connectionFields(): Set<String> = CONNECTION_FIELDS +
    all(CONNECTION).flatMap { it.split(',') }.map { it.trim().lowercase() }

/**
 * Framing of the body of a request.
 *
 * @throws TornMessageException if the fields contradict each other, since two parties could then
 *   disagree where the next request begins
 */
public fun Headers.requestFraming(): Framing {
    val codings = all(TRANSFER_ENCODING)
    val lengths = all(CONTENT_LENGTH)
    if (codings.isNotEmpty()) {
        val chunked = codings.size == 1 && codings[0].trim().equals("chunked", true)
        if (!chunked || lengths.isNotEmpty()) throw TornMessageException("ambiguous body length")
        return Framing.Chunked
    }
    if (lengths.isEmpty()) return Framing.Empty
    val length = lengthOf(lengths)
    return if (length == 0L) Framing.Empty else Framing.Length(length)
}

/** Framing of the body of a response with [status] to a request with [method]. */
public fun Headers.responseFraming(method: String, status: Int): Framing {
    if (method == "HEAD" || status in NO_BODY_STATUSES) return Framing.Empty
    val codings = all(TRANSFER_ENCODING)
    if (codings.isNotEmpty()) {
        val chunked = codings.size == 1 && codings[0].trim().equals("chunked", true)
        if (!chunked) throw TornMessageException("unknown transfer encoding")
        return Framing.Chunked
    }
    val lengths = all(CONTENT_LENGTH)
    return if (lengths.isEmpty()) Framing.UntilClose else Framing.Length(lengthOf(lengths))
}

private fun lengthOf(values: List<String>): Long {
    val texts = values.map { it.trim() }.distinct()
    val digits = texts.singleOrNull()?.takeIf { text -> text.all { it in '0'..'9' } }
    return digits?.toLongOrNull() ?: throw TornMessageException("invalid content length")
}

private const val SWITCHING_PROTOCOLS = 101
private const val NO_CONTENT = 204
private const val NOT_MODIFIED = 304
private val NO_BODY_STATUSES = setOf(SWITCHING_PROTOCOLS, NO_CONTENT, NOT_MODIFIED)
