/*
 * Measurements that this host keeps of each target, and the events that change them.
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
 * @property expected predicted 95th percentile of the time of the call without queueing
 * @property queueDepth calls per slot of the target when the call started, itself included, at
 *   least 1
 */
public data class OutstandingCall(
    public val startedAt: MonotonicTime,
    public val expected: Duration,
    public val long: Boolean,
    public val queueDepth: Double
)

/**
 * Load that a target reported.
 *
 * @property ownCalls calls of this host that ran on the target when the report arrived
 */
public data class LoadReport(
    public val running: Int,
    public val queued: Int,
    public val slots: Int,
    public val measuredAt: MonotonicTime,
    public val ownCalls: Int = 0
)

/**
 * Period without new calls to a slow or failed target. When it is over, the target receives one
 * probe, whose success ends the ejection.
 *
 * @property level number of ejections in a row, each of which doubles the period
 * @property probing whether the probe is in flight
 */
public data class Ejection(
    public val until: MonotonicTime,
    public val level: Int,
    public val probing: Boolean = false
)

/**
 * Measurements of one target.
 *
 * @property serviceTime measured time of short calls, divided by their queue depth
 * @property prefixes input prefixes that the target is believed to cache, with their last use
 */
public data class TargetStatistics(
    public val calls: PersistentMap<Long, OutstandingCall> = persistentMapOf(),
    public val serviceTime: TimeEstimate = TimeEstimate(),
    public val report: LoadReport? = null,
    public val ejection: Ejection? = null,
    public val prefixes: PersistentMap<String, MonotonicTime> = persistentMapOf()
) {
    /** Whether the target may receive only a probe. */
    public val ejected: Boolean get() = ejection != null

    /** Whether the target may receive a probe at [now]. */
    public fun probeDue(now: MonotonicTime): Boolean =
        ejection != null && !ejection.probing && now >= ejection.until && calls.isEmpty()

    public fun withPrefix(prefix: String, now: MonotonicTime): TargetStatistics {
        if (prefix.isEmpty()) return this
        val next = prefixes.put(prefix, now)
        if (next.size <= MAXIMUM_PREFIXES) return copy(prefixes = next)
        val kept = next.entries.sortedByDescending { it.value }.take(MAXIMUM_PREFIXES / 2)
        return copy(prefixes = kept.associate { it.key to it.value }.toPersistentMap())
    }

    public companion object {
        public val NONE: TargetStatistics = TargetStatistics()

        /** Maximum of prefixes kept for one target; the older half is evicted beyond it. */
        public const val MAXIMUM_PREFIXES: Int = 1024
    }
}

/** The state with [change] applied to the statistics of [id]. */
public fun RoutingState.updated(
    id: TargetId,
    change: (TargetStatistics) -> TargetStatistics
): RoutingState = copy(statistics = statistics.put(id, change(statistics(id))))

/** Records that [target] published that it cached or evicted [prefix]. */
public fun RoutingState.onCacheEvent(
    target: TargetId,
    prefix: String,
    cached: Boolean,
    now: MonotonicTime
): RoutingState = updated(target) {
    if (cached) it.withPrefix(prefix, now) else it.copy(prefixes = it.prefixes.remove(prefix))
}

/** Clears the prefixes of [target], which are unknown after missed cache events. */
public fun RoutingState.onCacheGap(target: TargetId): RoutingState =
    updated(target) { it.copy(prefixes = persistentMapOf()) }
