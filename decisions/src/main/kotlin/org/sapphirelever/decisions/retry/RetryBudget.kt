/*
 * Budget of retries and hedges. It bounds the load that repeated calls add to targets that are
 * already failing or overloaded.
 */
package org.sapphirelever.decisions.retry

import org.sapphirelever.decisions.Decision
import org.sapphirelever.decisions.decide

/** Whether the budget permits a retry or hedge. */
public enum class BudgetAction { PERMIT, DENY }

/** Available tokens, in tenths of a token. */
public data class RetryBudget(public val tenths: Int = INITIAL_TENTHS) {
    public companion object {
        public const val TENTHS_PER_CALL: Int = 10
        public const val MAXIMUM_TENTHS: Int = 1_000

        /** A newly started host may repeat 10 calls before its first successes. */
        public const val INITIAL_TENTHS: Int = 100
    }
}

/** Adds 0.1 token for a successful call, up to 100 tokens. */
public fun RetryBudget.afterSuccess(): RetryBudget =
    copy(tenths = (tenths + 1).coerceAtMost(RetryBudget.MAXIMUM_TENTHS))

/** Takes one token for a retry or hedge, if there is one. */
public fun RetryBudget.spend(): Decision<RetryBudget, BudgetAction> =
    if (tenths >= RetryBudget.TENTHS_PER_CALL) {
        copy(tenths = tenths - RetryBudget.TENTHS_PER_CALL).decide(BudgetAction.PERMIT)
    } else {
        decide(BudgetAction.DENY)
    }
