/*
 * Whether another target may run a stage after an attempt ended.
 */
package org.sapphirelever.decisions.retry

import kotlin.time.Duration
import org.sapphirelever.decisions.attempt.AttemptResult

/** What may follow an attempt. */
public enum class RetryVerdict {
    STOP,

    /** Another target may be asked at no cost: the refusing target did no work. */
    REPEAT,

    /** Another target may be asked for one token of the budget. */
    REPEAT_FROM_BUDGET
}

/**
 * Attempts at one stage so far.
 *
 * @property refusals attempts that ended with a refusal by the target
 * @property tokensDelivered whether the caller has received a token of this stage; another target
 *   would generate another answer, which must not follow these tokens
 */
public data class StageAttempts(
    public val made: Int = 0,
    public val refusals: Int = 0,
    public val tokensDelivered: Boolean = false
) {
    public fun after(result: AttemptResult): StageAttempts {
        val refused = (result as? AttemptResult.NotRun)?.refusal != null
        return copy(made = made + 1, refusals = refusals + if (refused) 1 else 0)
    }

    public companion object {
        public const val MAXIMUM_REFUSALS: Int = 3

        /** Attempts that may use a target: more would spend the deadline on a failing service. */
        public const val MAXIMUM_UNREFUSED: Int = 3
    }
}

/** Decides after [result], which is already counted in these attempts. */
public fun StageAttempts.verdict(
    result: AttemptResult,
    idempotent: Boolean,
    remaining: Duration
): RetryVerdict = when {
    !remaining.isPositive() -> RetryVerdict.STOP

    tokensDelivered -> RetryVerdict.STOP

    made - refusals >= StageAttempts.MAXIMUM_UNREFUSED -> RetryVerdict.STOP

    result is AttemptResult.NotRun && result.refusal != null ->
        if (refusals < StageAttempts.MAXIMUM_REFUSALS) RetryVerdict.REPEAT else RetryVerdict.STOP

    result is AttemptResult.NotRun -> RetryVerdict.REPEAT_FROM_BUDGET

    result is AttemptResult.MayHaveRun && idempotent -> RetryVerdict.REPEAT_FROM_BUDGET

    else -> RetryVerdict.STOP
}
