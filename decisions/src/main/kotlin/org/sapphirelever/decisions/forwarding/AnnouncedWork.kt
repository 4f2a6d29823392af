/*
 * Work of admitted requests that is on its way to services of later stages.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.ServiceName

/**
 * Pieces that will reach other services, as one host reported them.
 *
 * @property pieces number of pieces by service and rank
 * @property at time of the report
 */
public data class AnnouncedWork(
    public val pieces: PersistentMap<ServiceName, PersistentMap<Int, Int>> = persistentMapOf(),
    public val at: MonotonicTime
) {
    /** Pieces for [service] of [rank] and of more urgent ranks; none once out of date. */
    public fun piecesAhead(service: ServiceName, rank: Int, now: MonotonicTime): Int {
        if (now - at > REPORT_AGE) return 0
        return pieces[service]?.filterKeys { it <= rank }?.values?.sum() ?: 0
    }
}

/** Adds [count] pieces of [rank] for [service]; a negative count withdraws them. */
public fun AnnouncedWork.adjusted(service: ServiceName, rank: Int, count: Int): AnnouncedWork {
    val ofService = pieces[service] ?: persistentMapOf()
    val sum = (ofService[rank] ?: 0) + count
    val changed = if (sum > 0) ofService.put(rank, sum) else ofService.remove(rank)
    return copy(
        pieces = if (changed.isEmpty()) pieces.remove(service) else pieces.put(service, changed)
    )
}

/**
 * What is known of the work ahead of a new piece of [service].
 *
 * @property estimate waits that the assigned host reported last
 * @property announced reports of all hosts on work that is on its way
 * @property permittedPiecesPerMilli rate of the service if none was reported
 */
public data class ServiceBacklog(
    public val service: ServiceName,
    public val estimate: WaitEstimate?,
    public val announced: Collection<AnnouncedWork>,
    public val permittedPiecesPerMilli: Double
) {
    /** Time until a piece of [rank] whose request can be on time is next. */
    public fun expected(rank: Int, now: MonotonicTime): Duration =
        (estimate?.expectedWait(rank, now) ?: Duration.ZERO) + announcedTime(rank, now)

    /** The same for a piece whose request cannot be on time. */
    public fun postponed(rank: Int, now: MonotonicTime): Duration =
        (estimate?.expectedPostponedWait(rank, now) ?: Duration.ZERO) + announcedTime(rank, now)

    private fun announcedTime(rank: Int, now: MonotonicTime): Duration {
        val pieces = announced.sumOf { it.piecesAhead(service, rank, now) }
        if (pieces == 0) return Duration.ZERO
        val rate = piecesPerMilli(now)
        return if (rate > 0) (pieces / rate).milliseconds else NO_TARGET_WAIT
    }

    /** Pieces that the service completes per millisecond. */
    public fun piecesPerMilli(now: MonotonicTime): Double =
        estimate?.takeUnless { it.isOutOfDate(now) }?.piecesPerMilli ?: permittedPiecesPerMilli
}
