/*
 * HTTP/1.1 messages over one socket. Ktor parses the heads; this file adds strict framing, so that
 * a message that ends early is never taken for a whole one.
 */
package org.sapphirelever.runtime.transport

import io.ktor.http.cio.HttpHeadersMap
import io.ktor.http.cio.parseRequest
import io.ktor.http.cio.parseResponse
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.availableForRead
import io.ktor.utils.io.writeByteArray
import java.io.Closeable
import java.io.IOException
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive

/** One connection that carries HTTP/1.1 messages. One task reads, one task writes. */
public class HttpConnection(private val socket: Socket) : Closeable {
    private val input = socket.openReadChannel()
    private val output = socket.openWriteChannel(autoFlush = false)

    /** Whether nothing has arrived that was not read, and the peer has not closed. */
    public val isQuiet: Boolean get() = !input.isClosedForRead && input.availableForRead == 0

    /** Waits for the first byte of a message; false when the peer closes instead. */
    public suspend fun awaitMessage(): Boolean = guarded { input.awaitContent() }

    /** The next request, or null when the peer closed before it began. */
    public suspend fun receiveRequest(): RequestHead? = guarded {
        parseRequest(input)?.use { parsed ->
            RequestHead(parsed.method.value, parsed.uri.toString(), headersOf(parsed.headers))
        }
    }

    /** The next response; throws [TornMessageException] when none comes whole. */
    public suspend fun receiveResponse(): ResponseHead = guarded {
        val parsed = parseResponse(input) ?: throw TornMessageException("closed before a response")
        parsed.use { ResponseHead(it.status, it.statusText.toString(), headersOf(it.headers)) }
    }

    /** Reader of a body with [framing]. */
    public fun body(framing: Framing): BodyReader = bodyReader(input, framing)

    /** Writes [bytes] and hands them to the socket. */
    public suspend fun write(vararg bytes: ByteArray) {
        guarded {
            bytes.forEach { output.writeByteArray(it) }
            output.flush()
        }
    }

    override fun close() {
        socket.close()
    }

    /** Turns whatever the parser or the socket throws into an [IOException]. */
    private suspend fun <T> guarded(action: suspend () -> T): T = try {
        action()
    } catch (cancelled: CancellationException) {
        // A closed channel surfaces as a cancellation although this task goes on.
        currentCoroutineContext().ensureActive()
        throw TornMessageException("connection lost", cancelled)
    } catch (failure: IOException) {
        throw failure
    } catch (failure: Exception) {
        throw TornMessageException("invalid message", failure)
    }
}

/** Runs [action] and returns the parsed message's buffers to their pool. */
private inline fun <M : io.ktor.http.cio.HttpMessage, T> M.use(action: (M) -> T): T = try {
    action(this)
} finally {
    release()
}

private fun headersOf(map: HttpHeadersMap): Headers = Headers(
    map.offsets()
        .map { Header(map.nameAtOffset(it).toString(), map.valueAtOffset(it).toString()) }
        .toList()
        .toPersistentList()
)

/** Bytes of the head of a request, with [framing] fields for its body. */
public fun RequestHead.encoded(bodyBytes: Int?): ByteArray = buildString {
    append(method).append(' ').append(target).append(" HTTP/1.1\r\n")
    appendFields(headers)
    if (bodyBytes != null) append("Content-Length: ").append(bodyBytes).append("\r\n")
    append("\r\n")
}.toByteArray(Charsets.ISO_8859_1)

/** Bytes of the head of a response. */
public fun ResponseHead.encoded(): ByteArray = buildString {
    append("HTTP/1.1 ").append(status).append(' ').append(reason).append("\r\n")
    appendFields(headers)
    append("\r\n")
}.toByteArray(Charsets.ISO_8859_1)

private fun StringBuilder.appendFields(headers: Headers) {
    headers.fields.forEach { append(it.name).append(": ").append(it.value).append("\r\n") }
}

/** [bytes] as one chunk of a chunked body. */
public fun chunkOf(bytes: ByteArray): ByteArray {
    val size = "${bytes.size.toString(HEXADECIMAL)}\r\n".toByteArray(Charsets.ISO_8859_1)
    return size + bytes + LINE_END
}

/** End of a chunked body. */
public val LAST_CHUNK: ByteArray = "0\r\n\r\n".toByteArray(Charsets.ISO_8859_1)

/** Tells a caller to send the body it announced. */
public val CONTINUE: ByteArray = "HTTP/1.1 100 Continue\r\n\r\n".toByteArray(Charsets.ISO_8859_1)

private val LINE_END = "\r\n".toByteArray(Charsets.ISO_8859_1)
private const val HEXADECIMAL = 16
