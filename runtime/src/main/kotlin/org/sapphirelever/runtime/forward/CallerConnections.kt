/*
 * Connections of callers. Each is served by one task, which reads a complete request and writes its
 * response before it reads the next request.
 */
package org.sapphirelever.runtime.forward

import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.SapphireleverException
import org.sapphirelever.core.forwarding.CallerLimits
import org.sapphirelever.decisions.admission.CallerPhase
import org.sapphirelever.runtime.host.GracefulShutdown
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.runtime.transport.CONTINUE
import org.sapphirelever.runtime.transport.Caller
import org.sapphirelever.runtime.transport.Framing
import org.sapphirelever.runtime.transport.HeadLimits
import org.sapphirelever.runtime.transport.HttpConnection
import org.sapphirelever.runtime.transport.MemoryExhaustedException
import org.sapphirelever.runtime.transport.MessageBody
import org.sapphirelever.runtime.transport.OversizedMessageException
import org.sapphirelever.runtime.transport.ProgressingBody
import org.sapphirelever.runtime.transport.StalledPeerException
import org.sapphirelever.runtime.transport.TornMessageException
import org.sapphirelever.runtime.transport.readWhole
import org.sapphirelever.runtime.transport.requestFraming

public class CallerConnections(
    private val protocol: ForwardProtocol,
    private val state: ForwardingState,
    private val forwarding: RequestForwarding,
    private val shutdown: GracefulShutdown,
    private val metrics: ForwardingMetrics
) {
    private val limits: CallerLimits
        get() = state.configuration.value.table?.configuration?.limits ?: DEFAULT_LIMITS

    /** Serves [caller] until its connection closes. */
    public suspend fun serve(caller: Caller) {
        val connection = caller.connection
        while (true) {
            caller.enter(CallerPhase.IDLE)
            val hasRequest = withTimeoutOrNull(limits.idleTimeout) { connection.awaitMessage() }
            if (hasRequest != true) return
            caller.enter(CallerPhase.RECEIVING)
            val request =
                try {
                    withTimeoutOrNull(limits.headerTimeout) { receiveHead(caller) }
                        ?: throw StalledPeerException(limits.headerTimeout)
                } catch (refused: IOException) {
                    return reject(caller, refused)
                } catch (invalid: IllegalArgumentException) {
                    return reject(caller, BAD_REQUEST, invalid.message.orEmpty())
                }
            if (!serve(caller, request)) return
            caller.keep(0, share = 1.0)
        }
    }

    /** Receives a head and decodes it. */
    private suspend fun receiveHead(caller: Caller): ReceivedHead {
        var bytes = 0L
        val head =
            caller.connection.receiveRequest(HeadLimits.ofRequests(limits.headerBytes)) {
                bytes = it
                caller.noteProgress()
                caller.keep(it, RequestForwarding.COMMON_MEMORY_SHARE)
            } ?: throw TornMessageException("connection closed within the header")
        return ReceivedHead(protocol.decode(head), bytes)
    }

    /** Serves one request; false if the connection is to be closed. */
    private suspend fun serve(caller: Caller, received: ReceivedHead): Boolean {
        val arrivedAt = state.clock.now()
        val request = received.request
        val body =
            try {
                receiveBody(caller, received)
            } catch (refused: IOException) {
                reject(caller, refused, request.id)
                return false
            }
        caller.enter(CallerPhase.RUNNING)
        return respond(caller, request, body, arrivedAt)
    }

    /** Responds to a complete request; false if the connection is to be closed. */
    private suspend fun respond(
        caller: Caller,
        request: CallerRequest,
        body: MessageBody,
        arrivedAt: MonotonicTime
    ): Boolean {
        val connection = caller.connection
        val head = request.head
        val keepAlive = !head.headers.hasToken("Connection", "close")
        val response =
            CallerResponse(caller, head.method == "HEAD") {
                keepAlive && shutdown.announcesReady
            }
        try {
            shutdown.admit(request.id, forwarding.maximumDuration(request)) {
                val outcome =
                    cancelOnDisconnect(connection) {
                        forwarding.forward(request, body, arrivedAt, response)
                    }
                recordFinished(request, outcome, state.clock.now() - arrivedAt)
                finish(connection, response)
            }
        } catch (refused: SapphireleverException) {
            // A head must never follow the bytes of a response that has begun.
            if (response.hasStarted) throw refused
            response.send(
                protocol.refusal(request.id, SERVICE_UNAVAILABLE, STOPPING_RETRY_AFTER),
                MessageBody.EMPTY
            )
            val outcome = ForwardOutcome(SERVICE_UNAVAILABLE, STOPPING)
            recordFinished(request, outcome, state.clock.now() - arrivedAt)
        }
        return response.isComplete && response.isKeptAlive && shutdown.announcesReady
    }

    /** Ends [connection] after a complete [response], unless it serves further requests. */
    private suspend fun finish(connection: HttpConnection, response: CallerResponse) {
        val isKept = response.isKeptAlive && shutdown.announcesReady
        if (response.isComplete && !isKept) {
            withTimeoutOrNull(limits.idleTimeout) { connection.finish() }
        }
    }

    /**
     * Receives the body of a request and keeps its bytes. A body without room is refused before it
     * is read.
     */
    private suspend fun receiveBody(caller: Caller, received: ReceivedHead): MessageBody {
        val request = received.request
        val share = forwarding.memoryShare(request)
        val framing = request.head.headers.requestFraming()
        if (framing == Framing.Empty) return MessageBody.EMPTY
        if (framing is Framing.Length) {
            if (framing.bytes > limits.bodyBytes) throw OversizedBodyException()
            caller.keep(received.bytes + framing.bytes, share)
        }
        if (request.head.headers.hasToken("Expect", "100-continue")) {
            caller.connection.write(CONTINUE)
        }
        val body = ProgressingBody(caller, caller.connection.body(framing), limits.idleTimeout)
        return body.readWhole(limits.bodyBytes) { occupied ->
            val bytes = received.bytes + occupied
            if (bytes > caller.hold.bytes) caller.keep(bytes, share)
        } ?: throw OversizedBodyException()
    }

    /** Runs [action]; cancels it and returns null if the caller closes [connection] meanwhile. */
    private suspend fun <T : Any> cancelOnDisconnect(
        connection: HttpConnection,
        action: suspend () -> T
    ): T? = try {
        coroutineScope {
            val watch =
                launch { if (!awaitNextRequest(connection)) throw CallerLeftException() }
            val result = action()
            watch.cancel()
            result
        }
    } catch (_: CallerLeftException) {
        null
    }

    /** Waits for the next request on [connection]; false if the caller closes it first. */
    private suspend fun awaitNextRequest(connection: HttpConnection): Boolean = try {
        connection.awaitMessage()
    } catch (_: IOException) {
        currentCoroutineContext().ensureActive()
        false
    }

    private fun recordFinished(request: CallerRequest, outcome: ForwardOutcome?, took: Duration) {
        val configuration = state.configuration.value
        metrics.recordFinished(outcome, took)
        logEvent("request-finished") {
            "request" to request.id
            "status" to (outcome?.status ?: 0)
            "cause" to (outcome?.cause ?: "caller-left")
            "target" to outcome?.target
            "took-ms" to took.inWholeMilliseconds
            "configuration" to configuration.version
            "configuration-age-ms" to
                configuration.age(state.readClock())?.inWholeMilliseconds
        }
    }

    /** Rejects a request that has not run, because of [cause]. */
    private suspend fun reject(caller: Caller, cause: IOException, request: String? = null) {
        val text = cause.message.orEmpty()
        when (cause) {
            is OversizedBodyException -> {
                caller.counts.oversized.incrementAndGet()
                reject(caller, BODY_TOO_LARGE, text, request)
            }

            is OversizedMessageException -> {
                caller.counts.oversized.incrementAndGet()
                reject(caller, HEADER_TOO_LARGE, text, request)
            }

            is StalledPeerException -> {
                caller.counts.stalled.incrementAndGet()
                reject(caller, REQUEST_TIMEOUT, text, request)
            }

            is MemoryExhaustedException -> {
                metrics.recordFinished(ForwardOutcome(SERVICE_UNAVAILABLE, MEMORY_EXHAUSTED), ZERO)
                reject(caller, SERVICE_UNAVAILABLE, text, request, MEMORY_RETRY_AFTER)
            }

            else -> reject(caller, BAD_REQUEST, text, request)
        }
    }

    /**
     * Rejects a request that is invalid, oversized, incomplete or without room. Its connection is
     * closed then; what the caller is still sending is read, so that it receives the response.
     */
    private suspend fun reject(
        caller: Caller,
        status: Int,
        cause: String,
        request: String? = null,
        retryAfter: Duration? = null
    ) {
        logEvent("request-rejected") {
            "request" to request
            "status" to status
            "cause" to cause
        }
        caller.keep(0, share = 1.0)
        CallerResponse(caller, omitsBody = false) { false }
            .send(protocol.refusal(request, status, retryAfter), MessageBody.EMPTY)
        withTimeoutOrNull(limits.headerTimeout) { caller.connection.finish(limits.headerTimeout) }
    }

    /** A decoded head, for which [bytes] are kept. */
    private class ReceivedHead(val request: CallerRequest, val bytes: Long)

    private class OversizedBodyException : IOException("body too large")

    /** The caller closed its connection before the response was complete. */
    private class CallerLeftException : IOException("caller left")

    private companion object {
        const val BAD_REQUEST = 400
        const val REQUEST_TIMEOUT = 408
        const val BODY_TOO_LARGE = 413
        const val HEADER_TOO_LARGE = 431

        /** Bodies are held for about as long as their requests take. */
        val MEMORY_RETRY_AFTER = 1.seconds

        /** Limits until a configuration is known; until then every request is refused. */
        val DEFAULT_LIMITS =
            CallerLimits(
                headerBytes = 16_384,
                bodyBytes = 4_194_304,
                headerTimeout = 3.seconds,
                idleTimeout = 15.seconds
            )
    }
}
