/*
 * Processing of one request from admission to its response: stages first, then calls to targets of
 * the route's service until one response is complete or no retry is permitted.
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
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.TargetRecord
import org.sapphirelever.decisions.forwarding.Admission
import org.sapphirelever.decisions.forwarding.PromptShape
import org.sapphirelever.decisions.forwarding.ResponseEstimate
import org.sapphirelever.decisions.forwarding.admit
import org.sapphirelever.decisions.forwarding.chooseEngine
import org.sapphirelever.decisions.forwarding.expectedFirstToken
import org.sapphirelever.decisions.forwarding.leastLoaded
import org.sapphirelever.decisions.forwarding.maximumConfigurationAge
import org.sapphirelever.decisions.forwarding.withCached
import org.sapphirelever.decisions.keys.Fingerprint
import org.sapphirelever.decisions.suspicion.RequestTrait
import org.sapphirelever.decisions.suspicion.TraitBlock
import org.sapphirelever.runtime.log.logEvent

/** Outcome of a request, for the log and the metrics. */
public data class ForwardOutcome(
    public val status: Int,
    public val cause: String,
    public val target: TargetId? = null
)

/** Forwards requests of callers. */
public class RequestForwarding(
    private val protocol: ForwardProtocol,
    private val state: ForwardingState,
    private val calls: TargetCalls,
    private val stages: StageExecutor,
    private val executor: PieceExecutor,
    private val guard: CrashGuard
) {
    /** Forwards [request], which arrived at [arrivedAt] with [body], and writes [response]. */
    public suspend fun forward(
        request: CallerRequest,
        body: ByteArray,
        arrivedAt: MonotonicTime,
        response: CallerResponse
    ): ForwardOutcome {
        val maximumAge = maximumConfigurationAge(state.profile.maximumRevocationDelay)
        return when (
            val admission =
                state.configuration.value.admit(request.identity, state.readClock(), maximumAge)
        ) {
            Admission.NotReady ->
                refuse(request, response, SERVICE_UNAVAILABLE, "not-ready", NOT_READY_RETRY_AFTER)

            is Admission.Unconfirmed ->
                refuse(
                    request,
                    response,
                    SERVICE_UNAVAILABLE,
                    "configuration-unconfirmed",
                    NOT_READY_RETRY_AFTER
                )

            Admission.UnknownRoute -> refuse(request, response, NOT_FOUND, "unknown-route", null)

            Admission.UnknownKey -> refuse(request, response, UNAUTHORIZED, "unknown-key", null)

            is Admission.Granted -> {
                val traits = traitsOf(request, body, admission)
                val block = guard.blockOf(traits)
                if (block != null && !guard.mayTry(block)) {
                    refuseBlocked(request, response, block)
                } else {
                    state.countRequest(admission.service)
                    RequestExecution(request, body, arrivedAt, response, admission, traits, block)
                        .run()
                }
            }
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

    private fun traitsOf(
        request: CallerRequest,
        body: ByteArray,
        granted: Admission.Granted
    ): List<RequestTrait> {
        val fingerprint =
            Fingerprint.of(
                granted.organisation?.value.orEmpty(),
                request.head.method,
                request.head.target,
                String(body, Charsets.ISO_8859_1)
            )
        val parts = request.prompt?.shared ?: persistentListOf()
        return parts.mapIndexed { depth, part -> RequestTrait.ofPromptPart(part.id, depth) } +
            RequestTrait.ofRequest(fingerprint)
    }

    /** Refuses a request that has not run and would probably crash a target. */
    private suspend fun refuseBlocked(
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

    private suspend fun refuse(
        request: CallerRequest,
        response: CallerResponse,
        status: Int,
        cause: String,
        retryAfter: Duration?
    ): ForwardOutcome {
        response.send(protocol.refusal(request.id, status, retryAfter), ByteArray(0))
        return ForwardOutcome(status, cause)
    }

    /** Outcome of one call to a target for a request. */
    private sealed interface AttemptOutcome {
        /** The response was delivered to the caller. */
        data class Done(val outcome: ForwardOutcome) : AttemptOutcome

        /** The target did not run the request. */
        data class NotRun(val cause: String, val sent: Boolean) : AttemptOutcome

        /** The target may have run the request, but no complete valid response arrived. */
        data class MayHaveRun(val cause: String) : AttemptOutcome

        /** The target ran the request and failed; its response may be forwarded. */
        data class Failed(val response: CompleteResponse) : AttemptOutcome
    }

    private class CompleteResponse(
        val source: OpenResponse,
        val body: ByteArray,
        val target: TargetId
    )

    /** Execution of one admitted request. */
    private inner class RequestExecution(
        private val request: CallerRequest,
        private val body: ByteArray,
        private val arrivedAt: MonotonicTime,
        private val response: CallerResponse,
        private val granted: Admission.Granted,
        private val traits: List<RequestTrait>,
        private var trialOf: TraitBlock?
    ) {
        private val route = granted.route
        private val allowedTime = minOf(request.timeout ?: route.timeout, route.timeout)
        private val deadline = arrivedAt + allowedTime
        private val stream = StreamDelivery(response, protocol, request.lastEventId)
        private var results: PersistentList<StageResult> = persistentListOf()
        private var areResultsConsumed = false
        private var excluded: PersistentSet<TargetId> = persistentSetOf()
        private var executions = 0
        private var refusals = 0
        private var limitWaited = Duration.ZERO

        private val remaining: Duration get() = deadline - state.clock.now()

        suspend fun run(): ForwardOutcome {
            try {
                limitRetryAfter()?.let { retryAfter ->
                    return refuse(
                        request,
                        response,
                        SERVICE_UNAVAILABLE,
                        TARGETS_LIMITED,
                        retryAfter
                    )
                }
                if (route.stages.isNotEmpty()) {
                    overloadRetryAfter()?.let { retryAfter ->
                        return refuse(
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
                return refuse(
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

        /** Time after which the caller should retry, or null if a target will take the request. */
        private fun limitRetryAfter(): Duration? {
            val stageTime = stages.expectedTime(request, route.stages, granted.rank).current
            val wait = state.limitWait(granted.service)
            if (wait <= stageTime + maximumLimitWait()) return null
            return limitPause(wait)
        }

        private fun maximumLimitWait(): Duration = minOf(
            MAXIMUM_LIMIT_WAIT,
            remaining * LIMIT_WAIT_SHARE
        )

        /** Pause of a caller that may find a share on another host before this one has any. */
        private fun limitPause(wait: Duration): Duration =
            wait.coerceIn(RETRY_AFTER, MAXIMUM_LIMIT_PAUSE)

        private suspend fun runStages() {
            val softDeadline = arrivedAt + route.objective
            results =
                stages.run(
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
                    stages.run(
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
            val stageTime = stages.expectedTime(request, route.stages, granted.rank)
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
        private suspend fun conclude(
            attempt: AttemptOutcome,
            target: TargetRecord
        ): ForwardOutcome? {
            if (attempt is AttemptOutcome.Done) return attempt.outcome
            excluded = excluded.add(target.id)
            if (attempt is AttemptOutcome.NotRun) {
                refusals++
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
                if (!awaitLimit()) return null
            }
        }

        /** Waits until a target takes a request again; false if that takes too long. */
        private suspend fun awaitLimit(): Boolean {
            val targets = remainingTargets()
            val wait = state.shares.shortestWait(targets)
            if (targets.isEmpty() || limitWaited + wait > maximumLimitWait()) return false
            limitWaited += wait.coerceAtLeast(LIMIT_POLL_PERIOD)
            delay(wait.coerceAtLeast(LIMIT_POLL_PERIOD))
            return true
        }

        private suspend fun failWithoutTarget(): ForwardOutcome {
            val wait = state.shares.shortestWait(remainingTargets())
            if (wait == Duration.ZERO || executions > 0 || response.hasStarted) {
                return fail("no-target")
            }
            return refuse(
                request,
                response,
                SERVICE_UNAVAILABLE,
                TARGETS_LIMITED,
                limitPause(wait)
            )
        }

        private fun remainingTargets(): List<TargetRecord> =
            state.usableTargets(granted.service).filterNot { it.id in excluded }

        private suspend fun failBlocked(block: TraitBlock): ForwardOutcome =
            if (executions == 0 && !response.hasStarted) {
                refuseBlocked(request, response, block)
            } else {
                fail(SUSPECTED_CRASH)
            }

        private fun mayRetryAfterRefusal(attempt: AttemptOutcome.NotRun): Boolean =
            refusals <= MAXIMUM_REFUSALS && remaining > MINIMUM_CALL_TIME &&
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
                val sent = TargetRequest(protocol.targetHead(request, options), body)
                val isTrial = trialOf != null
                trialOf = null
                val outcome =
                    cancelledWhenBlocked({ isTrial || firstEventAt != null }) {
                        calls.call(target, sent, request.id, callTime + RESPONSE_GRACE) { source ->
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
            response.send(protocol.callerHead(complete.source.head), complete.body)
            return ForwardOutcome(status, "answered", complete.target)
        }

        /** Ends the request without a complete response of a target. */
        private suspend fun fail(cause: String): ForwardOutcome = when {
            response.hasStarted -> ForwardOutcome(0, "stream-broken: $cause")
            executions == 0 -> refuse(request, response, SERVICE_UNAVAILABLE, cause, RETRY_AFTER)
            remaining.isPositive() -> refuse(request, response, BAD_GATEWAY, cause, null)
            else -> refuse(request, response, GATEWAY_TIMEOUT, cause, null)
        }

        private fun recordPromptRead(target: TargetRecord, unread: Int) {
            val now = state.clock.now()
            val parts = request.prompt?.shared ?: persistentListOf()
            state.updateView(target.id) { view ->
                view.copy(unreadTokens = view.unreadTokens - unread).withCached(parts, now)
            }
        }

        private fun releaseResults() {
            executor.release(results)
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
    }

    private companion object {
        const val SERVICE_UNAVAILABLE = 503
        const val NOT_FOUND = 404
        const val UNAUTHORIZED = 401
        const val BAD_GATEWAY = 502
        const val GATEWAY_TIMEOUT = 504
        const val FIRST_SERVER_ERROR = 500

        const val TARGETS_LIMITED = "targets-limited"

        /** Short compared to the objectives of requests. */
        val MAXIMUM_LIMIT_WAIT = 500.milliseconds

        /** Share of the remaining time that a request may wait for the limit of a target. */
        const val LIMIT_WAIT_SHARE = 0.25
        val LIMIT_POLL_PERIOD = 20.milliseconds

        /** Other hosts may have a share in limits in which this one has none. */
        val MAXIMUM_LIMIT_PAUSE = 1.seconds
        const val SUSPECTED_CRASH = "suspected-crash"

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

        /** Targets stop work at the deadline; their response arrives slightly later. */
        val RESPONSE_GRACE = 100.milliseconds

        /** Time after which the load is expected to have changed for a refused caller. */
        val RETRY_AFTER = 300.milliseconds

        /** Callers retry on a new connection, which may reach a host that is ready. */
        val NOT_READY_RETRY_AFTER = 200.milliseconds
    }
}
