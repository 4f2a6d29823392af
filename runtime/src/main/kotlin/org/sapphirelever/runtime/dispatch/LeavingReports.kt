/*
 * Reports of leaving targets. If a target refuses a call because it is leaving, this host learns
 * that it leaves seconds before the host list shows it.
 */
package org.sapphirelever.runtime.dispatch

import org.sapphirelever.core.TargetId
import org.sapphirelever.decisions.attempt.AttemptResult
import org.sapphirelever.decisions.attempt.RefusalReason

/** Delegates to [dispatcher] and calls [onLeaving] for each target that refuses as leaving. */
public class LeavingReports(
    private val dispatcher: TargetDispatcher,
    private val onLeaving: (TargetId) -> Unit
) : TargetDispatcher by dispatcher {
    override fun release(demand: StageDemand, grant: Grant, report: CallReport?) {
        dispatcher.release(demand, grant, report)
        val refusal = (report?.result as? AttemptResult.NotRun)?.refusal
        if (refusal == RefusalReason.LEAVING) onLeaving(grant.target.id)
    }
}
