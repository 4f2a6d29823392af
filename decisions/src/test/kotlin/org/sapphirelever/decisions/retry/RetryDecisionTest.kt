package org.sapphirelever.decisions.retry

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.PipelineName
import org.sapphirelever.core.StageName
import org.sapphirelever.decisions.attempt.AttemptResult
import org.sapphirelever.decisions.attempt.RefusalReason

/** Guards against retries that repeat side effects, and against unbounded retries. */
class RetryDecisionTest {
    private data class Case(
        val name: String,
        val result: AttemptResult,
        val expected: RetryVerdict,
        val attempts: StageAttempts = StageAttempts(made = 1),
        val idempotent: Boolean = true,
        val remaining: Duration = 1.seconds
    )

    private val busy = AttemptResult.NotRun(ErrorCode.OVERLOADED, RefusalReason.BUSY)
    private val connectFailed = AttemptResult.NotRun(ErrorCode.TARGET_LOST)
    private val lost = AttemptResult.MayHaveRun(ErrorCode.TARGET_LOST)
    private val failed = AttemptResult.Failed(ErrorCode.TARGET_FAILED, "")

    private val cases =
        listOf(
            Case("refusal", busy, RetryVerdict.REPEAT, StageAttempts(1, 1), idempotent = false),
            Case("second refusal", busy, RetryVerdict.REPEAT, StageAttempts(2, 2)),
            Case("third refusal", busy, RetryVerdict.STOP, StageAttempts(3, 3)),
            Case(
                "no connection",
                connectFailed,
                RetryVerdict.REPEAT_FROM_BUDGET,
                idempotent = false
            ),
            Case("connection lost", lost, RetryVerdict.REPEAT_FROM_BUDGET),
            Case("connection lost, not idempotent", lost, RetryVerdict.STOP, idempotent = false),
            Case("failed on target", failed, RetryVerdict.STOP),
            Case("third connection lost", lost, RetryVerdict.STOP, StageAttempts(3)),
            Case("lost connections and refusals", busy, RetryVerdict.REPEAT, StageAttempts(4, 2)),
            Case(
                "token delivered",
                lost,
                RetryVerdict.STOP,
                StageAttempts(1, tokensDelivered = true)
            ),
            Case("deadline passed", connectFailed, RetryVerdict.STOP, remaining = Duration.ZERO)
        )

    @Test
    fun `each attempt result gives the expected verdict`() {
        for (case in cases) {
            val verdict = case.attempts.verdict(case.result, case.idempotent, case.remaining)
            assertEquals(case.expected, verdict, case.name)
        }
    }

    @Test
    fun `the budget gains a tenth of a token per success up to 100 tokens`() {
        var budget = RetryBudget(tenths = 0)
        repeat(9) { budget = budget.afterSuccess() }
        assertEquals(BudgetAction.DENY, budget.spend().actions.single())
        budget = budget.afterSuccess()
        assertEquals(BudgetAction.PERMIT, budget.spend().actions.single())
        assertEquals(0, budget.spend().state.tenths)
        repeat(2_000) { budget = budget.afterSuccess() }
        assertEquals(1_000, budget.tenths)
    }

    @Test
    fun `only an idempotent stage with enough samples is hedged at its 95th percentile`() {
        val key = StageKey(PipelineName("p"), StageName("s"))
        val few = (1..19).fold(StageLatencies()) { all, n -> all.with(key, n.milliseconds) }
        val many = (20..100).fold(few) { all, n -> all.with(key, n.milliseconds) }
        assertEquals(null, few.hedgeDelay(key, true, false, 1.seconds))
        assertEquals(95.milliseconds, many.hedgeDelay(key, true, false, 1.seconds))
        assertEquals(null, many.hedgeDelay(key, false, false, 1.seconds))
        assertEquals(null, many.hedgeDelay(key, true, true, 1.seconds))
        assertEquals(null, many.hedgeDelay(key, true, false, 95.milliseconds))
        val shifted = (1..500).fold(many) { all, _ -> all.with(key, 7.milliseconds) }
        assertEquals(7.milliseconds, shifted.percentile95(key))
    }
}
