/*
 * Connections of callers. Each is served by one task: a request is read whole, answered, and only
 * then is the next one read.
 */
package org.sapphirelever.runtime.forward

import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.sapphirelever.core.SapphireleverException
import org.sapphirelever.core.forwarding.CallerLimits
import org.sapphirelever.runtime.host.GracefulShutdown
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.runtime.transport.CONTINUE
import org.sapphirelever.runtime.transport.Framing
import org.sapphirelever.runtime.transport.HttpConnection
import org.sapphirelever.runtime.transport.RequestHead
import org.sapphirelever.runtime.transport.TornMessageException
import org.sapphirelever.runtime.transport.readWhole
import org.sapphirelever.runtime.transport.requestFraming

/** Serves the connections of callers. */
public class CallerConnections(
    private val protocol: ForwardProtocol,
    private val state: ForwardingState,
    private val forwarding: RequestForwarding,
    private val shutdown: GracefulShutdown,
    private val metrics: ForwardingMetrics
) {
    private val limits: CallerLimits
        get() = state.belief.value.table?.configuration?.limits ?: STARTING_LIMITS

    /** Serves [connection] until it ends. */
    public suspend fun serve(connection: HttpConnection) {
        while (true) {
            val arrived = withTimeoutOrNull(limits.idleTimeout) { connection.awaitMessage() }
            if (arrived != true) return
            val head =
                try {
                    withTimeoutOrNull(limits.headerTimeout) { connection.receiveRequest() }
                } catch (torn: TornMessageException) {
                    return reject(connection, BAD_REQUEST, torn.message.orEmpty())
                } ?: return reject(connection, REQUEST_TIMEOUT, "header incomplete in time")
            if (!serve(connection, head)) return
        }
    }

    /** Serves one request; false if the connection serves no further one. */
    private suspend fun serve(connection: HttpConnection, head: RequestHead): Boolean {
        val arrived = state.clock.now()
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
        val body =
            try {
                receiveBody(connection, head)
            } catch (torn: TornMessageException) {
                reject(connection, BAD_REQUEST, torn.message.orEmpty())
                return false
            }
        if (body == null) {
            reject(connection, BODY_TOO_LARGE, "body too large")
            return false
        }
        val keeps = !head.headers.hasToken("Connection", "close")
        val answer =
            CallerAnswer(connection, head.method == "HEAD") { keeps && shutdown.announcesReady }
        val outcome =
            try {
                shutdown.admit(request.id, forwarding.longest(request)) {
                    whileCallerStays(connection) {
                        forwarding.forward(request, body, arrived, answer)
                    }
                }
            } catch (_: SapphireleverException) {
                answer.whole(protocol.refusal(request.id, NOT_NOW, STOPPING_PAUSE), NO_BODY)
                ForwardOutcome(NOT_NOW, "stopping")
            }
        finished(request, outcome, state.clock.now() - arrived)
        return outcome != null && answer.isWhole && answer.keptOpen
    }

    private suspend fun receiveBody(connection: HttpConnection, head: RequestHead): ByteArray? {
        val framing = head.headers.requestFraming()
        if (framing == Framing.Empty) return NO_BODY
        if (head.headers.hasToken("Expect", "100-continue")) connection.write(CONTINUE)
        return withTimeoutOrNull(limits.idleTimeout) {
            connection.body(framing).readWhole(limits.bodyBytes)
        }
    }

    /** Runs [action]; returns null when the caller closes its connection meanwhile. */
    private suspend fun <T : Any> whileCallerStays(
        connection: HttpConnection,
        action: suspend () -> T
    ): T? = try {
        coroutineScope {
            val watch =
                launch { if (!stays(connection)) throw CallerLeftException() }
            val result = action()
            watch.cancel()
            result
        }
    } catch (_: CallerLeftException) {
        null
    }

    private suspend fun stays(connection: HttpConnection): Boolean = try {
        connection.awaitMessage()
    } catch (_: IOException) {
        currentCoroutineContext().ensureActive()
        false
    }

    private fun finished(request: CallerRequest, outcome: ForwardOutcome?, took: Duration) {
        val belief = state.belief.value
        metrics.finished(outcome, took)
        logEvent("request-finished") {
            "request" to request.id
            "status" to (outcome?.status ?: 0)
            "cause" to (outcome?.cause ?: "caller-left")
            "target" to outcome?.target
            "took-ms" to took.inWholeMilliseconds
            "configuration" to belief.version
            "configuration-age-ms" to belief.age(state.moment())?.inWholeMilliseconds
        }
    }

    /** Answers bytes that are no acceptable request; the connection ends. */
    private suspend fun reject(connection: HttpConnection, status: Int, cause: String) {
        logEvent("request-rejected") {
            "status" to status
            "cause" to cause
        }
        CallerAnswer(connection, withoutBody = false) { false }
            .whole(protocol.refusal(null, status, null), NO_BODY)
    }

    /** The caller closed its connection before it had the whole answer. */
    private class CallerLeftException : IOException("caller left")

    private companion object {
        const val BAD_REQUEST = 400
        const val REQUEST_TIMEOUT = 408
        const val BODY_TOO_LARGE = 413
        const val HEADER_TOO_LARGE = 431
        const val NOT_NOW = 503
        val NO_BODY = ByteArray(0)

        /** Callers come back on a new connection, which reaches another host. */
        val STOPPING_PAUSE = 50.milliseconds

        /** Until a configuration is known, requests are read only to be refused. */
        val STARTING_LIMITS =
            CallerLimits(
                headerBytes = 16_384,
                bodyBytes = 4_194_304,
                headerTimeout = 3.seconds,
                idleTimeout = 15.seconds
            )
    }
}
