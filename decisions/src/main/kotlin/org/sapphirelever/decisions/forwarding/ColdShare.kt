/*
 * Shares of the hosts in the requests that a cold target takes. Its rate holds for all hosts
 * together, also for those that cannot reach the store, and a target above it crashes.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.sapphirelever.core.HostId
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.forwarding.ColdTolerance
import org.sapphirelever.core.forwarding.HostAnnouncement
import org.sapphirelever.core.forwarding.WarmUp

/**
 * Share of the host at [place] in the requests of a cold target, in requests a second. The sharing
 * hosts may all send a request at once besides their rates. Both together are half of what the
 * target bears, so that hosts that know different hosts do not exceed it.
 */
public fun coldShareOf(warmUp: WarmUp, tolerance: ColdTolerance, place: SharePlace): Double {
    val bound = warmUp.requestsPerSecond * maxOf(tolerance.overshoot, 1.0) +
        maxOf(tolerance.slack, 0.0)
    val part = bound * USED_RATIO / 2
    val sharing = part.toInt().coerceIn(1, place.hosts.coerceAtLeast(1))
    if (place.place !in 0 until sharing) return 0.0
    return minOf(part, warmUp.requestsPerSecond) / sharing
}

/** A host that left the list at [at], with its last announcement. */
public data class DepartedHost(
    public val announcement: HostAnnouncement,
    public val at: MonotonicTime
)

/**
 * Hosts that may send requests to cold targets. The list shrinks late: if announcements lapse for
 * a moment, each host would otherwise take a greater share at once.
 *
 * @property startedAt start of this host, which may not know all others soon after
 */
public data class SharingHosts(
    private val startedAt: MonotonicTime,
    private val announced: PersistentMap<HostId, HostAnnouncement> = persistentMapOf(),
    private val departed: PersistentMap<HostId, DepartedHost> = persistentMapOf()
) {
    /** Whether this host has had the time to learn of the others. */
    public fun isComplete(now: MonotonicTime): Boolean = now - startedAt >= RETENTION

    /** Announced hosts, and those that were announced until recently. */
    public fun current(now: MonotonicTime): Map<HostId, HostAnnouncement> {
        val recent = departed.recent(now)
        if (recent.isEmpty()) return announced
        return recent.mapValues { it.value.announcement } + announced
    }

    /** Follows a change of the announced hosts to [hosts]. */
    public fun announced(
        hosts: PersistentMap<HostId, HostAnnouncement>,
        now: MonotonicTime
    ): SharingHosts {
        val left = announced.filterKeys { it !in hosts }.mapValues { DepartedHost(it.value, now) }
        val remaining = departed.recent(now).filterKeys { it !in hosts }
        return copy(announced = hosts, departed = (remaining + left).toPersistentMap())
    }

    private fun Map<HostId, DepartedHost>.recent(now: MonotonicTime): Map<HostId, DepartedHost> =
        filterValues { now - it.at < RETENTION }

    private companion object {
        /** Longer than the lifetime of an announcement and its renewal after an outage. */
        val RETENTION = 10.seconds
    }
}

/** Part of what a cold target bears that hosts which agree about each other use. */
private const val USED_RATIO = 0.5
