/*
 * One request from admission to its answer: stages first, then calls to targets of the route's
 * service until one answer is whole or no further call is permitted.
 */
package org.sapphirelever.runtime.forward

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.TargetRecord
import org.sapphirelever.decisions.forwarding.Admission
import org.sapphirelever.decisions.forwarding.PromptShape
import org.sapphirelever.decisions.forwarding.StartTerms
import org.sapphirelever.decisions.forwarding.admit
import org.sapphirelever.decisions.forwarding.chooseEngine
import org.sapphirelever.decisions.forwarding.expectedFirstToken
import org.sapphirelever.decisions.forwarding.greatestBeliefAge
import org.sapphirelever.decisions.forwarding.read
import org.sapphirelever.decisions.keys.Fingerprint
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.runtime.transport.BodyReader
import org.sapphirelever.runtime.transport.TornMessageException
import org.sapphirelever.runtime.transport.readWhole

/** How a request ended, for the log and the metrics. */
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
    private val stages: StageWork,
    private val maker: PieceMaker,
    private val suspicion: CrashSuspicion
) {
    /** Answers [request], which arrived at [arrived] with [body], and returns how it ended. */
    public suspend fun forward(
        request: CallerRequest,
        body: ByteArray,
        arrived: MonotonicTime,
        answer: CallerAnswer
    ): ForwardOutcome {
        val greatestAge = greatestBeliefAge(state.profile.maximumRevocationDelay)
        return when (
            val admission = state.belief.value.admit(request.identity, state.moment(), greatestAge)
        ) {
            Admission.NotReady -> refuse(request, answer, NOT_NOW, "not-ready", UNREADY_PAUSE)

            is Admission.Unconfirmed ->
                refuse(request, answer, NOT_NOW, "configuration-unconfirmed", UNREADY_PAUSE)

            Admission.UnknownRoute -> refuse(request, answer, UNKNOWN_ROUTE, "unknown-route", null)

            Admission.UnknownKey -> refuse(request, answer, UNKNOWN_KEY, "unknown-key", null)

            is Admission.Granted -> {
                val fingerprint = fingerprintOf(request, body, admission)
                if (suspicion.suspects(fingerprint)) {
                    refuse(request, answer, NOT_NOW, "suspected-crash", null)
                } else {
                    state.countRequest(admission.service)
                    Course(request, body, arrived, answer, admission, fingerprint).run()
                }
            }
        }
    }

    /** Time that [request] takes at most, or null for a stream, which may go on for long. */
    public fun longest(request: CallerRequest): Duration? {
        val table = state.belief.value.table ?: return Duration.ZERO
        val route =
            table.route(request.identity.host, request.identity.path) ?: return Duration.ZERO
        if (route.repetition.isStream || route.stages.isNotEmpty()) return null
        return minOf(request.patience ?: route.timeout, route.timeout) + LATE_ANSWER
    }

    private fun fingerprintOf(
        request: CallerRequest,
        body: ByteArray,
        granted: Admission.Granted
    ): Fingerprint = Fingerprint.of(
        granted.organisation?.value.orEmpty(),
        request.head.method,
        request.head.target,
        String(body, Charsets.ISO_8859_1)
    )

    private suspend fun refuse(
        request: CallerRequest,
        answer: CallerAnswer,
        status: Int,
        cause: String,
        pause: Duration?
    ): ForwardOutcome {
        answer.whole(protocol.refusal(request.id, status, pause), ByteArray(0))
        return ForwardOutcome(status, cause)
    }

    /** What one call contributed to the course of a request. */
    private sealed interface Step {
        /** The request has its answer. */
        data class Done(val outcome: ForwardOutcome) : Step

        /** The target did not run the request. */
        data class NotRun(val cause: String, val sent: Boolean) : Step

        /** The target may have run the request, but its answer is not whole. */
        data class MayHaveRun(val cause: String) : Step

        /** The target ran the request and failed; its answer may be passed on. */
        data class Failed(val response: WholeResponse) : Step
    }

    private class WholeResponse(
        val response: OpenResponse,
        val body: ByteArray,
        val target: TargetId
    )

    /** The course of one admitted request. */
    private inner class Course(
        private val request: CallerRequest,
        private val body: ByteArray,
        private val arrived: MonotonicTime,
        private val answer: CallerAnswer,
        private val granted: Admission.Granted,
        private val fingerprint: Fingerprint
    ) {
        private val route = granted.route
        private val patience = minOf(request.patience ?: route.timeout, route.timeout)
        private val until = arrived + patience
        private val stream = StreamDelivery(answer, protocol, request.lastEvent)
        private var results: PersistentList<StageResult> = persistentListOf()
        private var resultsTaken = false
        private var excluded: PersistentSet<TargetId> = persistentSetOf()
        private var ran = 0
        private var refusals = 0

        private val remaining: Duration get() = until - state.clock.now()

        suspend fun run(): ForwardOutcome {
            try {
                if (route.stages.isNotEmpty()) {
                    pauseBeforeStart()?.let { pause ->
                        return refuse(request, answer, NOT_NOW, "stages-overloaded", pause)
                    }
                    runStages()
                }
            } catch (failure: StageFailedException) {
                return refuse(request, answer, NOT_NOW, "stage-failed: ${failure.reason}", PAUSE)
            }
            try {
                return callTargets()
            } finally {
                releaseResults()
            }
        }

        private suspend fun runStages() {
            val aim = arrived + route.objective
            results =
                stages.run(request, route.stages, StageTerms(granted.rank, stageDue(aim), aim))
        }

        /**
         * Makes the results of the stages again for a stream that goes on at another engine. The
         * first engine had taken them, and their room was given up then.
         */
        private suspend fun remakeResults(): Boolean {
            if (!resultsTaken) return true
            val pieces = route.stages.zip(request.pieceCounts)
            val permitted =
                pieces.all { (stage, count) ->
                    List(count) { state.takeExtraCall(stage.service) }.all { it }
                }
            if (!permitted) return false
            resultsTaken = false
            return try {
                results =
                    stages.run(
                        request,
                        route.stages,
                        StageTerms(granted.rank, until - STAGE_RESERVE, arrived)
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

        /** Time after which a caller does better to come back, or null to start now. */
        private fun pauseBeforeStart(): Duration? {
            val stageTime = stages.expectedTime(request, route.stages, granted.rank)
            val engineTime = expectedFirstToken(request.prompt?.tokens ?: 0)
            val terms =
                StartTerms(
                    objective = route.objective,
                    idle = stageTime.idle + engineTime,
                    expected = stageTime.now + engineTime
                )
            val pause = terms.pauseBeforeStart() ?: return null
            logEvent("start-refused") {
                "request" to request.id
                "route" to route.name
                "expected-ms" to terms.expected.inWholeMilliseconds
                "idle-ms" to terms.idle.inWholeMilliseconds
                "objective-ms" to terms.objective.inWholeMilliseconds
                "pause-ms" to pause.inWholeMilliseconds
            }
            return pause
        }

        /**
         * Time until which the stages must end. Work that is far beyond its objective earns little
         * and delays other requests, so it is given up before the caller's patience ends.
         */
        private fun stageDue(aim: MonotonicTime): MonotonicTime =
            minOf(aim + (until - aim) * LATE_PART, until - STAGE_RESERVE)

        private suspend fun callTargets(): ForwardOutcome {
            while (true) {
                val target = choose() ?: return giveUp("no-target")
                if (!remaining.isPositive()) return giveUp("deadline-passed")
                when (val step = call(target)) {
                    is Step.Done -> return step.outcome

                    is Step.NotRun -> {
                        refusals++
                        excluded = excluded.add(target.id)
                        if (!mayTryAfterRefusal(step)) return giveUp(step.cause)
                    }

                    is Step.MayHaveRun -> {
                        ran++
                        excluded = excluded.add(target.id)
                        if (!mayRepeat() || !remakeResults()) return giveUp(step.cause)
                    }

                    is Step.Failed -> {
                        ran++
                        excluded = excluded.add(target.id)
                        if (!mayRepeat()) return deliver(step.response)
                    }
                }
            }
        }

        private fun mayTryAfterRefusal(step: Step.NotRun): Boolean =
            refusals <= MAXIMUM_REFUSALS && remaining > LEAST_TIME &&
                (!step.sent || state.takeExtraCall(granted.service))

        private fun mayRepeat(): Boolean =
            route.repetition.mayRepeat && ran < route.maximumAttempts &&
                remaining > LEAST_TIME && state.takeExtraCall(granted.service)

        private fun choose(): TargetRecord? {
            val usable = state.usable(granted.service)
            val fresh = usable.filterNot { it.id in excluded }
            val prompt = request.prompt ?: PromptShape()
            return chooseEngine(
                fresh,
                state.targetViews,
                prompt,
                results.bytesByDataCentre(),
                state.profile.dataCentre,
                state.clock.now()
            )
        }

        private suspend fun call(target: TargetRecord): Step {
            val limit = remaining
            val inputs = results.map { it.handle }.toPersistentList()
            val rank = granted.rank.takeIf { request.prompt != null }
            val terms =
                ForwardTerms(
                    target.id,
                    granted.organisation,
                    limit,
                    rank,
                    inputs,
                    stream.lastEvent
                )
            logChoice(target)
            val unread = request.prompt?.tokens ?: 0
            state.view(target.id) { it.copy(unreadTokens = it.unreadTokens + unread) }
            var read = false
            val noteRead = {
                if (!read) {
                    read = true
                    noteRead(target, unread)
                }
            }
            try {
                val sent = TargetRequest(protocol.forwarded(request, terms), body)
                val end =
                    calls.call(target, sent, request.id, limit + LATE_ANSWER) { response ->
                        receive(target, response, noteRead)
                    }
                return when (end) {
                    is CallEnd.Ended -> end.value

                    is CallEnd.NotSent -> Step.NotRun("not-sent: ${end.reason}", sent = false)

                    is CallEnd.Lost -> {
                        if (end.broken) suspicion.broken(request.id, fingerprint, target)
                        Step.MayHaveRun("lost: ${end.reason}")
                    }
                }
            } finally {
                if (!read) {
                    state.view(target.id) { it.copy(unreadTokens = it.unreadTokens - unread) }
                }
            }
        }

        private suspend fun receive(
            target: TargetRecord,
            response: OpenResponse,
            noteRead: () -> Unit
        ): Step {
            val reply = response.reply
            if (reply.notRun) {
                response.body.whole()
                return Step.NotRun("refused-${reply.status}", sent = true)
            }
            if (reply.isSuccess && (!reply.sealed || reply.encoded)) {
                return Step.MayHaveRun("answer of target ${target.id} is not its own")
            }
            if (route.repetition.isStream && reply.isSuccess) {
                stream.deliver(response) {
                    noteRead()
                    resultsTaken = results.isNotEmpty()
                    releaseResults()
                }
                return Step.Done(ForwardOutcome(reply.status, "answered", target.id))
            }
            val whole = WholeResponse(response, response.body.whole(), target.id)
            if (reply.status >= FIRST_SERVER_ERROR) return Step.Failed(whole)
            return Step.Done(deliver(whole))
        }

        private suspend fun deliver(whole: WholeResponse): ForwardOutcome {
            val status = whole.response.reply.status
            if (answer.hasBegun) return ForwardOutcome(status, "stream-broken", whole.target)
            answer.whole(protocol.answered(whole.response.head), whole.body)
            return ForwardOutcome(status, "answered", whole.target)
        }

        /** Ends the request without a whole answer of a target. */
        private suspend fun giveUp(cause: String): ForwardOutcome = when {
            answer.hasBegun -> ForwardOutcome(0, "stream-broken: $cause")
            ran == 0 -> refuse(request, answer, NOT_NOW, cause, PAUSE)
            remaining.isPositive() -> refuse(request, answer, BAD_GATEWAY, cause, null)
            else -> refuse(request, answer, TIMED_OUT, cause, null)
        }

        private fun noteRead(target: TargetRecord, unread: Int) {
            val now = state.clock.now()
            val parts = request.prompt?.shared ?: persistentListOf()
            state.view(target.id) { view ->
                view.copy(unreadTokens = view.unreadTokens - unread).read(parts, now)
            }
        }

        private fun releaseResults() {
            maker.release(results)
            results = persistentListOf()
        }

        private fun logChoice(target: TargetRecord) {
            val view = state.targetViews[target.id]
            logEvent("target-chosen") {
                "request" to request.id
                "route" to route.name
                "target" to target.id
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
        const val NOT_NOW = 503
        const val UNKNOWN_ROUTE = 404
        const val UNKNOWN_KEY = 401
        const val BAD_GATEWAY = 502
        const val TIMED_OUT = 504
        const val FIRST_SERVER_ERROR = 500

        /** Targets that may refuse a request before its caller is told to come back. */
        const val MAXIMUM_REFUSALS = 3

        /** A call with less time left would not be answered. */
        val LEAST_TIME = 40.milliseconds

        /** Part of the time between objective and end that stages may use. */
        const val LATE_PART = 0.35

        /** Part of the time of a request that its stages must leave to the model. */
        val STAGE_RESERVE = 150.milliseconds

        /** A target ends its work at the deadline; its answer takes a little longer. */
        val LATE_ANSWER = 100.milliseconds

        /** A caller that was refused finds other load after this time. */
        val PAUSE = 300.milliseconds

        /** Callers come back on a new connection, which reaches a host that may serve them. */
        val UNREADY_PAUSE = 200.milliseconds
    }
}

private suspend fun BodyReader.whole(): ByteArray =
    readWhole(ANSWER_LIMIT) ?: throw TornMessageException("answer exceeds $ANSWER_LIMIT bytes")

/** Bound of answers that are no streams, so that a target cannot fill the memory of the host. */
private const val ANSWER_LIMIT = 8_388_608
