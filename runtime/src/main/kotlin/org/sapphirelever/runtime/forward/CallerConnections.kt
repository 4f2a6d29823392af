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
import org.sapphirelever.runtime.host.GracefulShutdown
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.runtime.transport.CONTINUE
import org.sapphirelever.runtime.transport.Framing
import org.sapphirelever.runtime.transport.HttpConnection
import org.sapphirelever.runtime.transport.MemoryClaim
import org.sapphirelever.runtime.transport.MemoryExhaustedException
import org.sapphirelever.runtime.transport.MessageBody
import org.sapphirelever.runtime.transport.OversizedMessageException
import org.sapphirelever.runtime.transport.RequestHead
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

    /** Serves [connection] until it closes. */
    public suspend fun serve(connection: HttpConnection) {
        while (true) {
            val hasRequest = withTimeoutOrNull(limits.idleTimeout) { connection.awaitMessage() }
            if (hasRequest != true) return
            val head =
                try {
                    withTimeoutOrNull(limits.headerTimeout) { connection.receiveRequest() }
                } catch (torn: TornMessageException) {
                    return reject(connection, BAD_REQUEST, torn.message.orEmpty())
                } catch (oversized: OversizedMessageException) {
                    return reject(connection, HEADER_TOO_LARGE, oversized.message.orEmpty())
                } ?: return reject(connection, REQUEST_TIMEOUT, "header incomplete at timeout")
            if (!serve(connection, head)) return
        }
    }

    /** Serves one request; false if the connection is to be closed. */
    private suspend fun serve(connection: HttpConnection, head: RequestHead): Boolean {
        val arrivedAt = state.clock.now()
        if (head.headers.fields.sumOf { it.name.length + it.value.length } > limits.headerBytes) {
            reject(connection, HEADER_TOO_LARGE, "header too large")
            return false
        }
        val request =
            try {
                protocol.decode(head)
            } catch (invalid: IllegalArgumentException) {
                reject(connection, BAD_REQUEST, invalid.message.orEmpty())
                return false
            }
        return state.memory.claim(forwarding.memoryShare(request)).use { memory ->
            val body = receiveBody(connection, request, memory) ?: return@use false
            respond(connection, request, body, arrivedAt)
        }
    }

    /** Responds to a complete request; false if the connection is to be closed. */
    private suspend fun respond(
        connection: HttpConnection,
        request: CallerRequest,
        body: MessageBody,
        arrivedAt: MonotonicTime
    ): Boolean {
        val head = request.head
        val keepAlive = !head.headers.hasToken("Connection", "close")
        val response =
            CallerResponse(connection, head.method == "HEAD") {
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
     * Receives the body of [request], whose bytes [memory] holds. Returns null if the request was
     * rejected; one that does not fit into the memory is refused before its body is read.
     */
    private suspend fun receiveBody(
        connection: HttpConnection,
        request: CallerRequest,
        memory: MemoryClaim
    ): MessageBody? {
        try {
            readBody(connection, request.head, memory)?.let { return it }
            reject(connection, BODY_TOO_LARGE, "body too large")
        } catch (torn: TornMessageException) {
            reject(connection, BAD_REQUEST, torn.message.orEmpty())
        } catch (exhausted: MemoryExhaustedException) {
            val retryAfter = MEMORY_RETRY_AFTER
            val cause = exhausted.message.orEmpty()
            reject(connection, SERVICE_UNAVAILABLE, cause, request.id, retryAfter)
            metrics.recordFinished(ForwardOutcome(SERVICE_UNAVAILABLE, MEMORY_EXHAUSTED), ZERO)
        }
        return null
    }

    /** The body, or null if it is larger than permitted or does not arrive in time. */
    private suspend fun readBody(
        connection: HttpConnection,
        head: RequestHead,
        memory: MemoryClaim
    ): MessageBody? {
        val framing = head.headers.requestFraming()
        if (framing == Framing.Empty) return MessageBody.EMPTY
        if (framing is Framing.Length) {
            if (framing.bytes > limits.bodyBytes) return null
            memory.resize(framing.bytes)
        }
        if (head.headers.hasToken("Expect", "100-continue")) connection.write(CONTINUE)
        return withTimeoutOrNull(limits.idleTimeout) {
            connection.body(framing).readWhole(limits.bodyBytes, memory)
        }
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

    /**
     * Rejects a request that is invalid, oversized, incomplete or without room. Its connection is
     * closed then; what the caller is still sending is read, so that it receives the response.
     */
    private suspend fun reject(
        connection: HttpConnection,
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
        CallerResponse(connection, omitsBody = false) { false }
            .send(protocol.refusal(request, status, retryAfter), MessageBody.EMPTY)
        withTimeoutOrNull(limits.headerTimeout) { connection.finish(limits.headerTimeout) }
    }

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
