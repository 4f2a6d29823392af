/*
 * Input and output of admission: waiting calls, decisions on them, and results of granted calls.
 */
package org.sapphirelever.decisions.admission

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.OrganisationName
import org.sapphirelever.core.Priority
import org.sapphirelever.core.ServiceName
import org.sapphirelever.decisions.prediction.SizeClass
import org.sapphirelever.decisions.prediction.StageKind
import org.sapphirelever.decisions.routing.LoadReport
import org.sapphirelever.decisions.routing.RoutingRequest
import org.sapphirelever.decisions.routing.Target

/**
 * A call to a stage that waits for a target.
 *
 * @property id identity within this host, ascending
 * @property first whether it is the first call of its request
 * @property retry whether the call is a retry or hedge of an earlier attempt at the stage
 * @property laterStages kinds of the calls that the request makes after this one
 * @property rateLimit requests per second of the organisation on this host, 0 for no limit
 * @property cost predicted time in milliseconds, set by admission
 */
public data class WaitingCall(
    public val id: Long,
    public val organisation: OrganisationName,
    public val weight: Int,
    public val priority: Priority,
    public val size: SizeClass,
    public val routing: RoutingRequest,
    public val deadline: MonotonicTime,
    public val first: Boolean,
    public val retry: Boolean = false,
    public val laterStages: PersistentList<StageKind> = persistentListOf(),
    public val rateLimit: Int = 0,
    public val cost: Double = 1.0
) {
    public val service: ServiceName get() = routing.service
    public val kind: StageKind get() = StageKind(service, size)
    public val lane: LaneKey
        get() = LaneKey(organisation, priority, size == SizeClass.LONG, !first)
}

/** Decision of the dispatcher on a waiting call. */
public sealed interface DispatchAction {
    public val id: Long

    /** [call] may go to [target]. */
    public data class Grant(public val call: WaitingCall, public val target: Target) :
        DispatchAction {
        override val id: Long get() = call.id
    }

    /** The call is not made; [retryAfter] is the time until capacity is expected. */
    public data class Refuse(
        override val id: Long,
        public val code: ErrorCode,
        public val retryAfter: Duration
    ) : DispatchAction
}

/** How a granted call ended, as far as it matters for limits and statistics. */
public enum class CallEnd { ANSWERED, BUSY, LEAVING, LOST, FAILED, CANCELLED }

/** End of the granted [call]. */
public data class FinishedCall(
    public val call: WaitingCall,
    public val target: Target,
    public val end: CallEnd,
    public val took: Duration,
    public val load: LoadReport? = null
)
