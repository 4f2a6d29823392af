/*
 * One stage of a request: attempts, retries within the budget, and refusal of suspected work.
 */
package org.sapphirelever.runtime.request

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentSet
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.RetryAdvice
import org.sapphirelever.decisions.attempt.AttemptResult
import org.sapphirelever.decisions.attempt.RequestProgress
import org.sapphirelever.decisions.retry.RetryVerdict
import org.sapphirelever.decisions.retry.StageAttempts
import org.sapphirelever.decisions.retry.verdict
import org.sapphirelever.decisions.suspicion.suspects
import org.sapphirelever.runtime.dispatch.Dispatch
import org.sapphirelever.runtime.dispatch.StageDemand
import org.sapphirelever.runtime.dispatch.TargetDispatcher
import org.sapphirelever.runtime.target.TokenSink

/** How a stage ended. */
internal sealed interface StageEnd {
    data class Output(val text: String) : StageEnd

    data class Failed(val code: ErrorCode, val retry: RetryAdvice) : StageEnd
}

internal data class StageRun(
    val end: StageEnd,
    val progress: RequestProgress,
    val record: StageRecord
)

/** Runs stages. */
internal class StageRunner(
    private val dispatcher: TargetDispatcher,
    attempts: AttemptRunner,
    private val clock: MonotonicClock,
    private val repetition: RepetitionState
) {
    private val hedging = HedgedAttempts(dispatcher, attempts, clock, repetition)

    suspend fun run(asked: StageWork, before: RequestProgress): StageRun {
        val started = clock.now()
        var delivered = false
        val sink = TokenSink { index, text ->
            delivered = true
            asked.tokens.accept(index, text)
        }
        val work = if (asked.tokens === TokenSink.NONE) asked else asked.copy(tokens = sink)
        var records = persistentListOf<AttemptRecord>()
        var counts = StageAttempts()
        var end: StageEnd? = null
        while (end == null) {
            val step = step(work, records)
            records = records.addAll(step.records)
            counts = step.records.fold(counts) { all, record -> all.after(record.result) }
            end = step.end ?: endAfter(work, counts.copy(tokensDelivered = delivered), records)
        }
        val progress =
            records.fold(before) { state, record ->
                state.after(record.result, work.service.idempotent)
            }
        val record = StageRecord(work.stage, records, clock.now() - started)
        return StageRun(end, progress, record)
    }

    private data class Step(
        val records: List<AttemptRecord> = emptyList(),
        val end: StageEnd? = null
    )

    /** Makes one attempt, with its hedge, unless the work is suspected or finds no target. */
    private suspend fun step(work: StageWork, records: PersistentList<AttemptRecord>): Step {
        val suspicion = repetition.suspicion.value
        // The input is hashed only if any request is marked, which is rare.
        if (suspicion.marks.isNotEmpty() && suspicion.suspects(work.fingerprint, clock.now())) {
            return Step(end = StageEnd.Failed(ErrorCode.SUSPECTED_CRASH, RetryAdvice.NEVER))
        }
        val demand = work.demand(records)
        return when (val dispatch = dispatcher.acquire(demand)) {
            is Dispatch.Granted -> {
                val plan = AttemptPlan(work, demand, dispatch.grant, records.size + 1)
                Step(hedging.run(plan))
            }

            is Dispatch.Refused -> {
                val code = records.lastOrNull()?.result?.failureCode ?: dispatch.code
                Step(end = StageEnd.Failed(code, RetryAdvice.after(dispatch.retryAfter)))
            }
        }
    }

    /** The end after the last attempt, or null if another target may be asked. */
    private fun endAfter(
        work: StageWork,
        counts: StageAttempts,
        records: PersistentList<AttemptRecord>
    ): StageEnd? {
        val answered = records.firstNotNullOfOrNull { it.result as? AttemptResult.Answered }
        if (answered != null) return StageEnd.Output(answered.answer.output)
        val result = records.last().result
        val failed = StageEnd.Failed(result.failureCode ?: ErrorCode.INTERNAL, result.advice)
        val remaining = work.request.deadline - clock.now()
        return when (counts.verdict(result, work.service.idempotent, remaining)) {
            RetryVerdict.STOP -> failed
            RetryVerdict.REPEAT -> null
            RetryVerdict.REPEAT_FROM_BUDGET -> if (repetition.spend()) null else failed
        }
    }
}

/** What this work asks of the dispatcher after the attempts in [records]. */
internal fun StageWork.demand(records: List<AttemptRecord>): StageDemand = StageDemand(
    pipeline = request.pipeline,
    stage = stage,
    service = service,
    organisation = request.organisation,
    priority = request.priority,
    deadline = request.deadline,
    inputLength = input.length,
    declaredTokens = request.declaredTokens,
    excluded = records.map { it.target }.toPersistentSet()
)

/** Refusals and failed connects pass; a stage that failed or was lost may fail again. */
private val AttemptResult.advice: RetryAdvice
    get() = if (this is AttemptResult.NotRun) RetryAdvice.after(BUSY_DELAY) else RetryAdvice.NEVER

/** Time after which targets that refused are expected to have room. */
private val BUSY_DELAY: Duration = 500.milliseconds

private val AttemptResult.failureCode: ErrorCode?
    get() = when (this) {
        is AttemptResult.Answered -> null
        is AttemptResult.NotRun -> code
        is AttemptResult.MayHaveRun -> code
        is AttemptResult.Failed -> code
    }
