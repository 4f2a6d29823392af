/*
 * Times at which refused callers come back, spread over the time at which room is expected.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.sapphirelever.core.MonotonicTime

/**
 * A caller that is refused.
 *
 * @property excess time until room for it is expected
 * @property work time that the busiest service needs for it, of the share of this host
 * @property latest longest time that the caller would wait
 */
public data class RefusedCaller(
    public val rank: Int,
    public val excess: Duration,
    public val work: Duration,
    public val latest: Duration
)

/**
 * Room of a service that is promised to refused callers.
 *
 * @property promisedUntil end of the room promised, by rank
 */
public data class ReturnLine(
    public val promisedUntil: PersistentMap<Int, MonotonicTime> = persistentMapOf()
) {
    /** Time after which [caller] should return, and the line with its place. */
    public fun promise(caller: RefusedCaller, now: MonotonicTime): Pair<ReturnLine, Duration> {
        val room = now + caller.excess.coerceAtLeast(MINIMUM_DELAY)
        val ahead = promisedUntil.filterKeys { it <= caller.rank }.values
        val place = (ahead + room).max()
        val delay = (place - now).coerceAtMost(caller.latest)
        val current = promisedUntil.filterValues { it > now }.toPersistentMap()
        return ReturnLine(current.put(caller.rank, now + delay + caller.work)) to delay
    }

    private companion object {
        /** After a shorter time the load is the same. */
        val MINIMUM_DELAY = 300.milliseconds
    }
}
