/*
 * A lease from the view of its holder. The holder measures the lease on its own monotonic clock
 * from just before the call was sent, and stops acting a margin before the end, so that a pause
 * between check and action does not outlast the lease.
 */
package org.sapphirelever.decisions.lease

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.sapphirelever.core.FencingNumber
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.decisions.Decision
import org.sapphirelever.decisions.decide

/**
 * Durations of a lease.
 *
 * @property margin time before the end at which the holder stops acting; it covers an action in
 *   flight and a pause between check and action
 * @property renewEvery time from one extension to the request for the next
 * @property retryRenewalEvery time after which a renewal without a usable reply is sent again
 * @property acquireEvery interval of attempts while this process does not hold the lease
 * @property firstActDelay wait of a new holder after the grant, since actions of the former holder
 *   may still be in flight
 */
public data class LeaseTimings(
    public val timeToLive: Duration = 15.seconds,
    public val margin: Duration = 5.seconds,
    public val renewEvery: Duration = 4.seconds,
    public val retryRenewalEvery: Duration = renewEvery,
    public val acquireEvery: Duration = 4.seconds,
    public val firstActDelay: Duration = Duration.ZERO
)

/**
 * A granted lease.
 *
 * @property sentAt local time before the call that last extended the lease was sent
 * @property actFrom earliest time at which the holder acts
 */
public data class HeldLease(
    public val fencing: FencingNumber,
    public val sentAt: MonotonicTime,
    public val actFrom: MonotonicTime
)

/** State of one lease in one process. [nextCall] is the earliest time of the next call. */
public data class LeaseState(
    public val timings: LeaseTimings = LeaseTimings(),
    public val held: HeldLease? = null,
    public val nextCall: MonotonicTime? = null
) {
    /** Time at which the holder stops acting, or null if it holds no lease. */
    public val actUntil: MonotonicTime?
        get() = held?.let { it.sentAt + timings.timeToLive - timings.margin }

    /** Fencing number for an action at [now], or null if this process may not act. */
    public fun fencingFor(now: MonotonicTime): FencingNumber? {
        val lease = held ?: return null
        val until = actUntil ?: return null
        return lease.fencing.takeIf { now >= lease.actFrom && now < until }
    }

    public fun mayAct(now: MonotonicTime): Boolean = fencingFor(now) != null

    /** Whether the lease has not reached its end at [now]; the holder may be past its margin. */
    public fun isHeld(now: MonotonicTime): Boolean =
        held?.let { now < it.sentAt + timings.timeToLive } ?: false
}

public sealed interface LeaseEvent {
    /** Time has passed; [eligible] says whether this process should hold or request the lease. */
    public data class Tick(public val now: MonotonicTime, public val eligible: Boolean) :
        LeaseEvent

    /**
     * The platform granted or renewed the lease.
     *
     * @property sentAt local time before the call was sent; the lease is measured from it
     * @property receivedAt local time of the reply; the wait of a new holder starts then
     */
    public data class Granted(
        public val fencing: FencingNumber,
        public val sentAt: MonotonicTime,
        public val receivedAt: MonotonicTime
    ) : LeaseEvent

    public data object HeldByOther : LeaseEvent

    /** No usable reply came; a held lease stays valid until it ends on the local clock. */
    public data object Unclear : LeaseEvent
}

public sealed interface LeaseAction {
    public data object Acquire : LeaseAction

    public data class Renew(public val fencing: FencingNumber) : LeaseAction

    public data class Release(public val fencing: FencingNumber) : LeaseAction
}

public fun LeaseState.on(event: LeaseEvent): Decision<LeaseState, LeaseAction> = when (event) {
    is LeaseEvent.Tick -> onTick(event)
    is LeaseEvent.Granted -> onGranted(event).decide()
    LeaseEvent.HeldByOther -> copy(held = null).decide()
    LeaseEvent.Unclear -> decide()
}

/** A renewal keeps [HeldLease.actFrom]; a new fencing number starts the wait again. */
private fun LeaseState.onGranted(event: LeaseEvent.Granted): LeaseState {
    val known = held?.takeIf { it.fencing == event.fencing }
    val actFrom = known?.actFrom ?: (event.receivedAt + timings.firstActDelay)
    return copy(
        held = HeldLease(event.fencing, event.sentAt, actFrom),
        nextCall = event.sentAt + timings.renewEvery
    )
}

private fun LeaseState.onTick(event: LeaseEvent.Tick): Decision<LeaseState, LeaseAction> {
    if (!event.eligible) return releaseHeld()
    val due = nextCall
    if (due != null && event.now < due) return decide()
    val lease = held?.takeIf { isHeld(event.now) }
        ?: return copy(held = null, nextCall = event.now + timings.acquireEvery)
            .decide(LeaseAction.Acquire)
    return copy(
        nextCall = event.now + timings.retryRenewalEvery
    ).decide(LeaseAction.Renew(lease.fencing))
}

private fun LeaseState.releaseHeld(): Decision<LeaseState, LeaseAction> {
    val lease = held ?: return decide()
    return copy(held = null).decide(LeaseAction.Release(lease.fencing))
}
