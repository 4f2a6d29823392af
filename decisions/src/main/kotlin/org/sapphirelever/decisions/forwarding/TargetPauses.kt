/*
 * Pauses that targets ask for when they refuse a request. Until a pause ends, this host sends the
 * target nothing; other hosts are not bound by it. The monotonic clock does not count time in which
 * the host was suspended, so that a pause may last longer but never shorter than asked.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.forwarding.TargetIncarnation

/** A pause that was asked for at [askedAt] and lasts until [end]. */
public data class TargetPause(public val askedAt: MonotonicTime, public val end: MonotonicTime)

/** Pauses of targets, by the incarnation that asked; a restart ends a pause. */
public data class TargetPauses(
    private val pauses: PersistentMap<TargetIncarnation, TargetPause> = persistentMapOf()
) {
    /**
     * Records that [target] asked for a pause of [duration], which is capped so that a mistaken
     * value does not take it away for good. Answers may overtake each other, so the latest end
     * holds.
     */
    public fun asked(
        target: TargetIncarnation,
        duration: Duration,
        now: MonotonicTime
    ): TargetPauses {
        if (!duration.isPositive()) return this
        val asked = TargetPause(now, now + minOf(duration, LONGEST_PAUSE))
        val before = pauses[target]
        if (before != null && before.end >= asked.end) return this
        return TargetPauses(current(now).put(target, asked))
    }

    /** Time until [target] takes requests of this host again. */
    public fun wait(target: TargetIncarnation, now: MonotonicTime): Duration =
        pauses[target]?.let { (it.end - now).coerceAtLeast(Duration.ZERO) } ?: Duration.ZERO

    /** Pauses that have not ended. */
    public fun current(now: MonotonicTime): PersistentMap<TargetIncarnation, TargetPause> =
        if (pauses.values.all { it.end > now }) {
            pauses
        } else {
            pauses.filterValues { it.end > now }.toPersistentMap()
        }

    public companion object {
        /** Longer than targets usually need, and short compared to an absence for good. */
        public val LONGEST_PAUSE: Duration = 5.minutes
    }
}
