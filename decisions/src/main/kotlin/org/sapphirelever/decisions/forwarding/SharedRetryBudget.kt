/*
 * This host's share of the budget of extra calls, which all hosts draw on together. Each host
 * spends only what its own requests earn and its part of the fixed allowance, so that the sum
 * stays inside the budget without any exchange between hosts.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.ServiceName

/** Bounds of extra calls in each [window], over all hosts. */
public data class RetryBounds(
    public val ratio: Double,
    public val extra: Int,
    public val window: Duration
)

/** Requests and extra calls of one second. */
public data class SecondCount(public val requests: Int = 0, public val extra: Int = 0)

/** Counts of the last window, by service and second. */
public data class SharedRetryBudget(
    public val bounds: RetryBounds,
    public val counts: PersistentMap<ServiceName, PersistentMap<Long, SecondCount>> =
        persistentMapOf()
) {
    /** Whether one more extra call to [service] stays inside the share of one of [hosts]. */
    public fun permits(service: ServiceName, hosts: Int, now: MonotonicTime): Boolean {
        val recent = recent(service, now)
        val earned = bounds.ratio * recent.values.sumOf { it.requests }
        val allowance = bounds.extra.toDouble() / hosts.coerceAtLeast(MINIMUM_HOSTS)
        return recent.values.sumOf { it.extra } + 1 <= SAFETY * (earned + allowance)
    }

    /** Counts [calls] to [service], of which the extra ones repeat an earlier one. */
    public fun counted(
        service: ServiceName,
        now: MonotonicTime,
        requests: Int = 0,
        extra: Int = 0
    ): SharedRetryBudget {
        val second = secondOf(now)
        val recent = recent(service, now)
        val count = recent[second] ?: SecondCount()
        val changed = SecondCount(count.requests + requests, count.extra + extra)
        return copy(counts = counts.put(service, recent.put(second, changed)))
    }

    private fun recent(service: ServiceName, now: MonotonicTime): PersistentMap<Long, SecondCount> {
        val known = counts[service] ?: return persistentMapOf()
        val oldest = secondOf(now - bounds.window)
        return known.filterKeys { it >= oldest }.toPersistentMap()
    }

    private fun secondOf(time: MonotonicTime): Long = (time - MonotonicTime.ZERO).inWholeSeconds

    private companion object {
        /** Part of the share that is used; the rest covers hosts that are not yet known. */
        const val SAFETY = 0.7

        /** Hosts assumed at least, since a host that has just started knows of no other. */
        const val MINIMUM_HOSTS = 6
    }
}
