/*
 * A lease as its holder sees it. The holder reckons on its own monotonic clock from the moment
 * before the call was sent, and stops acting a margin before the end, so that a pause between
 * check and act does not outlast the lease.
 */
package org.sapphirelever.decisions.lease

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.sapphirelever.core.FencingNumber
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.decisions.Decision
import org.sapphirelever.decisions.decide

/**
 * Times of a lease.
 *
 * @property margin time before the end at which the holder stops acting
 * @property renewEvery interval of renewals, and of attempts while another host holds the lease
 */
public data class LeaseTerms(
    public val timeToLive: Duration = 15.seconds,
    public val margin: Duration = 5.seconds,
    public val renewEvery: Duration = 4.seconds
)

/** A granted lease; [sentAt] is the local time before the call was sent. */
public data class HeldLease(public val fencing: FencingNumber, public val sentAt: MonotonicTime)

/** State of one lease on one host. [nextCall] is the earliest time of the next call. */
public data class LeaseState(
    public val terms: LeaseTerms = LeaseTerms(),
    public val held: HeldLease? = null,
    public val nextCall: MonotonicTime? = null
) {
    /** Moment at which the holder stops acting, or null if it holds no lease. */
    public val actUntil: MonotonicTime?
        get() = held?.let { it.sentAt + terms.timeToLive - terms.margin }

    public fun mayAct(now: MonotonicTime): Boolean = actUntil?.let { now < it } ?: false
}

public sealed interface LeaseEvent {
    /** Time has passed; [eligible] says whether this host should contend. */
    public data class Tick(public val now: MonotonicTime, public val eligible: Boolean) :
        LeaseEvent

    /** The platform granted or renewed the lease in answer to a call sent at [sentAt]. */
    public data class Granted(public val fencing: FencingNumber, public val sentAt: MonotonicTime) :
        LeaseEvent

    public data object HeldByOther : LeaseEvent

    /** No usable reply came; a lease that is held stays valid until its own bound. */
    public data object Unclear : LeaseEvent
}

public sealed interface LeaseAction {
    public data object Acquire : LeaseAction

    public data class Renew(public val fencing: FencingNumber) : LeaseAction

    public data class Release(public val fencing: FencingNumber) : LeaseAction
}

public fun LeaseState.on(event: LeaseEvent): Decision<LeaseState, LeaseAction> = when (event) {
    is LeaseEvent.Tick -> onTick(event)
    is LeaseEvent.Granted -> copy(held = HeldLease(event.fencing, event.sentAt)).decide()
    LeaseEvent.HeldByOther -> copy(held = null).decide()
    LeaseEvent.Unclear -> decide()
}

private fun LeaseState.onTick(event: LeaseEvent.Tick): Decision<LeaseState, LeaseAction> {
    val lease = held
    if (!event.eligible) return withdraw()
    val due = nextCall
    if (due != null && event.now < due) return decide()
    val waiting = copy(nextCall = event.now + terms.renewEvery)
    if (lease == null || event.now >= lease.sentAt + terms.timeToLive) {
        return waiting.copy(held = null).decide(LeaseAction.Acquire)
    }
    return waiting.decide(LeaseAction.Renew(lease.fencing))
}

private fun LeaseState.withdraw(): Decision<LeaseState, LeaseAction> {
    val lease = held ?: return decide()
    return copy(held = null).decide(LeaseAction.Release(lease.fencing))
}
