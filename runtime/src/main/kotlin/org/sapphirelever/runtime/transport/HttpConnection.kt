/*
 * HTTP/1.1 messages over one socket. Ktor parses the heads; this package adds strict framing, so
 * that a truncated message is never accepted as complete.
 */
package org.sapphirelever.runtime.transport

import io.ktor.http.cio.HttpHeadersMap
import io.ktor.http.cio.parseRequest
import io.ktor.http.cio.parseResponse
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.availableForRead
import io.ktor.utils.io.discard
import io.ktor.utils.io.writeByteArray
import java.io.Closeable
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeoutOrNull

/** An HTTP/1.1 connection. At most one task reads and one task writes at a time. */
public class HttpConnection(private val socket: Socket) : Closeable {
    private val input = socket.openReadChannel()
    private val output = ByteChannel(autoFlush = false)

    /** Passes the bytes of [output] to the kernel. */
    private val sender = socket.attachForWriting(output)

    /** Whether the peer has neither closed the connection nor sent bytes that are still unread. */
    public val isIdle: Boolean get() = !input.isClosedForRead && input.availableForRead == 0

    /** Waits for the first byte of a message; false if the peer closes the connection instead. */
    public suspend fun awaitMessage(): Boolean = convertExceptions { input.awaitContent() }

    /**
     * Receives the next request head; null if the peer closed the connection before its end. Throws
     * [OversizedMessageException] if it is larger than any caller needs.
     */
    public suspend fun receiveRequest(): RequestHead? = convertExceptions {
        input.readHead()?.let { head ->
            val parsed = parseRequest(ByteReadChannel(head))
            parsed?.use { RequestHead(it.method.value, it.uri.toString(), headersOf(it.headers)) }
                ?: throw TornMessageException("invalid request")
        }
    }

    /**
     * Receives the next response head; throws [TornMessageException] if none is received and
     * [OversizedMessageException] if it is larger than any target needs.
     */
    public suspend fun receiveResponse(): ResponseHead = convertExceptions {
        val head =
            input.readHead() ?: throw TornMessageException("connection closed before a response")
        val parsed =
            parseResponse(ByteReadChannel(head)) ?: throw TornMessageException("invalid response")
        parsed.use { ResponseHead(it.status, it.statusText.toString(), headersOf(it.headers)) }
    }

    public fun body(framing: Framing): BodyReader = bodyReader(input, framing)

    /** Writes and flushes [bytes]. */
    public suspend fun write(vararg bytes: ByteArray) {
        convertExceptions {
            bytes.forEach { output.writeByteArray(it) }
            output.flush()
        }
    }

    /** Writes and flushes [head] and then the [blocks] of a body one by one. */
    public suspend fun write(head: ByteArray, blocks: List<ByteArray>) {
        if (blocks.isEmpty()) return write(head)
        write(head, blocks.first())
        // Each block leaves the buffer of the connection before the next one enters it.
        blocks.drop(1).forEach { write(it) }
    }

    /**
     * Ends the output, waits until the kernel has all bytes, and then up to [linger] for the peer
     * to close; what it sends meanwhile is discarded. To close at once would reset the connection
     * if the peer had sent something, and a reset discards what the peer has not received yet.
     */
    public suspend fun finish(linger: Duration = LINGER_TIME) {
        convertExceptions { output.flushAndClose() }
        sender.job.join()
        withTimeoutOrNull(linger) { input.discard() }
    }

    override fun close() {
        socket.close()
    }

    private companion object {
        /** Callers close as soon as they have received the last byte. */
        val LINGER_TIME = 300.milliseconds
    }

    /** Converts exceptions of the parser and the socket to [IOException]. */
    private suspend fun <T> convertExceptions(action: suspend () -> T): T = try {
        action()
    } catch (cancelled: CancellationException) {
        // A closed channel throws a CancellationException although this task is not cancelled.
        currentCoroutineContext().ensureActive()
        throw TornMessageException("connection lost", cancelled)
    } catch (failure: IOException) {
        throw failure
    } catch (failure: Exception) {
        throw TornMessageException("invalid HTTP message", failure)
    }
}

/** Runs [action], then returns the buffers of the parsed message to their pool. */
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

/** Bytes of a request head; it gets a `Content-Length` field unless [bodyBytes] is null. */
public fun RequestHead.encoded(bodyBytes: Int?): ByteArray = buildString {
    append(method).append(' ').append(target).append(" HTTP/1.1\r\n")
    appendFields(headers)
    if (bodyBytes != null) append("Content-Length: ").append(bodyBytes).append("\r\n")
    append("\r\n")
}.toByteArray(Charsets.ISO_8859_1)

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
    val size = "${bytes.size.toString(HEXADECIMAL_RADIX)}\r\n".toByteArray(Charsets.ISO_8859_1)
    return size + bytes + LINE_END
}

/** The last chunk, which ends a chunked body. */
public val LAST_CHUNK: ByteArray = "0\r\n\r\n".toByteArray(Charsets.ISO_8859_1)

/** Interim response to `Expect: 100-continue`: the caller may send the body. */
public val CONTINUE: ByteArray = "HTTP/1.1 100 Continue\r\n\r\n".toByteArray(Charsets.ISO_8859_1)

private val LINE_END = "\r\n".toByteArray(Charsets.ISO_8859_1)
private const val HEXADECIMAL_RADIX = 16
