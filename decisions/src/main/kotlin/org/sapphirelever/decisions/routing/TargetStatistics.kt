/*
 * What this host has measured of one target, and the events that change it.
 */
package org.sapphirelever.decisions.routing

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.TargetId
import org.sapphirelever.decisions.prediction.TimeEstimate

/**
 * A call of this host that has not returned.
 *
 * @property expected time by which 95 in 100 such calls return
 * @property depth calls ahead of it on the target for each slot, at least 1
 */
public data class OutstandingCall(
    public val startedAt: MonotonicTime,
    public val expected: Duration,
    public val long: Boolean,
    public val depth: Double
)

/**
 * Load that a target reported.
 *
 * @property own calls of this host that ran there when the report arrived
 */
public data class LoadReport(
    public val running: Int,
    public val queued: Int,
    public val slots: Int,
    public val measuredAt: MonotonicTime,
    public val own: Int = 0
)

/**
 * Period without new work; it ends with the success of a probe.
 *
 * @property level ejections in a row, each of which doubles the period
 * @property probing whether the one request that follows the period is under way
 */
public data class Ejection(
    public val until: MonotonicTime,
    public val level: Int,
    public val probing: Boolean = false
)

/**
 * Measurements of one target.
 *
 * @property time time of short calls, divided by the depth of the queue they met
 * @property prefixes prefixes that the target is believed to hold, with the time of the last use
 */
public data class TargetStatistics(
    public val calls: PersistentMap<Long, OutstandingCall> = persistentMapOf(),
    public val time: TimeEstimate = TimeEstimate(),
    public val report: LoadReport? = null,
    public val ejection: Ejection? = null,
    public val prefixes: PersistentMap<String, MonotonicTime> = persistentMapOf()
) {
    /** Whether the target takes no new work but a probe. */
    public val ejected: Boolean get() = ejection != null

    /** Whether the target may take one request at [now] as a probe. */
    public fun probeDue(now: MonotonicTime): Boolean =
        ejection != null && !ejection.probing && now >= ejection.until && calls.isEmpty()

    public fun withPrefix(prefix: String, now: MonotonicTime): TargetStatistics {
        if (prefix.isEmpty()) return this
        val next = prefixes.put(prefix, now)
        if (next.size <= PREFIXES) return copy(prefixes = next)
        val kept = next.entries.sortedByDescending { it.value }.take(PREFIXES / 2)
        return copy(prefixes = kept.associate { it.key to it.value }.toPersistentMap())
    }

    public companion object {
        public val NONE: TargetStatistics = TargetStatistics()

        /** Prefixes remembered for one target; the older half is dropped beyond it. */
        public const val PREFIXES: Int = 1024
    }
}

/** The state with the statistics of [id] replaced by [change] of them. */
public fun RoutingState.updated(
    id: TargetId,
    change: (TargetStatistics) -> TargetStatistics
): RoutingState = copy(statistics = statistics.put(id, change(statistics(id))))

/** The state after [target] published that it holds [prefix], or dropped it. */
public fun RoutingState.onCacheEvent(
    target: TargetId,
    prefix: String,
    cached: Boolean,
    now: MonotonicTime
): RoutingState = updated(target) {
    if (cached) it.withPrefix(prefix, now) else it.copy(prefixes = it.prefixes.remove(prefix))
}

/** The state after events of [target] were missed: what it holds is no longer known. */
public fun RoutingState.onCacheGap(target: TargetId): RoutingState =
    updated(target) { it.copy(prefixes = persistentMapOf()) }
