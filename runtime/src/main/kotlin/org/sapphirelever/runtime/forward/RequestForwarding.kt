/*
 * Admission of requests of callers, which are then executed or refused at once.
 */
package org.sapphirelever.runtime.forward

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.persistentListOf
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.TargetId
import org.sapphirelever.decisions.forwarding.Admission
import org.sapphirelever.decisions.forwarding.ConfigurationBounds
import org.sapphirelever.decisions.forwarding.admit
import org.sapphirelever.decisions.forwarding.maximumConfigurationAge
import org.sapphirelever.decisions.forwarding.maximumSupersededTime
import org.sapphirelever.decisions.keys.Fingerprint
import org.sapphirelever.decisions.suspicion.RequestTrait
import org.sapphirelever.runtime.host.GracefulShutdown
import org.sapphirelever.runtime.transport.MessageBody

/** Outcome of a request, for the log and the metrics. */
public data class ForwardOutcome(
    public val status: Int,
    public val cause: String,
    public val target: TargetId? = null
)

/** What the execution of a request uses; one instance serves all requests of a host. */
internal class ForwardingParts(
    val protocol: ForwardProtocol,
    val state: ForwardingState,
    val calls: TargetCalls,
    val stages: StageExecutor,
    val executor: PieceExecutor,
    val guard: CrashGuard,
    val refusals: Refusals,
    val shutdown: GracefulShutdown
)

/** Forwards requests of callers. */
public class RequestForwarding(
    protocol: ForwardProtocol,
    private val state: ForwardingState,
    calls: TargetCalls,
    stages: StageExecutor,
    executor: PieceExecutor,
    private val guard: CrashGuard,
    shutdown: GracefulShutdown
) {
    private val refusals = Refusals(protocol, state, guard)
    private val parts =
        ForwardingParts(protocol, state, calls, stages, executor, guard, refusals, shutdown)

    /** Forwards [request], which arrived at [arrivedAt] with [body], and writes [response]. */
    public suspend fun forward(
        request: CallerRequest,
        body: MessageBody,
        arrivedAt: MonotonicTime,
        response: CallerResponse
    ): ForwardOutcome {
        val bounds =
            ConfigurationBounds(
                maximumConfigurationAge(state.profile.maximumRevocationDelay),
                maximumSupersededTime(state.profile.maximumConfigurationDelay)
            )
        return when (
            val admission =
                state.configuration.value.admit(request.identity, state.readClock(), bounds)
        ) {
            Admission.NotReady ->
                refusals.refuse(
                    request,
                    response,
                    SERVICE_UNAVAILABLE,
                    "not-ready",
                    NOT_READY_RETRY_AFTER
                )

            is Admission.Unconfirmed ->
                refusals.refuse(
                    request,
                    response,
                    SERVICE_UNAVAILABLE,
                    "configuration-unconfirmed",
                    NOT_READY_RETRY_AFTER
                )

            Admission.UnknownRoute -> refusals.refuse(
                request,
                response,
                NOT_FOUND,
                "unknown-route",
                null
            )

            Admission.UnknownKey -> refusals.refuse(
                request,
                response,
                UNAUTHORIZED,
                "unknown-key",
                null
            )

            is Admission.Granted -> execute(request, body, arrivedAt, response, admission)
        }
    }

    private suspend fun execute(
        request: CallerRequest,
        body: MessageBody,
        arrivedAt: MonotonicTime,
        response: CallerResponse,
        granted: Admission.Granted
    ): ForwardOutcome {
        val traits = traitsOf(request, body, granted)
        val block = guard.blockOf(traits)
        if (block != null && !guard.mayTry(block)) {
            return refusals.refuseBlocked(request, response, block)
        }
        state.countRequest(granted.service)
        return state.memory.claim().use { memory ->
            val admitted =
                AdmittedRequest(request, body, arrivedAt, response, granted, traits, memory)
            RequestExecution(parts, admitted, block).run()
        }
    }

    /**
     * Longest time that [request] may take; null for a stream or a route with stages, which may
     * take long.
     */
    public fun maximumDuration(request: CallerRequest): Duration? {
        val table = state.configuration.value.table ?: return Duration.ZERO
        val route =
            table.route(request.identity.host, request.identity.path) ?: return Duration.ZERO
        if (route.repetition.isStream || route.stages.isNotEmpty()) return null
        return minOf(request.timeout ?: route.timeout, route.timeout) + RESPONSE_GRACE
    }

    /** Share of the memory for messages that [request] may use; urgent ones find room longest. */
    public fun memoryShare(request: CallerRequest): Double {
        val table = state.configuration.value.table ?: return COMMON_MEMORY_SHARE
        val organisation = request.identity.key?.let { table.organisation(it) }
        val route = table.route(request.identity.host, request.identity.path)
        val rank = organisation?.rank ?: route?.rank
        return if (rank == 0) 1.0 else COMMON_MEMORY_SHARE
    }

    private fun traitsOf(
        request: CallerRequest,
        body: MessageBody,
        granted: Admission.Granted
    ): List<RequestTrait> {
        val fingerprint =
            Fingerprint.of(
                granted.organisation?.value.orEmpty(),
                request.head.method,
                request.head.target,
                body = body.blocks
            )
        val parts = request.prompt?.shared ?: persistentListOf()
        return parts.mapIndexed { depth, part -> RequestTrait.ofPromptPart(part.id, depth) } +
            RequestTrait.ofRequest(fingerprint)
    }

    private companion object {
        const val NOT_FOUND = 404
        const val UNAUTHORIZED = 401

        /** The rest of the memory is for requests of the most urgent rank. */
        const val COMMON_MEMORY_SHARE = 0.8

        /** Callers retry on a new connection, which may reach a host that is ready. */
        val NOT_READY_RETRY_AFTER = 200.milliseconds
    }
}
