/*
 * State of retries, hedges and crash suspicion that all requests of a host share.
 */
package org.sapphirelever.runtime.request

import java.util.concurrent.atomic.AtomicLong
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.decisions.retry.BudgetAction
import org.sapphirelever.decisions.retry.RetryBudget
import org.sapphirelever.decisions.retry.StageLatencies
import org.sapphirelever.decisions.retry.spend
import org.sapphirelever.decisions.suspicion.CrashMark
import org.sapphirelever.decisions.suspicion.SuspicionState
import org.sapphirelever.decisions.suspicion.composeMarks
import org.sapphirelever.decisions.suspicion.merged
import org.sapphirelever.runtime.StateCell

/**
 * State that decides whether an attempt may be repeated. Heartbeats exchange the crash marks of
 * [suspicion] with other hosts.
 *
 * @property budget retry budget, which retries and hedges take tokens from
 * @property latencies latency of the stages, from which the delay of a hedge is derived
 * @property droppedAnswers number of answers dropped because they belonged to another attempt
 */
public class RepetitionState {
    public val budget: StateCell<RetryBudget> = StateCell(RetryBudget())
    public val latencies: StateCell<StageLatencies> = StateCell(StageLatencies())
    public val suspicion: StateCell<SuspicionState> = StateCell(SuspicionState())
    public val droppedAnswers: AtomicLong = AtomicLong()

    /** Takes at most [limit] crash marks for one heartbeat and counts their transmission. */
    public fun composeHeartbeatMarks(limit: Int, now: MonotonicTime): List<CrashMark> =
        suspicion.decide { it.composeMarks(limit, now) }

    /** Merges the crash marks that another host sent. */
    public fun mergeMarks(marks: List<CrashMark>, now: MonotonicTime) {
        suspicion.update { it.merged(marks, now) }
    }

    /** Takes a token from the budget for a retry or hedge; false if the budget is exhausted. */
    public fun spend(): Boolean = budget.decide { it.spend() }.single() == BudgetAction.PERMIT
}
