/*
 * One connection of the front end. Its task reads a complete request, answers it and only then
 * reads the next one.
 */
package org.sapphirelever.runtime.http

import io.ktor.server.http.HttpRequestCloseHandlerKey
import io.ktor.util.pipeline.execute
import io.ktor.utils.io.InternalAPI
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.encodeToString
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.decisions.admission.CallerPhase
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.runtime.transport.CONNECTION
import org.sapphirelever.runtime.transport.CONTENT_LENGTH
import org.sapphirelever.runtime.transport.CONTINUE
import org.sapphirelever.runtime.transport.Caller
import org.sapphirelever.runtime.transport.CallerCounts
import org.sapphirelever.runtime.transport.Framing
import org.sapphirelever.runtime.transport.HeadLimits
import org.sapphirelever.runtime.transport.Header
import org.sapphirelever.runtime.transport.Headers
import org.sapphirelever.runtime.transport.MemoryExhaustedException
import org.sapphirelever.runtime.transport.MessageBody
import org.sapphirelever.runtime.transport.OversizedMessageException
import org.sapphirelever.runtime.transport.ProgressingBody
import org.sapphirelever.runtime.transport.RequestHead
import org.sapphirelever.runtime.transport.ResponseHead
import org.sapphirelever.runtime.transport.StalledPeerException
import org.sapphirelever.runtime.transport.TornMessageException
import org.sapphirelever.runtime.transport.callerConnections
import org.sapphirelever.runtime.transport.encoded
import org.sapphirelever.runtime.transport.readWhole
import org.sapphirelever.runtime.transport.requestFraming
import org.sapphirelever.wire.ErrorMessage
import org.sapphirelever.wire.MessageJson

/**
 * Limits of a front end.
 *
 * @property connections connections that may be open
 * @property headerBytes greatest size of the names and values of the header fields, in bytes
 * @property bodyBytes greatest size of a body, in bytes
 * @property headerTimeout time within which a header must be complete
 * @property idleTimeout time that a connection may be idle, and a sender may make no progress
 */
public data class FrontEndLimits(
    public val connections: Int = callerConnections(null),
    public val headerBytes: Int = 16_384,
    public val bodyBytes: Int = DEFAULT_BODY_BYTES,
    public val headerTimeout: Duration = 5.seconds,
    public val idleTimeout: Duration = 45.seconds,
    public val counts: CallerCounts = CallerCounts()
) {
    private companion object {
        const val DEFAULT_BODY_BYTES = 16_777_216
    }
}

/** Serves the connection of [caller] within [limits] by [engine]. */
internal class FrontEndConnection(
    private val caller: Caller,
    private val local: Endpoint,
    private val limits: FrontEndLimits,
    private val engine: PipelineEngine
) {
    private val connection = caller.connection

    suspend fun serve() {
        while (true) {
            caller.enter(CallerPhase.IDLE)
            val hasRequest = withTimeoutOrNull(limits.idleTimeout) { connection.awaitMessage() }
            if (hasRequest != true) return
            caller.enter(CallerPhase.RECEIVING)
            var head: RequestHead? = null
            try {
                val received =
                    withTimeoutOrNull(limits.headerTimeout) { receiveHead() }
                        ?: throw StalledPeerException(limits.headerTimeout)
                head = received
                val body = receiveBody(received)
                caller.enter(CallerPhase.RUNNING)
                if (!answer(received, body)) return connection.finish()
                caller.keep(0, share = 1.0)
            } catch (refused: IOException) {
                if (caller.hold.phase != CallerPhase.RECEIVING) throw refused
                return reject(head, refused)
            }
        }
    }

    private suspend fun receiveHead(): RequestHead =
        connection.receiveRequest(HeadLimits.ofRequests(limits.headerBytes)) {
            caller.noteProgress()
            caller.keep(it, share = 1.0)
        } ?: throw TornMessageException("connection closed within the header")

    private suspend fun receiveBody(head: RequestHead): MessageBody {
        val framing = head.headers.requestFraming()
        if (framing == Framing.Empty) return MessageBody.EMPTY
        val kept = caller.hold.bytes
        if (framing is Framing.Length) {
            if (framing.bytes > limits.bodyBytes) throw oversized()
            caller.keep(kept + framing.bytes * COPIES, share = 1.0)
        }
        if (head.headers.hasToken("Expect", "100-continue")) connection.write(CONTINUE)
        return ProgressingBody(caller, connection.body(framing), limits.idleTimeout)
            .readWhole(limits.bodyBytes) { occupied ->
                val bytes = kept + occupied * COPIES
                if (bytes > caller.hold.bytes) caller.keep(bytes, share = 1.0)
            } ?: throw oversized()
    }

    private fun oversized() = OversizedMessageException(BODY, limits.bodyBytes.toLong())

    /** Routes the request and writes its response; false if the connection is to be closed. */
    @OptIn(InternalAPI::class)
    private suspend fun answer(head: RequestHead, body: MessageBody): Boolean = try {
        coroutineScope {
            val call =
                ConnectionCall(engine.application(), head, body, local, coroutineContext, ::write)
            val watch =
                launch {
                    if (awaitNextRequest()) return@launch
                    call.attributes.getOrNull(HttpRequestCloseHandlerKey)?.invoke()
                }
            engine.pipeline.execute(call)
            watch.cancel()
            call.response.isComplete && !call.response.closesConnection
        }
    } catch (_: CancellationException) {
        // The call was cancelled because its caller had left.
        currentCoroutineContext().ensureActive()
        false
    }

    private suspend fun write(bytes: ByteArray) {
        // Ktor answers a cancelled call with an error, which may concern a request that has run.
        currentCoroutineContext().ensureActive()
        caller.enter(CallerPhase.SENDING)
        connection.write(bytes) { caller.noteProgress() }
        caller.enter(CallerPhase.RUNNING)
    }

    /** Waits for the next request; false if the caller closes the connection first. */
    private suspend fun awaitNextRequest(): Boolean = try {
        connection.awaitMessage()
    } catch (_: IOException) {
        currentCoroutineContext().ensureActive()
        false
    }

    /** Rejects a request that has not run, because of [cause], and closes the connection. */
    private suspend fun reject(head: RequestHead?, cause: IOException) {
        val (status, code) = refusalOf(cause)
        logEvent("request-rejected") {
            "status" to status
            "cause" to cause.message
        }
        caller.keep(0, share = 1.0)
        val outcome = "not-run".takeIf { head?.method == "POST" && head.path == REQUESTS_PATH }
        val message = ErrorMessage(code.text, cause.message.orEmpty(), emptyList(), outcome)
        val body = MessageJson.encodeToString(message).toByteArray()
        val fields =
            persistentListOf(
                Header("Content-Type", "application/json"),
                Header(CONTENT_LENGTH, body.size.toString()),
                Header(CONNECTION, "close")
            )
        connection.write(ResponseHead(status, code.text, Headers(fields)).encoded(), body)
        withTimeoutOrNull(limits.headerTimeout) { connection.finish(limits.headerTimeout) }
    }

    private fun refusalOf(cause: IOException): Pair<Int, ErrorCode> = when (cause) {
        is OversizedMessageException -> {
            caller.counts.oversized.incrementAndGet()
            val isBody = BODY in cause.message.orEmpty()
            if (isBody) {
                ErrorCode.BODY_TOO_LARGE.httpStatus to ErrorCode.BODY_TOO_LARGE
            } else {
                HEADER_TOO_LARGE to ErrorCode.MALFORMED_REQUEST
            }
        }

        is StalledPeerException -> {
            caller.counts.stalled.incrementAndGet()
            REQUEST_TIMEOUT to ErrorCode.MALFORMED_REQUEST
        }

        is MemoryExhaustedException -> ErrorCode.OVERLOADED.httpStatus to ErrorCode.OVERLOADED

        else -> ErrorCode.MALFORMED_REQUEST.httpStatus to ErrorCode.MALFORMED_REQUEST
    }

    private companion object {
        const val REQUEST_TIMEOUT = 408
        const val HEADER_TOO_LARGE = 431
        const val BODY = "body"

        /** A body is kept as bytes, as text and as what it is decoded to. */
        const val COPIES = 3
    }
}
