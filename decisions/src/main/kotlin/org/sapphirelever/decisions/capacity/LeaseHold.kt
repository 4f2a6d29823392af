/*
 * Holding of a lease by one process. The holder judges by its own monotonic clock, read before the
 * request that extended the lease was sent, so that it stops before the platform ends the lease.
 */
package org.sapphirelever.decisions.capacity

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.sapphirelever.core.FencingNumber
import org.sapphirelever.core.MonotonicTime

/**
 * Times of a lease whose holder gives orders.
 *
 * @property stopBefore the holder gives no order in this last part of the lease; it covers an
 *   order in flight and a pause between check and send
 * @property orderLimit time after which an order in flight is given up
 * @property firstOrderDelay wait of a new holder, longer than [orderLimit]: an engine that ignores
 *   fencing numbers must have seen the last order of the former holder
 * @property renewEvery age of the last extension at which the holder asks for the next
 * @property acquireEvery time between two requests of a process that does not hold the lease
 */
public data class LeaseTiming(
    public val timeToLive: Duration = 15.seconds,
    public val stopBefore: Duration = 5.seconds,
    public val orderLimit: Duration = 3.seconds,
    public val firstOrderDelay: Duration = 8.seconds,
    public val renewEvery: Duration = 3.seconds,
    public val acquireEvery: Duration = 5.seconds
)

/** What the process knows of the lease. [askedAt] is the time of the last request for it. */
public sealed interface LeaseHold {
    public val askedAt: MonotonicTime?

    public data class NotHeld(override val askedAt: MonotonicTime? = null) : LeaseHold

    /**
     * @property extendedAt time before the request that last extended the lease was sent
     * @property firstOrderAt earliest time of an order
     */
    public data class Held(
        override val askedAt: MonotonicTime,
        public val fencing: FencingNumber,
        public val extendedAt: MonotonicTime,
        public val firstOrderAt: MonotonicTime
    ) : LeaseHold
}

/** Answer to a request for the lease, which was sent after [askedAt] was read. */
public sealed interface LeaseAnswer {
    public val askedAt: MonotonicTime

    public data class Granted(
        override val askedAt: MonotonicTime,
        public val fencing: FencingNumber
    ) : LeaseAnswer

    public data class Refused(override val askedAt: MonotonicTime) : LeaseAnswer

    /** No answer; the lease lasts as long as the holder knew before. */
    public data class Unclear(override val askedAt: MonotonicTime) : LeaseAnswer
}

/** Request that the process should make for the lease now. */
public sealed interface LeaseRequest {
    public data object Acquire : LeaseRequest

    public data class Renew(public val fencing: FencingNumber) : LeaseRequest
}

/** State after [answer], which came at [now]. */
public fun LeaseHold.on(answer: LeaseAnswer, now: MonotonicTime, timing: LeaseTiming): LeaseHold =
    when (answer) {
        is LeaseAnswer.Refused -> LeaseHold.NotHeld(answer.askedAt)

        is LeaseAnswer.Unclear ->
            when (this) {
                is LeaseHold.Held -> copy(askedAt = answer.askedAt)
                is LeaseHold.NotHeld -> copy(askedAt = answer.askedAt)
            }

        is LeaseAnswer.Granted -> {
            val held = (this as? LeaseHold.Held)?.takeIf { it.fencing == answer.fencing }
            LeaseHold.Held(
                askedAt = answer.askedAt,
                fencing = answer.fencing,
                extendedAt = answer.askedAt,
                firstOrderAt = held?.firstOrderAt ?: (now + timing.firstOrderDelay)
            )
        }
    }

/** Fencing number for an order that is sent now, or null if no order may be sent. */
public fun LeaseHold.orderNumber(now: MonotonicTime, timing: LeaseTiming): FencingNumber? {
    if (this !is LeaseHold.Held || now < firstOrderAt) return null
    val stopAt = extendedAt + timing.timeToLive - timing.stopBefore
    return fencing.takeIf { now < stopAt }
}

/** The request that is due, or null. A lease past its end is asked for anew. */
public fun LeaseHold.requestDue(now: MonotonicTime, timing: LeaseTiming): LeaseRequest? {
    val asked = askedAt
    return when (this) {
        is LeaseHold.Held ->
            when {
                now >= extendedAt + timing.timeToLive -> LeaseRequest.Acquire
                now >= extendedAt + timing.renewEvery -> LeaseRequest.Renew(fencing)
                else -> null
            }

        is LeaseHold.NotHeld ->
            LeaseRequest.Acquire.takeIf { asked == null || now >= asked + timing.acquireEvery }
    }
}
