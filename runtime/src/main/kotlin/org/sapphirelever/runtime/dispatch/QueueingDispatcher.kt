/*
 * Dispatcher that queues calls in fair order under the limits of this host. The decisions are pure
 * functions; this class holds their state and resumes the callers.
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
 * Queues calls under [rules]. [organisation] looks up the settings of an organisation, such as its
 * weight and rate limit, in the configuration in force.
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
    private val pendingAnswers = ConcurrentHashMap<Long, CompletableDeferred<Dispatch>>()
    private val grantedCalls = ConcurrentHashMap<Long, WaitingCall>()

    override suspend fun acquire(demand: StageDemand): Dispatch {
        val call = waitingCall(demand)
        val answer = CompletableDeferred<Dispatch>()
        pendingAnswers[call.id] = answer
        var delivered: Dispatch? = null
        try {
            decide { rules.submit(it, call, clock.now(), random) }
            val remaining = demand.deadline - clock.now()
            delivered = withTimeoutOrNull(remaining) { answer.await() }
            return delivered ?: Dispatch.Refused(ErrorCode.DEADLINE_UNREACHABLE, RETRY_DELAY)
        } finally {
            pendingAnswers.remove(call.id)
            if (delivered == null) abandon(call, answer)
        }
    }

    override fun release(demand: StageDemand, grant: Grant, report: CallReport?) {
        returnGrant(grant, report)
    }

    private fun returnGrant(grant: Grant, report: CallReport?) {
        val call = grantedCalls.remove(grant.id) ?: return
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

    /** Removes [call] from the queue, or returns its grant if it came after the wait had ended. */
    private fun abandon(call: WaitingCall, answer: CompletableDeferred<Dispatch>) {
        answer.cancel()
        decide { Decision(rules.cancel(it, call)) }
        if (answer.isCancelled) return
        val lateDispatch = answer.getCompleted()
        if (lateDispatch is Dispatch.Granted) returnGrant(lateDispatch.grant, null)
    }

    /** Applies a decision to both states and carries out its actions, in order of submission. */
    private fun decide(decision: (DispatchState) -> DispatchDecision) {
        steps.submit {
            val actions = admission.decide { admissionState ->
                var decided: DispatchDecision? = null
                routing.update { routingState ->
                    val next = decision(DispatchState(admissionState, routingState))
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
        val answer = pendingAnswers[action.id]
        when (action) {
            is DispatchAction.Refuse ->
                answer?.complete(Dispatch.Refused(action.code, action.retryAfter))

            is DispatchAction.Grant -> {
                val grant = Grant(action.target, clock.now(), action.id)
                grantedCalls[action.id] = action.call
                val accepted = answer?.complete(Dispatch.Granted(grant)) ?: false
                // The caller stopped waiting after the decision.
                if (!accepted) returnGrant(grant, null)
            }
        }
    }

    private fun waitingCall(demand: StageDemand): WaitingCall {
        val organisationSettings = organisation(demand.organisation)
        val stages = demand.pipeline.stages
        val position = stages.indexOf(demand.stage)
        val laterStages = stages.drop(position + 1).map { StageKind(it.service, demand.size(it)) }
        val retry = demand.excluded.isNotEmpty()
        return WaitingCall(
            id = ids.incrementAndGet(),
            organisation = demand.organisation,
            weight = organisationSettings?.weight ?: 1,
            priority = demand.priority,
            size = demand.size(demand.stage),
            routing = demand.toRoutingRequest(),
            deadline = demand.deadline,
            first = position == 0 && !retry,
            retry = retry,
            laterStages = laterStages.toPersistentList(),
            rateLimit = organisationSettings?.requestsPerSecond ?: 0
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
        val RETRY_DELAY = 1.seconds
    }
}

private fun AttemptResult.toCallEnd(): CallEnd = when (this) {
    is AttemptResult.Answered -> CallEnd.ANSWERED
    is AttemptResult.Failed -> CallEnd.FAILED
    is AttemptResult.MayHaveRun -> callEndOf(code)
    is AttemptResult.NotRun -> refusal?.toCallEnd() ?: callEndOf(code)
}

private fun callEndOf(code: ErrorCode): CallEnd =
    if (code == ErrorCode.TARGET_LOST) CallEnd.LOST else CallEnd.FAILED

private fun RefusalReason.toCallEnd(): CallEnd = when (this) {
    RefusalReason.BUSY -> CallEnd.BUSY
    RefusalReason.LEAVING -> CallEnd.LEAVING
    RefusalReason.UNSUPPORTED -> CallEnd.FAILED
}
