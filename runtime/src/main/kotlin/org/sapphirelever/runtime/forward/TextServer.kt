/*
 * Answers of a host about itself: readiness and metrics.
 */
package org.sapphirelever.runtime.forward

import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.withTimeoutOrNull
import org.sapphirelever.core.Endpoint
import org.sapphirelever.decisions.admission.CallerPhase
import org.sapphirelever.runtime.transport.Caller
import org.sapphirelever.runtime.transport.CallerRegistry
import org.sapphirelever.runtime.transport.HeadLimits
import org.sapphirelever.runtime.transport.Header
import org.sapphirelever.runtime.transport.Headers
import org.sapphirelever.runtime.transport.MessageBody
import org.sapphirelever.runtime.transport.ResponseHead
import org.sapphirelever.runtime.transport.Sockets
import org.sapphirelever.runtime.transport.requestFraming
import org.sapphirelever.runtime.transport.skipWhole

/**
 * Serves texts. Each address has connections of its own and keeps nothing of a request, so that a
 * host that is full of callers still answers there.
 */
internal class TextServer(private val sockets: Sockets, private val state: ForwardingState) {
    /** Serves the status and body of [answer] on [endpoint], whatever path is requested. */
    suspend fun serve(endpoint: Endpoint, answer: () -> Pair<Int, ByteArray>) {
        val registry =
            CallerRegistry(MAXIMUM_CONNECTIONS, state.memory, state.clock, state.callers.counts)
        sockets.listen(endpoint, registry).use { listener ->
            listener.run { caller -> serve(caller, answer) }
        }
    }

    private suspend fun serve(caller: Caller, answer: () -> Pair<Int, ByteArray>) {
        while (true) {
            caller.enter(CallerPhase.IDLE)
            val isKept =
                withTimeoutOrNull(REQUEST_TIMEOUT) { serveRequest(caller, answer) } ?: return
            if (!isKept) return caller.connection.finish()
        }
    }

    /** Serves one request; false if the connection is to be closed. */
    private suspend fun serveRequest(caller: Caller, answer: () -> Pair<Int, ByteArray>): Boolean {
        val connection = caller.connection
        val head =
            connection.receiveRequest(LIMITS, keptFields = KEPT_FIELDS) { caller.noteProgress() }
                ?: return false
        val isSkipped = connection.body(head.headers.requestFraming()).skipWhole(MAXIMUM_BODY_BYTES)
        val isKept = isSkipped && !head.headers.hasToken("Connection", "close")
        val (status, body) = answer()
        val type = Header("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
        CallerResponse(caller, omitsBody = false) { isKept }
            .send(
                ResponseHead(status, "Answer", Headers(persistentListOf(type))),
                MessageBody.of(body)
            )
        return isKept
    }

    private companion object {
        /** Several times the probes of a load balancer, a scraper and operators. */
        const val MAXIMUM_CONNECTIONS = 64

        /** Several times the interval of probes and scrapes, which reuse their connection. */
        val REQUEST_TIMEOUT = 20.seconds

        /** A request without any use for its body may still have a small one. */
        const val MAXIMUM_BODY_BYTES = 65_536
        val LIMITS = HeadLimits.ofRequests(bytes = 65_536)
        val KEPT_FIELDS = setOf("connection", "content-length", "transfer-encoding")
    }
}
