/*
 * Ejection of stragglers from this host's own overdue calls, without waiting for a report.
 */
package org.sapphirelever.decisions.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.TargetId

/**
 * Rules of ejection.
 *
 * @property overdueFactor multiple of the expected time after which a call is overdue
 * @property shareDivisor at most one in this many targets of a service is ejected
 */
public data class EjectionRules(
    public val overdueFactor: Double = 1.5,
    public val least: Duration = 20.milliseconds,
    public val first: Duration = 1.seconds,
    public val greatest: Duration = 30.seconds,
    public val shareDivisor: Int = 3
) {
    /** How many times longer than expected the most overdue call has run, at least 1. */
    public fun slowdown(statistics: TargetStatistics, now: MonotonicTime): Double =
        statistics.calls.values.maxOfOrNull { it.slowdown(now) }?.coerceAtLeast(1.0) ?: 1.0

    private fun OutstandingCall.slowdown(now: MonotonicTime): Double {
        if (expected <= Duration.ZERO) return 1.0
        return (now - startedAt) / maxOf(expected * depth, least)
    }

    /** The state with overdue targets among [candidates] ejected, as far as the cap permits. */
    public fun ejectOverdue(
        state: RoutingState,
        candidates: List<Target>,
        now: MonotonicTime
    ): RoutingState {
        var room = candidates.size / shareDivisor -
            candidates.count { state.statistics(it.id).ejected }
        if (room <= 0) return state
        var next = state
        for (target in candidates) {
            val statistics = state.statistics(target.id)
            if (room == 0) break
            if (statistics.ejected || slowdown(statistics, now) < overdueFactor) continue
            next = eject(next, target.id, now)
            room--
        }
        return next
    }

    /** The state with [id] ejected for twice as long as the last time. */
    public fun eject(state: RoutingState, id: TargetId, now: MonotonicTime): RoutingState =
        state.updated(id) { statistics ->
            val level = (statistics.ejection?.level ?: 0) + 1
            statistics.copy(ejection = Ejection(now + period(level), level))
        }

    private fun period(level: Int): Duration {
        var period = first
        repeat(level - 1) { period = (period * 2).coerceAtMost(greatest) }
        return period
    }

    /** The state after a call on [id] took [slowdown] times the expected time. */
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
