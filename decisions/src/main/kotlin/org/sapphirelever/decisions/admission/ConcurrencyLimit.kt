/*
 * Limits that each host enforces locally: adaptive concurrency for each service, and a request rate
 * for each organisation.
 */
package org.sapphirelever.decisions.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.sapphirelever.core.MonotonicTime

/**
 * Limit of concurrent calls with additive increase and multiplicative decrease. It grows by one for
 * each round of [limit] calls without congestion. It shrinks by a factor, at most once per round,
 * when targets refuse or queue calls.
 */
public data class ConcurrencyLimit(
    public val limit: Double,
    public val decreasedAt: MonotonicTime? = null
) {
    /** The limit after a call without congestion; grows only if [running] calls use most of it. */
    public fun increased(running: Int, maximum: Double): ConcurrencyLimit {
        if (running < limit * GROWTH_UTILISATION) return this
        return copy(limit = (limit + 1 / limit).coerceAtMost(maxOf(maximum, MINIMUM)))
    }

    /** The limit after congestion; it decreases at most once per [callTime]. */
    public fun decreased(now: MonotonicTime, callTime: Duration): ConcurrencyLimit {
        if (decreasedAt != null && now - decreasedAt < callTime) return this
        return ConcurrencyLimit((limit * DECREASE_FACTOR).coerceAtLeast(MINIMUM), now)
    }

    public companion object {
        /** Lower bound of the limit: a host must keep making calls to measure its targets. */
        public const val MINIMUM: Double = 2.0

        private const val DECREASE_FACTOR = 0.85
        private const val GROWTH_UTILISATION = 0.8
    }
}

/** Token bucket whose capacity is the permitted requests of one second. */
public data class RateBucket(public val tokens: Double, public val refilledAt: MonotonicTime) {
    /** The bucket at [now] under a limit of [rate] requests a second. */
    public fun refilled(rate: Int, now: MonotonicTime): RateBucket {
        val gained = (now - refilledAt) / 1.seconds * rate
        return RateBucket((tokens + gained).coerceAtMost(rate.toDouble()), now)
    }
}
