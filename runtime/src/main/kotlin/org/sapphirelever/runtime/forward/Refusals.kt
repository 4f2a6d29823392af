/*
 * Responses that this host makes itself, for requests that are not forwarded or got no answer.
 */
package org.sapphirelever.runtime.forward

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.sapphirelever.core.ServiceName
import org.sapphirelever.decisions.forwarding.RefusedCaller
import org.sapphirelever.decisions.forwarding.ReturnLine
import org.sapphirelever.decisions.suspicion.TraitBlock
import org.sapphirelever.runtime.StateCell
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.runtime.transport.MessageBody

internal const val SERVICE_UNAVAILABLE = 503
internal const val BAD_GATEWAY = 502
internal const val GATEWAY_TIMEOUT = 504

/** Causes of refusals, for the log and the metrics. */
internal const val TARGETS_LIMITED = "targets-limited"
internal const val TARGETS_PAUSED = "targets-paused"
internal const val NO_TARGET = "no-target"
internal const val MEMORY_EXHAUSTED = "memory-exhausted"
internal const val SUSPECTED_CRASH = "suspected-crash"
internal const val STOPPING = "stopping"

/** Time after which the load is expected to have changed for a refused caller. */
internal val RETRY_AFTER = 300.milliseconds

/** Callers of a host that stops retry on a new connection, which reaches another host. */
internal val STOPPING_RETRY_AFTER = 50.milliseconds

/** Targets stop work at the deadline; their response arrives slightly later. */
internal val RESPONSE_GRACE = 100.milliseconds

/** Refuses requests. */
internal class Refusals(
    private val protocol: ForwardProtocol,
    private val state: ForwardingState,
    private val guard: CrashGuard
) {
    private val lines = StateCell<PersistentMap<ServiceName?, ReturnLine>>(persistentMapOf())

    /** Time after which [caller] should return, for room of [service]. */
    fun returnAfter(service: ServiceName?, caller: RefusedCaller): Duration {
        var delay = Duration.ZERO
        lines.update { all ->
            val (line, place) = (all[service] ?: ReturnLine()).promise(caller, state.clock.now())
            delay = place
            all.put(service, line)
        }
        return delay
    }

    /** Refuses [request]; its caller may retry after [retryAfter]. */
    suspend fun refuse(
        request: CallerRequest,
        response: CallerResponse,
        status: Int,
        cause: String,
        retryAfter: Duration?
    ): ForwardOutcome {
        response.send(protocol.refusal(request.id, status, retryAfter), MessageBody.EMPTY)
        return ForwardOutcome(status, cause)
    }

    /** Refuses a request that has not run and would probably crash a target. */
    suspend fun refuseBlocked(
        request: CallerRequest,
        response: CallerResponse,
        block: TraitBlock
    ): ForwardOutcome {
        val retryAfter = guard.retryAfter(block)
        logEvent("request-blocked") {
            "request" to request.id
            "trait" to block.trait.value
            "crashes" to block.crashes
            "last-crash-age-ms" to (state.clock.now() - block.lastCrashAt).inWholeMilliseconds
            "pause-ms" to retryAfter.inWholeMilliseconds
        }
        return refuse(request, response, SERVICE_UNAVAILABLE, SUSPECTED_CRASH, retryAfter)
    }
}
