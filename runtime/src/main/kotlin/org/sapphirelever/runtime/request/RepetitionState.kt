/*
 * State that decides whether a call may be repeated, shared by all requests of a host.
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
 * Budget, latencies and suspicions. The links to other hosts read and merge [suspicion];
 * [droppedAnswers] counts answers that belonged to another attempt.
 */
public class RepetitionState {
    public val budget: StateCell<RetryBudget> = StateCell(RetryBudget())
    public val latencies: StateCell<StageLatencies> = StateCell(StageLatencies())
    public val suspicion: StateCell<SuspicionState> = StateCell(SuspicionState())
    public val droppedAnswers: AtomicLong = AtomicLong()

    /** Crash marks for one heartbeat to another host. */
    public fun offerMarks(limit: Int, now: MonotonicTime): List<CrashMark> =
        suspicion.decide { it.composeMarks(limit, now) }

    /** Takes the crash marks of another host. */
    public fun mergeMarks(marks: List<CrashMark>, now: MonotonicTime) {
        suspicion.update { it.merged(marks, now) }
    }

    /** Takes a token for a retry or hedge; false if there is none. */
    public fun spend(): Boolean = budget.decide { it.spend() }.single() == BudgetAction.PERMIT
}
