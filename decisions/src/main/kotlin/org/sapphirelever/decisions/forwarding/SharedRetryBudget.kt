/*
 * This host's share of the retry budget, which limits the retries of all hosts together. Each host
 * spends only what its own requests earn and its part of the fixed allowance, so that the sum
 * stays within the budget without communication between hosts.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.ServiceName

/** Retries that all hosts may make per [window]: [ratio] per request, and a fixed [allowance]. */
public data class RetryBounds(
    public val ratio: Double,
    public val allowance: Int,
    public val window: Duration
)

/** Requests and retries of one second. */
public data class SecondCount(public val requests: Int = 0, public val retries: Int = 0)

/** Requests and retries of the last window, by service and second. */
public data class SharedRetryBudget(
    public val bounds: RetryBounds,
    public val counts: PersistentMap<ServiceName, PersistentMap<Long, SecondCount>> =
        persistentMapOf()
) {
    /** Whether this host may retry a call to [service], if [hosts] hosts share the budget. */
    public fun permits(service: ServiceName, hosts: Int, now: MonotonicTime): Boolean {
        val recent = recent(service, now)
        val earned = bounds.ratio * recent.values.sumOf { it.requests }
        val allowance = bounds.allowance.toDouble() / hosts.coerceAtLeast(MINIMUM_HOSTS)
        return recent.values.sumOf { it.retries } + 1 <= USABLE_RATIO * (earned + allowance)
    }

    /** Adds requests and retries to the counts of [service]. */
    public fun counted(
        service: ServiceName,
        now: MonotonicTime,
        requests: Int = 0,
        retries: Int = 0
    ): SharedRetryBudget {
        val second = secondOf(now)
        val recent = recent(service, now)
        val count = recent[second] ?: SecondCount()
        val changed = SecondCount(count.requests + requests, count.retries + retries)
        return copy(counts = counts.put(service, recent.put(second, changed)))
    }

    private fun recent(service: ServiceName, now: MonotonicTime): PersistentMap<Long, SecondCount> {
        val known = counts[service] ?: return persistentMapOf()
        val oldest = secondOf(now - bounds.window)
        return known.filterKeys { it >= oldest }.toPersistentMap()
    }

    private fun secondOf(time: MonotonicTime): Long = (time - MonotonicTime.ZERO).inWholeSeconds

    private companion object {
        /** Fraction of the share that is used; the rest covers hosts that are not yet known. */
        const val USABLE_RATIO = 0.7

        /** Minimum number of hosts assumed, since a newly started host knows of no other. */
        const val MINIMUM_HOSTS = 6
    }
}
