/*
 * Execution of one admitted request: stages first, then calls to targets of the route's service
 * until one response is complete or no retry is permitted.
 */
package org.sapphirelever.runtime.forward

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.TargetRecord
import org.sapphirelever.decisions.forwarding.Admission
import org.sapphirelever.decisions.forwarding.PromptShape
import org.sapphirelever.decisions.forwarding.ResponseEstimate
import org.sapphirelever.decisions.forwarding.chooseEngine
import org.sapphirelever.decisions.forwarding.expectedFirstToken
import org.sapphirelever.decisions.forwarding.leastLoaded
import org.sapphirelever.decisions.forwarding.withCached
import org.sapphirelever.decisions.suspicion.RequestTrait
import org.sapphirelever.decisions.suspicion.TraitBlock
import org.sapphirelever.runtime.log.logEvent

/** Execution of one admitted request. */
internal class RequestExecution(
    private val parts: ForwardingParts,
    private val request: CallerRequest,
    private val body: ByteArray,
    private val arrivedAt: MonotonicTime,
    private val response: CallerResponse,
    private val granted: Admission.Granted,
    private val traits: List<RequestTrait>,
    private var trialOf: TraitBlock?
) {
    private val state = parts.state
    private val guard = parts.guard
    private val refusals = parts.refusals
    private val route = granted.route
    private val allowedTime = minOf(request.timeout ?: route.timeout, route.timeout)
    private val deadline = arrivedAt + allowedTime
    private val stream = StreamDelivery(response, parts.protocol, request.lastEventId)
    private var results: PersistentList<StageResult> = persistentListOf()
    private var areResultsConsumed = false
    private var excluded: PersistentSet<TargetId> = persistentSetOf()
    private var executions = 0
    private var refusedCalls = 0
    private val limitWait = LimitWait(state, granted.service, deadline)

    private val remaining: Duration get() = deadline - state.clock.now()

    suspend fun run(): ForwardOutcome {
        try {
            val stageTime = parts.stages.expectedTime(request, route.stages, granted.rank).current
            limitWait.retryAfter(stageTime)?.let { retryAfter ->
                return refusals.refuse(
                    request,
                    response,
                    SERVICE_UNAVAILABLE,
                    TARGETS_LIMITED,
                    retryAfter
                )
            }
            if (route.stages.isNotEmpty()) {
                overloadRetryAfter()?.let { retryAfter ->
                    return refusals.refuse(
                        request,
                        response,
                        SERVICE_UNAVAILABLE,
                        "stages-overloaded",
                        retryAfter
                    )
                }
                runStages()
            }
        } catch (failure: StageFailedException) {
            return refusals.refuse(
                request,
                response,
                SERVICE_UNAVAILABLE,
                "stage-failed: ${failure.reason}",
                RETRY_AFTER
            )
        }
        try {
            return callTargets()
        } finally {
            releaseResults()
        }
    }

    private suspend fun runStages() {
        val softDeadline = arrivedAt + route.objective
        results =
            parts.stages.run(
                request,
                route.stages,
                StageSchedule(granted.rank, stageDeadline(softDeadline), softDeadline)
            )
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
            results =
                parts.stages.run(
                    request,
                    route.stages,
                    StageSchedule(granted.rank, deadline - STAGE_RESERVE, arrivedAt)
                )
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
    private fun overloadRetryAfter(): Duration? {
        val stageTime = parts.stages.expectedTime(request, route.stages, granted.rank)
        val engineTime = expectedFirstToken(request.prompt?.tokens ?: 0)
        val estimate =
            ResponseEstimate(
                objective = route.objective,
                idle = stageTime.unloaded + engineTime,
                expected = stageTime.current + engineTime
            )
        val retryAfter = estimate.retryAfter() ?: return null
        logEvent("start-refused") {
            "request" to request.id
            "route" to route.name
            "expected-ms" to estimate.expected.inWholeMilliseconds
            "idle-ms" to estimate.idle.inWholeMilliseconds
            "objective-ms" to estimate.objective.inWholeMilliseconds
            "pause-ms" to retryAfter.inWholeMilliseconds
        }
        return retryAfter
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
            val target = nextTarget() ?: return failWithoutTarget()
            if (!remaining.isPositive()) return fail("deadline-passed")
            conclude(call(target), target)?.let { return it }
        }
    }

    /** The outcome of the request after [attempt], or null if another call is permitted. */
    private suspend fun conclude(attempt: AttemptOutcome, target: TargetRecord): ForwardOutcome? {
        if (attempt is AttemptOutcome.Done) return attempt.outcome
        excluded = excluded.add(target.id)
        if (attempt is AttemptOutcome.NotRun) {
            refusedCalls++
            return if (mayRetryAfterRefusal(attempt)) null else fail(attempt.cause)
        }
        executions++
        return when (attempt) {
            is AttemptOutcome.MayHaveRun ->
                if (mayRepeat() && rerunStages()) null else fail(attempt.cause)

            is AttemptOutcome.Failed -> if (mayRepeat()) null else deliver(attempt.response)
        }
    }

    /** Chooses a target, and waits shortly if all are at their request limit. */
    private suspend fun nextTarget(): TargetRecord? {
        while (true) {
            choose()?.let { return it }
            if (!limitWait.await(remainingTargets())) return null
        }
    }

    private suspend fun failWithoutTarget(): ForwardOutcome {
        val wait = state.shares.shortestWait(remainingTargets())
        if (wait == Duration.ZERO || executions > 0 || response.hasStarted) {
            return fail("no-target")
        }
        return refusals.refuse(
            request,
            response,
            SERVICE_UNAVAILABLE,
            TARGETS_LIMITED,
            limitWait.pause(wait)
        )
    }

    private fun remainingTargets(): List<TargetRecord> =
        state.usableTargets(granted.service).filterNot { it.id in excluded }

    private suspend fun failBlocked(block: TraitBlock): ForwardOutcome =
        if (executions == 0 && !response.hasStarted) {
            refusals.refuseBlocked(request, response, block)
        } else {
            fail(SUSPECTED_CRASH)
        }

    private fun mayRetryAfterRefusal(attempt: AttemptOutcome.NotRun): Boolean =
        refusedCalls <= MAXIMUM_REFUSALS && remaining > MINIMUM_CALL_TIME &&
            (!attempt.sent || state.tryTakeRetry(granted.service))

    private fun mayRepeat(): Boolean =
        route.repetition.mayRepeat && executions < route.maximumAttempts &&
            guard.blockOf(traits) == null && remaining > MINIMUM_CALL_TIME &&
            state.tryTakeRetry(granted.service)

    private fun choose(): TargetRecord? {
        val available = state.availableTargets(granted.service)
        val candidates = available.filterNot { it.id in excluded }
        val prompt = request.prompt ?: PromptShape()
        if (trialOf != null) return leastLoaded(candidates, state.targetViews)
        return chooseEngine(
            candidates,
            state.targetViews,
            prompt,
            results.bytesByDataCentre(),
            state.profile.dataCentre,
            state.clock.now()
        )
    }

    private suspend fun call(target: TargetRecord): AttemptOutcome {
        val callTime = remaining
        val inputs = results.map { it.handle }.toPersistentList()
        val rank = granted.rank.takeIf { request.prompt != null }
        val options =
            TargetCallOptions(
                target.id,
                granted.organisation,
                callTime,
                rank,
                inputs,
                stream.lastEventId
            )
        logChoice(target)
        val unread = request.prompt?.tokens ?: 0
        state.updateView(target.id) { it.copy(unreadTokens = it.unreadTokens + unread) }
        var firstEventAt: MonotonicTime? = null
        var hasSurvived = false
        val onEvents = {
            val now = state.clock.now()
            val startedAt = firstEventAt ?: now.also { recordPromptRead(target, unread) }
            firstEventAt = startedAt
            if (!hasSurvived && now - startedAt >= SUSTAINED_ANSWER) {
                hasSurvived = true
                guard.survived(traits)
            }
        }
        try {
            val sent = TargetRequest(parts.protocol.targetHead(request, options), body)
            val isTrial = trialOf != null
            trialOf = null
            val outcome =
                cancelledWhenBlocked({ isTrial || firstEventAt != null }) {
                    parts.calls.call(
                        target,
                        sent,
                        request.id,
                        callTime + RESPONSE_GRACE
                    ) { source ->
                        receive(target, source, onEvents)
                    }
                }
            return when (outcome) {
                is CallOutcome.Completed -> outcome.value

                is CallOutcome.NotSent ->
                    AttemptOutcome.NotRun("not-sent: ${outcome.reason}", sent = false)

                is CallOutcome.Lost -> {
                    if (outcome.broken && !hasSurvived) {
                        guard.checkForCrash(request.id, traits, target)
                    }
                    AttemptOutcome.MayHaveRun("lost: ${outcome.reason}")
                }
            }
        } finally {
            if (firstEventAt == null) {
                state.updateView(target.id) { it.copy(unreadTokens = it.unreadTokens - unread) }
            }
        }
    }

    /**
     * Runs [call], and cancels it if a trait of the request is blocked, unless [isExempt]. The
     * target then drops the request, if it has not begun to answer.
     */
    private suspend fun <T> cancelledWhenBlocked(
        isExempt: () -> Boolean,
        call: suspend () -> CallOutcome<T>
    ): CallOutcome<T> = coroutineScope {
        val calling = async { call() }
        val watch = launch {
            guard.awaitCancellingBlock(traits)
            if (!isExempt()) calling.cancel()
        }
        try {
            calling.await()
        } catch (_: CancellationException) {
            ensureActive()
            CallOutcome.Lost(SUSPECTED_CRASH, broken = false)
        } finally {
            watch.cancel()
        }
    }

    private suspend fun receive(
        target: TargetRecord,
        source: OpenResponse,
        onEvents: () -> Unit
    ): AttemptOutcome {
        val reply = source.reply
        if (reply.notRun) {
            source.body.readWholeOrThrow()
            return AttemptOutcome.NotRun("refused-${reply.status}", sent = true)
        }
        if (reply.isSuccess && (!reply.sealed || reply.hasContentEncoding)) {
            return AttemptOutcome.MayHaveRun("answer of target ${target.id} is not its own")
        }
        if (route.repetition.isStream && reply.isSuccess) {
            stream.deliver(source) {
                onEvents()
                if (results.isNotEmpty()) {
                    areResultsConsumed = true
                    releaseResults()
                }
            }
            guard.survived(traits)
            return AttemptOutcome.Done(ForwardOutcome(reply.status, "answered", target.id))
        }
        val complete = CompleteResponse(source, source.body.readWholeOrThrow(), target.id)
        if (reply.status >= FIRST_SERVER_ERROR) return AttemptOutcome.Failed(complete)
        guard.survived(traits)
        return AttemptOutcome.Done(deliver(complete))
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

        executions == 0 -> refusals.refuse(
            request,
            response,
            SERVICE_UNAVAILABLE,
            cause,
            RETRY_AFTER
        )

        remaining.isPositive() -> refusals.refuse(request, response, BAD_GATEWAY, cause, null)

        else -> refusals.refuse(request, response, GATEWAY_TIMEOUT, cause, null)
    }

    private fun recordPromptRead(target: TargetRecord, unread: Int) {
        val now = state.clock.now()
        val parts = request.prompt?.shared ?: persistentListOf()
        state.updateView(target.id) { view ->
            view.copy(unreadTokens = view.unreadTokens - unread).withCached(parts, now)
        }
    }

    private fun releaseResults() {
        parts.executor.release(results)
        results = persistentListOf()
    }

    private fun logChoice(target: TargetRecord) {
        val view = state.targetViews[target.id]
        logEvent("target-chosen") {
            "request" to request.id
            "route" to route.name
            "target" to target.id
            "parts" to request.prompt?.shared?.joinToString(",") { it.id }
            "remaining-ms" to remaining.inWholeMilliseconds
            "outstanding" to view?.outstanding
            "unread-tokens" to view?.unreadTokens
            "report" to view?.report?.let { "${it.running}/${it.waiting}/${it.slots}" }
            "report-age-ms" to
                view?.report?.let { (state.clock.now() - it.at).inWholeMilliseconds }
        }
    }

    private companion object {
        const val FIRST_SERVER_ERROR = 500

        /**
         * Time for which a target must send events before the request counts as harmless; a target
         * that crashes does so when it begins its answer.
         */
        val SUSTAINED_ANSWER = 1.seconds

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
