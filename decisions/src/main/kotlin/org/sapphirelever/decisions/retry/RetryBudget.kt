/*
 * Budget of retries and hedges. It bounds the extra load that repeated calls put on targets that
 * are already in trouble.
 */
package org.sapphirelever.decisions.retry

import org.sapphirelever.decisions.Decision
import org.sapphirelever.decisions.decide

/** Answer to a call that wants to be repeated or hedged. */
public enum class BudgetAction { PERMIT, DENY }

/** Tokens held, in tenths of a token. */
public data class RetryBudget(public val tenths: Int = INITIAL_TENTHS) {
    public companion object {
        public const val TENTHS_PER_CALL: Int = 10
        public const val MAXIMUM_TENTHS: Int = 1_000

        /** A host that has just started may repeat 10 calls before its first successes. */
        public const val INITIAL_TENTHS: Int = 100
    }
}

/** A success earns 0.1 token, up to 100 tokens. */
public fun RetryBudget.afterSuccess(): RetryBudget =
    copy(tenths = (tenths + 1).coerceAtMost(RetryBudget.MAXIMUM_TENTHS))

/** Takes one token for a retry or hedge, if there is one. */
public fun RetryBudget.spend(): Decision<RetryBudget, BudgetAction> =
    if (tenths >= RetryBudget.TENTHS_PER_CALL) {
        copy(tenths = tenths - RetryBudget.TENTHS_PER_CALL).decide(BudgetAction.PERMIT)
    } else {
        decide(BudgetAction.DENY)
    }
