/*
 * Dispatcher that queues calls in fair order under the limits of this host. The decisions are
 * pure; this class holds their state and resumes the callers.
 */
package org.sapphirelever.runtime.dispatch

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.OrganisationName
import org.sapphirelever.core.resource.Organisation
import org.sapphirelever.core.resource.Stage
import org.sapphirelever.decisions.Decision
import org.sapphirelever.decisions.admission.AdmissionState
import org.sapphirelever.decisions.admission.CallEnd
import org.sapphirelever.decisions.admission.DispatchAction
import org.sapphirelever.decisions.admission.DispatchDecision
import org.sapphirelever.decisions.admission.DispatchRules
import org.sapphirelever.decisions.admission.DispatchState
import org.sapphirelever.decisions.admission.FinishedCall
import org.sapphirelever.decisions.admission.WaitingCall
import org.sapphirelever.decisions.attempt.AttemptResult
import org.sapphirelever.decisions.attempt.RefusalReason
import org.sapphirelever.decisions.prediction.SizeClass
import org.sapphirelever.decisions.prediction.SizePrediction
import org.sapphirelever.decisions.prediction.StageKind
import org.sapphirelever.decisions.routing.LoadReport
import org.sapphirelever.decisions.routing.RoutingRequest
import org.sapphirelever.decisions.routing.RoutingState
import org.sapphirelever.runtime.SerialSteps
import org.sapphirelever.runtime.StateCell

/**
 * Queues calls under [rules]. [organisation] finds the weight and rate limit of an organisation
 * in the configuration in force.
 */
public class QueueingDispatcher(
    private val routing: StateCell<RoutingState>,
    private val admission: StateCell<AdmissionState>,
    private val rules: DispatchRules,
    private val clock: MonotonicClock,
    private val random: Random,
    private val sizes: SizePrediction = SizePrediction(),
    private val organisation: (OrganisationName) -> Organisation?
) : TargetDispatcher {
    private val ids = AtomicLong()
    private val steps = SerialSteps("dispatch")
    private val waiting = ConcurrentHashMap<Long, CompletableDeferred<Dispatch>>()
    private val granted = ConcurrentHashMap<Long, WaitingCall>()

    override suspend fun acquire(demand: StageDemand): Dispatch {
        val call = call(demand)
        val answer = CompletableDeferred<Dispatch>()
        waiting[call.id] = answer
        var delivered: Dispatch? = null
        try {
            decide { rules.submit(it, call, clock.now(), random) }
            val remaining = demand.deadline - clock.now()
            delivered = withTimeoutOrNull(remaining) { answer.await() }
            return delivered ?: Dispatch.Refused(ErrorCode.DEADLINE_UNREACHABLE, RETRY)
        } finally {
            waiting.remove(call.id)
            if (delivered == null) abandon(call, answer)
        }
    }

    override fun release(demand: StageDemand, grant: Grant, report: CallReport?) {
        giveBack(grant, report)
    }

    private fun giveBack(grant: Grant, report: CallReport?) {
        val call = granted.remove(grant.id) ?: return
        val now = clock.now()
        val finished = FinishedCall(
            call = call,
            target = grant.target,
            end = report?.result?.toCallEnd() ?: CallEnd.CANCELLED,
            took = report?.took ?: (now - grant.grantedAt),
            load = report?.load?.let { LoadReport(it.running, it.queued, it.slots, now - it.age) }
        )
        decide { rules.finish(it, finished, now, random) }
    }

    /** Leaves the queue, or returns a grant that arrived after the caller stopped waiting. */
    private fun abandon(call: WaitingCall, answer: CompletableDeferred<Dispatch>) {
        answer.cancel()
        decide { Decision(rules.cancel(it, call)) }
        if (answer.isCancelled) return
        val late = answer.getCompleted()
        if (late is Dispatch.Granted) giveBack(late.grant, null)
    }

    /** Applies a decision over both states and carries its actions out, after earlier ones. */
    private fun decide(decision: (DispatchState) -> DispatchDecision) {
        steps.submit {
            val actions = admission.decide { admitted ->
                var decided: DispatchDecision? = null
                routing.update { routed ->
                    val next = decision(DispatchState(admitted, routed))
                    decided = next
                    next.state.routing
                }
                val result = checkNotNull(decided)
                Decision(result.state.admission, result.actions)
            }
            actions.forEach(::carryOut)
        }
    }

    private fun carryOut(action: DispatchAction) {
        val answer = waiting[action.id]
        when (action) {
            is DispatchAction.Refuse ->
                answer?.complete(Dispatch.Refused(action.code, action.retryAfter))

            is DispatchAction.Grant -> {
                val grant = Grant(action.target, clock.now(), action.id)
                granted[action.id] = action.call
                val accepted = answer?.complete(Dispatch.Granted(grant)) ?: false
                // The caller stopped waiting between the decision and this call.
                if (!accepted) giveBack(grant, null)
            }
        }
    }

    private fun call(demand: StageDemand): WaitingCall {
        val declared = organisation(demand.organisation)
        val stages = demand.pipeline.stages
        val position = stages.indexOf(demand.stage)
        val laterStages = stages.drop(position + 1).map { StageKind(it.service, demand.size(it)) }
        val retry = demand.excluded.isNotEmpty()
        return WaitingCall(
            id = ids.incrementAndGet(),
            organisation = demand.organisation,
            weight = declared?.weight ?: 1,
            priority = demand.priority,
            size = demand.size(demand.stage),
            routing = demand.toRoutingRequest(),
            deadline = demand.deadline,
            first = position == 0 && !retry,
            retry = retry,
            laterStages = laterStages.toPersistentList(),
            rateLimit = declared?.requestsPerSecond ?: 0
        )
    }

    private fun StageDemand.size(of: Stage): SizeClass =
        sizes.classify(declaredTokens, of.maximumTokens, inputLength)

    private fun StageDemand.toRoutingRequest(): RoutingRequest = RoutingRequest(
        service = stage.service,
        permitted = stage.dataCentres.toPersistentSet(),
        excluded = excluded,
        long = size(stage) == SizeClass.LONG,
        prefix = prefix,
        slots = service.slots
    )

    private companion object {
        val RETRY = 1.seconds
    }
}

private fun AttemptResult.toCallEnd(): CallEnd = when (this) {
    is AttemptResult.Answered -> CallEnd.ANSWERED
    is AttemptResult.Failed -> CallEnd.FAILED
    is AttemptResult.MayHaveRun -> lostOr(code)
    is AttemptResult.NotRun -> refusal?.toCallEnd() ?: lostOr(code)
}

private fun lostOr(code: ErrorCode): CallEnd =
    if (code == ErrorCode.TARGET_LOST) CallEnd.LOST else CallEnd.FAILED

private fun RefusalReason.toCallEnd(): CallEnd = when (this) {
    RefusalReason.BUSY -> CallEnd.BUSY
    RefusalReason.LEAVING -> CallEnd.LEAVING
    RefusalReason.UNSUPPORTED -> CallEnd.FAILED
}
