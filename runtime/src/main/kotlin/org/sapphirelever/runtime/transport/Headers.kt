/*
 * Start lines and header fields of HTTP messages. Field names are compared ignoring case.
 */
package org.sapphirelever.runtime.transport

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

public data class Header(public val name: String, public val value: String)

/** Header fields of one message, in order. */
public data class Headers(public val fields: PersistentList<Header> = persistentListOf()) {
    /** The first value of the field [name]. */
    public operator fun get(name: String): String? =
        fields.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value

    public fun all(name: String): List<String> =
        fields.filter { it.name.equals(name, ignoreCase = true) }.map { it.value }

    /** A copy without the fields [names], which are given in lower case. */
    public fun without(names: Set<String>): Headers =
        Headers(fields.filterNot { it.name.lowercase() in names }.toPersistentList())

    public operator fun plus(header: Header): Headers = Headers(fields.add(header))

    /** Whether the comma-separated values of the field [name] include [token]. */
    public fun hasToken(name: String, token: String): Boolean =
        all(name).any { value -> value.split(',').any { it.trim().equals(token, true) } }
}

/** Request line and header fields; [target] is the path with its query. */
public data class RequestHead(
    public val method: String,
    public val target: String,
    public val headers: Headers
) {
    public val path: String get() = target.substringBefore('?')
}

/** Status line and header fields of a response. */
public data class ResponseHead(
    public val status: Int,
    public val reason: String,
    public val headers: Headers
) {
    /** Whether the connection is closed after this response. */
    public val closesConnection: Boolean get() = headers.hasToken(CONNECTION, "close")
}

/** How a message delimits its body. */
public sealed interface Framing {
    public data object Empty : Framing

    public data class Length(public val bytes: Long) : Framing

    public data object Chunked : Framing

    /** The body ends with its connection. */
    public data object UntilClose : Framing
}

/** A peer sent an invalid message, or the connection ended within one. */
public class TornMessageException(message: String, cause: Throwable? = null) :
    java.io.IOException(message, cause)

public const val CONNECTION: String = "Connection"
public const val CONTENT_LENGTH: String = "Content-Length"
public const val TRANSFER_ENCODING: String = "Transfer-Encoding"

/** Names, in lower case, of fields that apply to one connection only and are not forwarded. */
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

/** Fields to remove before forwarding: [CONNECTION_FIELDS] and those named in `Connection`. */
public fun Headers.connectionFields(): Set<String> = CONNECTION_FIELDS +
    all(CONNECTION).flatMap { it.split(',') }.map { it.trim().lowercase() }

/**
 * Framing of the body of a request.
 *
 * @throws TornMessageException if the fields contradict each other, because two parties could then
 *   disagree on where the next request begins (request smuggling)
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
