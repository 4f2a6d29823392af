/*
 * Admission of a stage to a target: waits for room under the limits of this host, or refuses.
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
 * What one attempt at a stage asks for.
 *
 * @property excluded targets that this stage of this request has tried
 * @property inputLength length of the input in characters
 * @property declaredTokens tokens that the caller expects, or null
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
 * Permission to call a target, returned by exactly one [TargetDispatcher.release].
 *
 * @property id identity of the grant within its dispatcher
 */
public data class Grant(
    public val target: Target,
    public val grantedAt: MonotonicTime,
    public val id: Long = 0
)

/** Answer of the dispatcher. */
public sealed interface Dispatch {
    public data class Granted(public val grant: Grant) : Dispatch

    /** No attempt is made; [retryAfter] tells when room is expected. */
    public data class Refused(public val code: ErrorCode, public val retryAfter: Duration) :
        Dispatch
}

/** How a granted call ended. */
public data class CallReport(
    public val result: AttemptResult,
    public val took: Duration,
    public val load: ReportedLoad? = null
)

/** Gives out permissions to call targets. */
public interface TargetDispatcher {
    /** Waits until the demand may proceed, at most until its deadline. */
    public suspend fun acquire(demand: StageDemand): Dispatch

    /** Returns [grant]; [report] is null if the call was cancelled. */
    public fun release(demand: StageDemand, grant: Grant, report: CallReport?)
}
