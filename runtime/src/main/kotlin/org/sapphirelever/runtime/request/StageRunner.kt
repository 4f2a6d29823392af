/*
 * Runs one stage of a request: attempts, retries within the retry budget, and refusal of requests
 * that are suspected of crashing targets.
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

/** Runs stages, with hedged attempts; [repetition] is shared by all requests of the host. */
internal class StageRunner(
    private val dispatcher: TargetDispatcher,
    attempts: AttemptRunner,
    private val clock: MonotonicClock,
    private val repetition: RepetitionState
) {
    private val hedging = HedgedAttempts(dispatcher, attempts, clock, repetition)

    suspend fun run(original: StageWork, previous: RequestProgress): StageRun {
        val started = clock.now()
        var delivered = false
        val sink = TokenSink { index, text ->
            delivered = true
            original.tokens.accept(index, text)
        }
        val work =
            if (original.tokens === TokenSink.NONE) original else original.copy(tokens = sink)
        var records = persistentListOf<AttemptRecord>()
        var counts = StageAttempts()
        var end: StageEnd? = null
        while (end == null) {
            val step = attemptOnce(work, records)
            records = records.addAll(step.records)
            counts = step.records.fold(counts) { all, record -> all.after(record.result) }
            end = step.end ?: endAfter(work, counts.copy(tokensDelivered = delivered), records)
        }
        val progress =
            records.fold(previous) { state, record ->
                state.after(record.result, work.service.idempotent)
            }
        val record = StageRecord(work.stage, records, clock.now() - started)
        return StageRun(end, progress, record)
    }

    private data class AttemptStep(
        val records: List<AttemptRecord> = emptyList(),
        val end: StageEnd? = null
    )

    /** Makes one attempt, with its hedge, unless a crash is suspected or no target is granted. */
    private suspend fun attemptOnce(
        work: StageWork,
        records: PersistentList<AttemptRecord>
    ): AttemptStep {
        val suspicion = repetition.suspicion.value
        // Crash marks are rare; without any, the input need not be hashed.
        if (suspicion.marks.isNotEmpty() && suspicion.suspects(work.fingerprint, clock.now())) {
            return AttemptStep(end = StageEnd.Failed(ErrorCode.SUSPECTED_CRASH, RetryAdvice.NEVER))
        }
        val demand = work.demand(records)
        return when (val dispatch = dispatcher.acquire(demand)) {
            is Dispatch.Granted -> {
                val plan = AttemptPlan(work, demand, dispatch.grant, records.size + 1)
                AttemptStep(hedging.run(plan))
            }

            is Dispatch.Refused -> {
                val code = records.lastOrNull()?.result?.failureCode ?: dispatch.code
                AttemptStep(end = StageEnd.Failed(code, RetryAdvice.after(dispatch.retryAfter)))
            }
        }
    }

    /** How the stage ended after the last attempt, or null if another target may be tried. */
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

/** Demand of the next attempt, which excludes the targets in [records]. */
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

/** Refusals and failed connects are temporary; a stage that failed or was lost may fail again. */
private val AttemptResult.advice: RetryAdvice
    get() = if (this is AttemptResult.NotRun) RetryAdvice.after(RETRY_DELAY) else RetryAdvice.NEVER

/** Time after which targets that refused are expected to have capacity again. */
private val RETRY_DELAY: Duration = 500.milliseconds

private val AttemptResult.failureCode: ErrorCode?
    get() = when (this) {
        is AttemptResult.Answered -> null
        is AttemptResult.NotRun -> code
        is AttemptResult.MayHaveRun -> code
        is AttemptResult.Failed -> code
    }
