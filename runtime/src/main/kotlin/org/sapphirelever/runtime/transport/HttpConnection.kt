/*
 * HTTP/1.1 messages over one socket, with strict framing, so that a truncated message is never
 * accepted as complete.
 */
package org.sapphirelever.runtime.transport

import java.io.Closeable
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeoutOrNull

/** A peer sent or accepted too little in [span]. */
public class StalledPeerException(span: Duration) : IOException("too little progress in $span")

/**
 * An HTTP/1.1 connection. At most one task reads and one task writes at a time. A write fails with
 * [StalledPeerException] if the peer accepts nothing for [writeSpan].
 */
public class HttpConnection
internal constructor(
    private val stream: SocketStream,
    private val writeSpan: Duration? = null
) : Closeable {
    private val input = InputBuffer(stream)

    /** Bytes received since the connection was opened. */
    public val receivedBytes: Long get() = input.readBytes

    /** Bytes that the peer has accepted since the connection was opened. */
    @Volatile
    public var sentBytes: Long = 0
        private set

    /** Whether the peer has neither closed the connection nor sent bytes that are still unread. */
    public val isIdle: Boolean get() = input.isIdle

    /** Waits for the first byte of a message; false if the peer closes the connection instead. */
    public suspend fun awaitMessage(): Boolean = convertExceptions { input.awaitByte() }

    /**
     * Receives the next request head; null if the peer closed the connection before its end. Throws
     * [OversizedMessageException] if it exceeds [limits]. Passes the memory that the head takes
     * to [onGrowth], and keeps only the fields [keptFields], in lower case, unless that is null.
     */
    public suspend fun receiveRequest(
        limits: HeadLimits,
        keptFields: Set<String>? = null,
        onGrowth: (Long) -> Unit = {}
    ): RequestHead? = convertExceptions {
        HeadReader(input, limits, keptFields, onGrowth).read()?.toRequest()
    }

    /**
     * Receives the next response head; throws [TornMessageException] if none is received and
     * [OversizedMessageException] if it is larger than any target needs.
     */
    public suspend fun receiveResponse(): ResponseHead = convertExceptions {
        val head = HeadReader(input, HeadLimits.RESPONSE).read()
        head?.toResponse() ?: throw TornMessageException("connection closed before a response")
    }

    public fun body(framing: Framing): BodyReader = bodyReader(input, framing)

    /** Writes [bytes]; returns when the kernel has them. */
    public suspend fun write(bytes: ByteArray, onProgress: () -> Unit = {}) {
        convertExceptions {
            stream.write(bytes, ::awaitWritable) {
                sentBytes += it
                onProgress()
            }
        }
    }

    public suspend fun write(head: ByteArray, body: ByteArray) {
        write(head, listOf(body))
    }

    /** Writes [head] and the [blocks] of a body one by one. */
    public suspend fun write(
        head: ByteArray,
        blocks: List<ByteArray>,
        onProgress: () -> Unit = {}
    ) {
        // A short body is sent in one segment with its head.
        val isShort = blocks.isNotEmpty() && blocks.first().size <= SHORT_BODY_BYTES
        write(if (isShort) head + blocks.first() else head, onProgress)
        blocks.drop(if (isShort) 1 else 0).forEach { write(it, onProgress) }
    }

    /**
     * Ends the output, and then waits up to [linger] for the peer to close; what it sends
     * meanwhile is discarded. To close at once would reset the connection if the peer had sent
     * something, and a reset discards what the peer has not received yet.
     */
    public suspend fun finish(linger: Duration = LINGER_TIME) {
        convertExceptions {
            stream.shutdownOutput()
            withTimeoutOrNull(linger) { input.discard() }
        }
    }

    override fun close() {
        stream.close()
    }

    private suspend fun awaitWritable(wait: suspend () -> Unit) {
        if (writeSpan == null) return wait()
        withTimeoutOrNull(writeSpan) { wait() } ?: throw StalledPeerException(writeSpan)
    }

    /** Converts exceptions of the selector and the socket to [IOException]. */
    private suspend fun <T> convertExceptions(action: suspend () -> T): T = try {
        action()
    } catch (cancelled: CancellationException) {
        // A closed channel throws a CancellationException although this task is not cancelled.
        currentCoroutineContext().ensureActive()
        throw TornMessageException("connection lost", cancelled)
    } catch (failure: IOException) {
        throw failure
    } catch (failure: IllegalStateException) {
        throw TornMessageException("connection closed", failure)
    }

    private companion object {
        /** Callers close as soon as they have received the last byte. */
        val LINGER_TIME = 300.milliseconds
        const val SHORT_BODY_BYTES = 65_536
    }
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
