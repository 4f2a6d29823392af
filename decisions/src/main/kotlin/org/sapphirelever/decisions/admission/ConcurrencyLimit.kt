/*
 * Limits that this host sets itself: concurrency for each service, and a request rate for each
 * organisation.
 */
package org.sapphirelever.decisions.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.sapphirelever.core.MonotonicTime

/**
 * Adaptive limit of concurrent calls. It grows by one for each round of calls that met no queue,
 * and shrinks by a factor, at most once in a round, when targets refuse or queue.
 */
public data class ConcurrencyLimit(
    public val limit: Double,
    public val decreasedAt: MonotonicTime? = null
) {
    /** The limit after a call that met free slots while [running] calls ran. */
    public fun increased(running: Int, greatest: Double): ConcurrencyLimit {
        if (running < limit * PRESSED) return this
        return copy(limit = (limit + 1 / limit).coerceAtMost(maxOf(greatest, LEAST)))
    }

    /** The limit after a sign of congestion; [round] is the time of one call. */
    public fun decreased(now: MonotonicTime, round: Duration): ConcurrencyLimit {
        if (decreasedAt != null && now - decreasedAt < round) return this
        return ConcurrencyLimit((limit * DECREASE).coerceAtLeast(LEAST), now)
    }

    public companion object {
        /** Limit below which a host never goes, so that it keeps measuring. */
        public const val LEAST: Double = 2.0

        private const val DECREASE = 0.85
        private const val PRESSED = 0.8
    }
}

/** Token bucket that holds the requests of one second. */
public data class RateBucket(public val tokens: Double, public val refilledAt: MonotonicTime) {
    /** The bucket at [now] under a limit of [rate] requests a second. */
    public fun refilled(rate: Int, now: MonotonicTime): RateBucket {
        val gained = (now - refilledAt) / 1.seconds * rate
        return RateBucket((tokens + gained).coerceAtMost(rate.toDouble()), now)
    }
}
