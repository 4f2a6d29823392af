/*
 * Execution of one admitted request: stages first, then calls to targets of the route's service
 * until one response is complete or no retry is permitted.
 */
package org.sapphirelever.runtime.forward

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.TargetRecord
import org.sapphirelever.decisions.forwarding.ChoiceContext
import org.sapphirelever.decisions.forwarding.EngineChoice
import org.sapphirelever.decisions.forwarding.PromptShape
import org.sapphirelever.decisions.forwarding.RefusedCaller
import org.sapphirelever.decisions.forwarding.ResponseEstimate
import org.sapphirelever.decisions.forwarding.StageTimes
import org.sapphirelever.decisions.forwarding.chooseEngine
import org.sapphirelever.decisions.forwarding.expectedFirstToken
import org.sapphirelever.decisions.forwarding.forecastAt
import org.sapphirelever.decisions.forwarding.leastLoaded
import org.sapphirelever.decisions.suspicion.TraitBlock
import org.sapphirelever.runtime.log.logEvent

/** Execution of [admitted]; [trialOf] is the block despite which it is sent, if any. */
internal class RequestExecution(
    private val parts: ForwardingParts,
    private val admitted: AdmittedRequest,
    private var trialOf: TraitBlock?
) {
    private val state = parts.state
    private val guard = parts.guard
    private val refusals = parts.refusals
    private val request = admitted.request
    private val prompt = request.prompt ?: PromptShape()
    private val response = admitted.response
    private val granted = admitted.granted
    private val traits = admitted.traits
    private val route = admitted.route
    private val deadline = admitted.deadline
    private val stream = StreamDelivery(response, parts.protocol, state.memory, request.lastEventId)
    private var results: PersistentList<StageResult> = persistentListOf()
    private var areResultsConsumed = false
    private var excluded: PersistentSet<TargetId> = persistentSetOf()
    private var executions = 0
    private var refusedCalls = 0
    private val limitWait = LimitWait(state, granted.service, deadline)

    private val remaining: Duration get() = deadline - state.clock.now()

    /** Whether another call could be answered before the deadline and before the host stops. */
    private val hasTimeForCall: Boolean
        get() = remaining > MINIMUM_CALL_TIME && parts.shutdown.hasTimeFor(MINIMUM_CALL_TIME)

    private val engineTime: Duration
        get() = expectedFirstToken(remainingTargets(), prompt, choiceContext())

    suspend fun run(): ForwardOutcome {
        try {
            refuseAtOnce()?.let { return it }
            if (route.stages.isNotEmpty()) runStages()
        } catch (failure: StageFailedException) {
            return if (failure.reason == STOPPING) {
                refuseStopping()
            } else {
                refuse("stage-failed: ${failure.reason}", RETRY_AFTER)
            }
        }
        try {
            return callTargets()
        } finally {
            releaseResults()
        }
    }

    /** Refuses a request that is not expected to be served; null if it can start now. */
    private suspend fun refuseAtOnce(): ForwardOutcome? {
        if (state.usableTargets(granted.service).isEmpty()) return refuse(NO_TARGET, RETRY_AFTER)
        val times = parts.stages.expectedTimes(request, route.stages, granted.rank)
        limitWait.retryAfter(times.expected)?.let { return refuse(limitWait.cause, it) }
        if (!parts.shutdown.hasTimeFor(times.expected + engineTime)) return refuseStopping()
        if (route.stages.isEmpty()) return null
        return overloadRetryAfter(times)?.let { refuse("stages-overloaded", it) }
    }

    private suspend fun refuse(cause: String, retryAfter: Duration): ForwardOutcome =
        refusals.refuse(request, response, SERVICE_UNAVAILABLE, cause, retryAfter)

    private suspend fun refuseStopping(): ForwardOutcome = refuse(STOPPING, STOPPING_RETRY_AFTER)

    private suspend fun runStages() {
        val softDeadline = admitted.arrivedAt + route.objective
        val stageDeadline = stageDeadline(softDeadline)
        results =
            stageResults(StageSchedule(granted.rank, stageDeadline, softDeadline, engineTime))
    }

    /** Runs the stages, which fail with [STOPPING] when calls must end because the host stops. */
    private suspend fun stageResults(schedule: StageSchedule): PersistentList<StageResult> =
        coroutineScope {
            val running = async { parts.stages.run(request, route.stages, schedule) }
            val watch = launch {
                parts.shutdown.awaitCallsEnd()
                running.cancel()
            }
            try {
                running.await()
            } catch (cancelled: CancellationException) {
                ensureActive()
                throw if (parts.shutdown.endsCalls) StageFailedException(STOPPING) else cancelled
            } finally {
                watch.cancel()
            }
        }

    /**
     * Runs the stages again for a stream that is resumed at another engine, if the first engine
     * consumed their results, which were released then. Returns false if they cannot be rerun.
     */
    private suspend fun rerunStages(): Boolean {
        if (!areResultsConsumed) return true
        val pieces = route.stages.zip(request.pieceCounts)
        val permitted =
            pieces.all { (stage, count) ->
                List(count) { state.tryTakeRetry(stage.service) }.all { it }
            }
        if (!permitted) return false
        areResultsConsumed = false
        return try {
            val schedule =
                StageSchedule(granted.rank, deadline - STAGE_RESERVE, admitted.arrivedAt)
            results = stageResults(schedule)
            true
        } catch (failure: StageFailedException) {
            logEvent("results-not-remade") {
                "request" to request.id
                "reason" to failure.reason
            }
            false
        }
    }

    /** Time after which the caller should retry, or null if the request can start now. */
    private fun overloadRetryAfter(times: StageTimes): Duration? {
        val patience = stageDeadline(admitted.arrivedAt + route.objective) - state.clock.now()
        val estimate =
            ResponseEstimate(
                objective = route.objective,
                patience = patience + engineTime,
                idle = times.idle + engineTime,
                expected = times.expected + engineTime,
                postponed = times.postponed + engineTime
            )
        val excess = estimate.excess()
        if (excess == null) {
            if (estimate.isLate) logStart("start-postponed", times, estimate, null)
            return null
        }
        val work = times.work * state.hosts.value.size
        val caller = RefusedCaller(granted.rank, excess, work, remaining / RETURN_PARTS)
        val retryAfter = refusals.returnAfter(times.busiest, caller)
        logStart("start-refused", times, estimate, retryAfter)
        return retryAfter
    }

    private fun logStart(
        event: String,
        times: StageTimes,
        estimate: ResponseEstimate,
        retryAfter: Duration?
    ) {
        logEvent(event) {
            "request" to request.id
            "route" to route.name
            "service" to times.busiest
            "report-age-ms" to times.reportAge?.inWholeMilliseconds
            "expected-ms" to estimate.expected.inWholeMilliseconds
            "postponed-ms" to estimate.postponed.inWholeMilliseconds
            "idle-ms" to estimate.idle.inWholeMilliseconds
            "objective-ms" to estimate.objective.inWholeMilliseconds
            "patience-ms" to estimate.patience.inWholeMilliseconds
            "pause-ms" to retryAfter?.inWholeMilliseconds
        }
    }

    /**
     * Deadline of the stages. Work far beyond its objective is of little value and delays other
     * requests, so it is cancelled before the caller's own deadline.
     */
    private fun stageDeadline(softDeadline: MonotonicTime): MonotonicTime = minOf(
        softDeadline + (deadline - softDeadline) * STAGE_OVERRUN_SHARE,
        deadline - STAGE_RESERVE
    )

    private suspend fun callTargets(): ForwardOutcome {
        while (true) {
            val block = guard.blockOf(traits)
            if (block != null && block.trait != trialOf?.trait) return failBlocked(block)
            val choice = nextTarget() ?: return failWithoutTarget()
            if (!remaining.isPositive()) return fail("deadline-passed")
            if (hasNotRun && !parts.shutdown.hasTimeFor(engineTime)) return refuseStopping()
            conclude(call(choice), choice.target)?.let { return it }
        }
    }

    /** The outcome of the request after [attempt], or null if another call is permitted. */
    private suspend fun conclude(attempt: AttemptOutcome, target: TargetRecord): ForwardOutcome? {
        if (attempt is AttemptOutcome.Delivered) return attempt.outcome
        if (attempt is AttemptOutcome.Answered) return deliver(attempt.response)
        excluded = excluded.add(target.id)
        if (attempt is AttemptOutcome.NotRun) {
            refusedCalls++
            return if (mayRetryAfterRefusal(attempt)) null else fail(attempt.cause)
        }
        executions++
        return when (attempt) {
            is AttemptOutcome.Failed -> if (mayRepeat()) null else deliver(attempt.response)

            is AttemptOutcome.MayHaveRun ->
                if (mayRepeat() && rerunStages()) null else fail(attempt.cause)
        }
    }

    /** Chooses a target, and waits shortly if all are at their request limit. */
    private suspend fun nextTarget(): EngineChoice? {
        while (true) {
            choose()?.let { return it }
            if (!limitWait.await(remainingTargets())) return null
        }
    }

    private suspend fun failWithoutTarget(): ForwardOutcome {
        val wait = state.limitWait(granted.service)
        if (wait == Duration.ZERO || !hasNotRun) return fail(NO_TARGET)
        return refuse(limitWait.cause, limitWait.pause(wait))
    }

    /** Whether no target can have run the request, so that 503 is true. */
    private val hasNotRun: Boolean get() = executions == 0 && !response.hasStarted

    private fun remainingTargets(): List<TargetRecord> =
        state.usableTargets(granted.service).filterNot { it.id in excluded }

    private suspend fun failBlocked(block: TraitBlock): ForwardOutcome = if (hasNotRun) {
        refusals.refuseBlocked(request, response, block)
    } else {
        fail(SUSPECTED_CRASH)
    }

    private fun mayRetryAfterRefusal(attempt: AttemptOutcome.NotRun): Boolean =
        refusedCalls <= MAXIMUM_REFUSALS && hasTimeForCall &&
            (!attempt.sent || state.tryTakeRetry(granted.service))

    private fun mayRepeat(): Boolean =
        route.repetition.mayRepeat && executions < route.maximumAttempts &&
            guard.blockOf(traits) == null && hasTimeForCall &&
            state.tryTakeRetry(granted.service)

    private fun choose(): EngineChoice? {
        val available = state.availableTargets(granted.service)
        val candidates = available.filterNot { it.id in excluded }
        val context = choiceContext()
        if (trialOf == null) return chooseEngine(candidates, prompt, context)
        return leastLoaded(candidates, context.views)?.let { forecastAt(it, prompt, context) }
    }

    private fun choiceContext(): ChoiceContext = ChoiceContext(
        views = state.targetViews,
        request = request.id,
        dataCentre = state.profile.dataCentre,
        now = state.clock.now(),
        limits = state.configuration.value.table?.service(granted.service)?.engine,
        totals = state.prompts.totals(granted.service),
        hosts = state.hosts.value.size,
        results = results.bytesByDataCentre()
    )

    private suspend fun call(choice: EngineChoice): AttemptOutcome {
        val isTrial = trialOf != null
        trialOf = null
        return TargetAttempt(parts, admitted, stream, choice, results, isTrial) {
            if (results.isNotEmpty()) {
                areResultsConsumed = true
                releaseResults()
            }
        }.run()
    }

    private suspend fun deliver(complete: CompleteResponse): ForwardOutcome {
        val status = complete.source.reply.status
        if (response.hasStarted) return ForwardOutcome(status, "stream-broken", complete.target)
        response.send(parts.protocol.callerHead(complete.source.head), complete.body)
        return ForwardOutcome(status, "answered", complete.target)
    }

    /** Ends the request without a complete response of a target. */
    private suspend fun fail(cause: String): ForwardOutcome = when {
        response.hasStarted -> ForwardOutcome(0, "stream-broken: $cause")
        executions == 0 -> refuse(cause, retryAfterFailure())
        remaining.isPositive() -> refusals.refuse(request, response, BAD_GATEWAY, cause, null)
        else -> refusals.refuse(request, response, GATEWAY_TIMEOUT, cause, null)
    }

    private fun retryAfterFailure(): Duration =
        if (limitWait.areAllPaused) state.limitWait(granted.service) else RETRY_AFTER

    private fun releaseResults() {
        parts.executor.release(results)
        results = persistentListOf()
    }

    private companion object {
        /** Callers wait for at most this part of their time before they retry. */
        const val RETURN_PARTS = 3

        /** Targets that may refuse a request before the caller is told to retry later. */
        const val MAXIMUM_REFUSALS = 3

        /** A target could not respond within less remaining time. */
        val MINIMUM_CALL_TIME = 40.milliseconds

        /** Share of the time between soft deadline and deadline that stages may use. */
        const val STAGE_OVERRUN_SHARE = 0.35

        /** Time before the deadline that stages must leave to the model engine. */
        val STAGE_RESERVE = 150.milliseconds
    }
}
