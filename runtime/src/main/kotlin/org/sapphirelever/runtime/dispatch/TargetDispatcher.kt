/*
 * Admission of calls to targets: a call waits for capacity under the limits of this host, or is
 * refused.
 */
package org.sapphirelever.runtime.dispatch

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.OrganisationName
import org.sapphirelever.core.Priority
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.resource.Pipeline
import org.sapphirelever.core.resource.Service
import org.sapphirelever.core.resource.Stage
import org.sapphirelever.decisions.attempt.AttemptResult
import org.sapphirelever.decisions.routing.Target
import org.sapphirelever.runtime.target.ReportedLoad

/**
 * Call to a target that one attempt at a stage needs.
 *
 * @property excluded targets that earlier attempts at the stage have called
 * @property inputLength length of the input in characters
 * @property declaredTokens number of tokens that the caller expects, or null if it did not say
 */
public data class StageDemand(
    public val pipeline: Pipeline,
    public val stage: Stage,
    public val service: Service,
    public val organisation: OrganisationName,
    public val priority: Priority,
    public val deadline: MonotonicTime,
    public val inputLength: Int,
    public val declaredTokens: Int? = null,
    public val prefix: String = "",
    public val excluded: PersistentSet<TargetId> = persistentSetOf()
)

/**
 * Permission to call a target; it is returned by [TargetDispatcher.release], exactly once.
 *
 * @property id identifies the grant within its dispatcher
 */
public data class Grant(
    public val target: Target,
    public val grantedAt: MonotonicTime,
    public val id: Long = 0
)

/** Answer of the dispatcher. */
public sealed interface Dispatch {
    public data class Granted(public val grant: Grant) : Dispatch

    /** No attempt is made; [retryAfter] is the time until capacity is expected. */
    public data class Refused(public val code: ErrorCode, public val retryAfter: Duration) :
        Dispatch
}

/** How a granted call ended. */
public data class CallReport(
    public val result: AttemptResult,
    public val took: Duration,
    public val load: ReportedLoad? = null
)

/** Grants permissions to call targets. */
public interface TargetDispatcher {
    /** Waits until [demand] is granted or refused, at most until its deadline. */
    public suspend fun acquire(demand: StageDemand): Dispatch

    /** Returns [grant] and its capacity; [report] is null if the call was cancelled. */
    public fun release(demand: StageDemand, grant: Grant, report: CallReport?)
}
