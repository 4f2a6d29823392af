/*
 * One attempt at a stage on a granted target, and the statistics that its result updates.
 */
package org.sapphirelever.runtime.request

import kotlin.time.Duration
import org.sapphirelever.core.AttemptId
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.resource.ServiceKind
import org.sapphirelever.decisions.attempt.AttemptResult
import org.sapphirelever.decisions.keys.Fingerprint
import org.sapphirelever.decisions.retry.StageKey
import org.sapphirelever.decisions.retry.afterSuccess
import org.sapphirelever.decisions.routing.Target
import org.sapphirelever.decisions.suspicion.marked
import org.sapphirelever.decisions.suspicion.stageFingerprint
import org.sapphirelever.runtime.dispatch.CallReport
import org.sapphirelever.runtime.dispatch.Grant
import org.sapphirelever.runtime.dispatch.StageDemand
import org.sapphirelever.runtime.dispatch.TargetDispatcher
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.runtime.log.logWarning
import org.sapphirelever.runtime.target.CallResult
import org.sapphirelever.runtime.target.TargetCall
import org.sapphirelever.runtime.target.TargetClient

/** An attempt that is about to start. */
internal data class AttemptPlan(
    val work: StageWork,
    val demand: StageDemand,
    val grant: Grant,
    val number: Int,
    val hedge: Boolean = false
)

/** Runs attempts and records their latencies, successes and target crashes in [repetition]. */
internal class AttemptRunner(
    private val dispatcher: TargetDispatcher,
    private val client: TargetClient,
    private val clock: MonotonicClock,
    private val repetition: RepetitionState
) {
    suspend fun run(plan: AttemptPlan): AttemptRecord {
        val started = clock.now()
        var report: CallReport? = null
        val callResult =
            try {
                client.call(plan.toCall(), plan.work.tokens).also {
                    report = CallReport(it.result, clock.now() - plan.grant.grantedAt, it.load)
                }
            } finally {
                dispatcher.release(plan.demand, plan.grant, report)
            }
        val took = clock.now() - started
        recordResult(plan, callResult, took)
        log(plan, callResult)
        return AttemptRecord(
            number = plan.number,
            target = plan.grant.target.id,
            result = callResult.result,
            took = took,
            hedge = plan.hedge,
            resumes = callResult.resumes,
            droppedAnswers = callResult.droppedAnswers
        )
    }

    private fun AttemptPlan.toCall(): TargetCall {
        val remaining = work.request.deadline - clock.now()
        return TargetCall(
            attempt = AttemptId(work.request.id, work.stage.name, number),
            target = grant.target,
            input = work.input,
            remaining = remaining,
            priority = work.request.priority,
            maximumTokens = work.stage.maximumTokens,
            key = if (work.service.idempotent) null else work.request.key,
            stream = work.service.type == ServiceKind.ENGINE && work.stage.maximumTokens > 0,
            // Leaves half of the time for a retry if the stage may be repeated.
            answerTimeout = if (work.service.idempotent) remaining / 2 else remaining
        )
    }

    private suspend fun recordResult(plan: AttemptPlan, callResult: CallResult, took: Duration) {
        repetition.droppedAnswers.addAndGet(callResult.droppedAnswers.toLong())
        if (callResult.result is AttemptResult.Answered) {
            val key = StageKey(plan.work.request.pipeline.name, plan.work.stage.name)
            repetition.budget.update { it.afterSuccess() }
            repetition.latencies.update { it.with(key, took) }
        }
        if (callResult.result is AttemptResult.MayHaveRun && callResult.connectionBroken) {
            markIfCrashed(plan.work, plan.grant.target)
        }
    }

    /** A broken connection alone does not prove a crash; a new connection must fail as well. */
    private suspend fun markIfCrashed(work: StageWork, target: Target) {
        if (client.reachable(target)) return
        val fingerprint = work.fingerprint
        repetition.suspicion.update { it.marked(fingerprint, target.id, clock.now()) }
        logWarning("target-crashed") {
            "request" to work.request.id
            "stage" to work.stage.name
            "target" to target.id
            "fingerprint" to fingerprint.value
        }
    }

    private fun log(plan: AttemptPlan, callResult: CallResult) {
        logEvent("attempt-finished") {
            "request" to plan.work.request.id
            "stage" to plan.work.stage.name
            "attempt" to plan.number
            "target" to plan.grant.target.id
            "result" to callResult.result::class.simpleName
        }
    }
}

internal val StageWork.fingerprint: Fingerprint
    get() = stageFingerprint(request.organisation, request.pipeline.name, stage.name, input)
