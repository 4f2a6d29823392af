/*
 * Decides whether another target may run a stage after an attempt ended.
 */
package org.sapphirelever.decisions.retry

import kotlin.time.Duration
import org.sapphirelever.decisions.attempt.AttemptResult

/** Whether a stage may be retried on another target. */
public enum class RetryVerdict {
    STOP,

    /** Another target may be tried without budget, because the refusing target did no work. */
    REPEAT,

    /** Another target may be tried if the retry budget has a token. */
    REPEAT_FROM_BUDGET
}

/**
 * Attempts made at one stage.
 *
 * @property made number of all attempts
 * @property refusals number of attempts that ended with a refusal by the target
 * @property tokensDelivered whether the caller has received tokens of this stage; another target
 *   would generate a different answer, which must not follow these tokens
 */
public data class StageAttempts(
    public val made: Int = 0,
    public val refusals: Int = 0,
    public val tokensDelivered: Boolean = false
) {
    public fun after(result: AttemptResult): StageAttempts {
        val isRefusal = (result as? AttemptResult.NotRun)?.refusal != null
        return copy(made = made + 1, refusals = refusals + if (isRefusal) 1 else 0)
    }

    public companion object {
        public const val MAXIMUM_REFUSALS: Int = 3

        /** Limit of unrefused attempts: more would spend the deadline on a failing service. */
        public const val MAXIMUM_UNREFUSED_ATTEMPTS: Int = 3
    }
}

/** Verdict after [result], which these attempts already count. */
public fun StageAttempts.verdict(
    result: AttemptResult,
    idempotent: Boolean,
    remaining: Duration
): RetryVerdict = when {
    !remaining.isPositive() -> RetryVerdict.STOP

    tokensDelivered -> RetryVerdict.STOP

    made - refusals >= StageAttempts.MAXIMUM_UNREFUSED_ATTEMPTS -> RetryVerdict.STOP

    result is AttemptResult.NotRun && result.refusal != null ->
        if (refusals < StageAttempts.MAXIMUM_REFUSALS) RetryVerdict.REPEAT else RetryVerdict.STOP

    result is AttemptResult.NotRun -> RetryVerdict.REPEAT_FROM_BUDGET

    result is AttemptResult.MayHaveRun && idempotent -> RetryVerdict.REPEAT_FROM_BUDGET

    else -> RetryVerdict.STOP
}
