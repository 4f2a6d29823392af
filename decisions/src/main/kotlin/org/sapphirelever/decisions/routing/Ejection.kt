/*
 * Outlier detection: ejects slow targets on the evidence of this host's own overdue calls, without
 * waiting for a load report.
 */
package org.sapphirelever.decisions.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.TargetId

/**
 * Thresholds and periods of ejection.
 *
 * @property overdueFactor multiple of the expected time after which a call is overdue
 * @property minimumExpected lower bound of the expected time that calls are compared with
 * @property initialPeriod period of the first ejection; it doubles with each one in a row
 * @property shareDivisor at most one in this many targets of a service is ejected
 */
public data class EjectionRules(
    public val overdueFactor: Double = 1.5,
    public val minimumExpected: Duration = 20.milliseconds,
    public val initialPeriod: Duration = 1.seconds,
    public val maximumPeriod: Duration = 30.seconds,
    public val shareDivisor: Int = 3
) {
    /** Largest ratio of elapsed to expected time among the running calls, at least 1. */
    public fun slowdown(statistics: TargetStatistics, now: MonotonicTime): Double =
        statistics.calls.values.maxOfOrNull { it.slowdown(now) }?.coerceAtLeast(1.0) ?: 1.0

    private fun OutstandingCall.slowdown(now: MonotonicTime): Double {
        if (expected <= Duration.ZERO) return 1.0
        return (now - startedAt) / maxOf(expected * queueDepth, minimumExpected)
    }

    /** Ejects targets among [candidates] that have overdue calls, up to the cap on ejections. */
    public fun ejectOverdue(
        state: RoutingState,
        candidates: List<Target>,
        now: MonotonicTime
    ): RoutingState {
        var ejectionsLeft = candidates.size / shareDivisor -
            candidates.count { state.statistics(it.id).ejected }
        if (ejectionsLeft <= 0) return state
        var next = state
        for (target in candidates) {
            val statistics = state.statistics(target.id)
            if (ejectionsLeft == 0) break
            if (statistics.ejected || slowdown(statistics, now) < overdueFactor) continue
            next = eject(next, target.id, now)
            ejectionsLeft--
        }
        return next
    }

    /** Ejects [id] for twice as long as its previous ejection, up to [maximumPeriod]. */
    public fun eject(state: RoutingState, id: TargetId, now: MonotonicTime): RoutingState =
        state.updated(id) { statistics ->
            val level = (statistics.ejection?.level ?: 0) + 1
            statistics.copy(ejection = Ejection(now + period(level), level))
        }

    private fun period(level: Int): Duration {
        var period = initialPeriod
        repeat(level - 1) { period = (period * 2).coerceAtMost(maximumPeriod) }
        return period
    }

    /**
     * Records that a call on [id] took [slowdown] times the expected time. While a probe is in
     * flight, a slow call ejects the target again, and a fast one ends the ejection.
     */
    public fun onReturn(
        state: RoutingState,
        id: TargetId,
        slowdown: Double,
        now: MonotonicTime
    ): RoutingState {
        val ejection = state.statistics(id).ejection ?: return state
        if (!ejection.probing) return state
        if (slowdown >= overdueFactor) return eject(state, id, now)
        return state.updated(id) { it.copy(ejection = null) }
    }
}
