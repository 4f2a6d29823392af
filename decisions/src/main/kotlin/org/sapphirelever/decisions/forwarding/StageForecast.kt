/*
 * Estimates how long stage work takes, so that a request whose stages cannot end in time is refused
 * when it arrives and not after it has used targets that others need.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.forwarding.BatchLimits
import org.sapphirelever.core.forwarding.RouteStage

/**
 * Expected waiting time of new pieces of a service.
 *
 * @property waits waiting time by rank of pieces whose request can be on time
 * @property postponedWaits waiting time by rank of pieces whose request cannot; they wait behind
 *   all pieces of their own rank and of more urgent ones
 * @property piecesPerMilli pieces that the targets complete per millisecond, if known
 * @property at time of the estimate
 */
public data class WaitEstimate(
    public val waits: PersistentMap<Int, Duration> = persistentMapOf(),
    public val at: MonotonicTime,
    public val postponedWaits: PersistentMap<Int, Duration> = waits,
    public val piecesPerMilli: Double? = null
) {
    /** Expected waiting time of a piece of [rank]; zero once the estimate is out of date. */
    public fun expectedWait(rank: Int, now: MonotonicTime): Duration {
        if (isOutOfDate(now)) return Duration.ZERO
        val ofRank = waits.filterKeys { it <= rank }.values
        return (ofRank + postponedWaits.filterKeys { it < rank }.values).maxOrNull()
            ?: Duration.ZERO
    }

    /** The same for a piece whose request cannot be on time. */
    public fun expectedPostponedWait(rank: Int, now: MonotonicTime): Duration {
        if (isOutOfDate(now)) return Duration.ZERO
        return postponedWaits.filterKeys { it <= rank }.values.maxOrNull() ?: Duration.ZERO
    }

    internal fun isOutOfDate(now: MonotonicTime): Boolean = now - at > REPORT_AGE
}

/** Reports are sent every 150 ms while there is work; three of them may be lost. */
internal val REPORT_AGE: Duration = 500.milliseconds

/**
 * Expected waiting times of pieces that are added to this queue now. More urgent pieces that arrive
 * meanwhile are expected to take as much of the rate as they did recently.
 */
public fun PieceQueue.waitEstimate(context: PieceContext): WaitEstimate {
    val rate = piecesPerMilli(context)
    val counts = sortedMapOf<Int, Int>()
    val postponed = mutableMapOf<Int, Int>()
    for (piece in waiting) {
        counts.merge(piece.rank, 1, Int::plus)
        if (piece.isPostponed(
                context.limits,
                context.now
            )
        ) {
            postponed.merge(piece.rank, 1, Int::plus)
        }
    }
    fun wait(pieces: Int, rank: Int): Duration {
        val left = rate - urgentPiecesPerMilli(rank, context.now, rate * MAXIMUM_URGENT_SHARE)
        return if (rate > 0) (pieces / left).milliseconds else NO_TARGET_WAIT
    }
    var ahead = 0
    val waits = mutableMapOf<Int, Duration>()
    val postponedWaits = mutableMapOf<Int, Duration>()
    for ((rank, count) in counts) {
        waits[rank] = wait(ahead + count - (postponed[rank] ?: 0), rank)
        ahead += count
        postponedWaits[rank] = wait(ahead, rank)
    }
    return WaitEstimate(
        waits.toPersistentMap(),
        context.now,
        postponedWaits.toPersistentMap(),
        rate
    )
}

/**
 * Pieces that the targets complete per millisecond: the recent rate if pieces were waiting all the
 * time, otherwise the rate that the limits of the service permit.
 */
private fun PieceQueue.piecesPerMilli(context: PieceContext): Double {
    val limits = context.limits
    val slots = context.candidates.healthyOrAll(context.views, context.now).size * limits.slots
    val bytes = waiting.sumOf { it.bytes }.toDouble() / waiting.size.coerceAtLeast(1)
    val fitting = if (bytes > 0) (limits.resultCapacityBytes / bytes).toInt() else limits.batch
    val batch = minOf(limits.batch, fitting).coerceAtLeast(1)
    val permitted = slots * batch / limits.callDuration(batch).toDouble(DurationUnit.MILLISECONDS)
    val measured = recentPiecesPerMilli(context.now) ?: return permitted
    return measured.coerceIn(permitted * MINIMUM_RATE_RATIO, permitted)
}

/** Whether [pieces] pieces take [targets] targets longer than one full call. */
public fun BatchLimits.takesLongerThanCall(pieces: Int, targets: Int): Boolean =
    pieces > targets * slots * batch

/** Pieces per millisecond that [targets] targets complete in full calls. */
public fun BatchLimits.permittedPiecesPerMilli(targets: Int): Double =
    targets * slots * batch / callDuration(batch).toDouble(DurationUnit.MILLISECONDS)

/** Expected duration of a call with this number of [pieces]. */
public fun BatchLimits.callDuration(pieces: Int): Duration = baseCallTime + pieceTime * pieces

/**
 * Expected time until all [stages] have ended. [counts] are the numbers of their pieces, [limits]
 * the batch limits of their services and [backlogs] the time that each service needs for the work
 * ahead of them. The backlog of a later stage shrinks while the earlier stages run.
 */
public fun expectedStageTime(
    stages: List<RouteStage>,
    counts: List<Int>,
    limits: (ServiceName) -> BatchLimits?,
    backlogs: (ServiceName) -> Duration
): Duration {
    val predecessors = stagePredecessors(stages, counts)
    val endTimes = MutableList(stages.size) { Duration.ZERO }
    // Predecessors are computed first, whatever their position in the list.
    for (index in stages.indices.sortedBy { predecessors.depth(it) }) {
        val start = predecessors[index].maxOfOrNull { endTimes[it] } ?: Duration.ZERO
        val count = counts.getOrElse(index) { 0 }
        val service = limits(stages[index].service)
        endTimes[index] = start
        if (count == 0 || service == null) continue
        val backlog = backlogs(stages[index].service)
        val batch = if (backlog.isPositive()) service.batch else minOf(count, service.batch)
        endTimes[index] = maxOf(start, backlog) + service.callDuration(batch)
    }
    return endTimes.maxOrNull() ?: Duration.ZERO
}

/**
 * For each stage, the expected time from its end to the end of all [stages] that follow it. Calls
 * there are assumed to be half filled by other requests, and to start without a wait.
 */
public fun expectedLaterTimes(
    stages: List<RouteStage>,
    counts: List<Int>,
    limits: (ServiceName) -> BatchLimits?
): List<Duration> {
    val predecessors = stagePredecessors(stages, counts)
    val later = MutableList(stages.size) { Duration.ZERO }
    for (index in stages.indices.sortedByDescending { predecessors.depth(it) }) {
        val count = counts.getOrElse(index) { 0 }
        val service = limits(stages[index].service)
        val own =
            if (count == 0 || service == null) {
                Duration.ZERO
            } else {
                service.callDuration((minOf(count, service.batch) + service.batch) / 2)
            }
        predecessors[index].forEach { later[it] = maxOf(later[it], own + later[index]) }
    }
    return later
}

/**
 * Estimated time until the answer to a request begins, against its objective and the time that it
 * has.
 *
 * @property objective time within which the answer is on time
 * @property patience time within which the answer is of use
 * @property idle estimate without other work
 * @property expected estimate with the work that waits or is on its way
 * @property postponed the same if the request starts after all that can be on time
 */
public data class ResponseEstimate(
    public val objective: Duration,
    public val patience: Duration,
    public val idle: Duration,
    public val expected: Duration,
    public val postponed: Duration
) {
    private val bound = maxOf(objective, idle + objective * MINIMUM_SLACK_RATIO)

    /** Whether the request is expected to miss its objective, for work that is ahead of it. */
    public val isLate: Boolean get() = expected > bound

    /** Time until room for the request is expected, or null if it can start now. */
    public fun excess(): Duration? = when {
        expected > patience -> expected - patience
        isLate && postponed > patience * POSTPONED_SHARE -> expected - bound
        else -> null
    }

    private companion object {
        /** Waiting time that is always accepted, as a fraction of the objective. */
        const val MINIMUM_SLACK_RATIO = 0.2

        /**
         * Share of the patience that the work ahead of a postponed request may take, since urgent
         * requests that arrive later still pass it.
         */
        const val POSTPONED_SHARE = 0.5
    }
}

internal fun List<Set<Int>>.depth(index: Int): Int = this[index].maxOfOrNull { depth(it) + 1 } ?: 0

/** Share of the rate that more urgent pieces are assumed to take at most. */
private const val MAXIMUM_URGENT_SHARE = 0.8

/** Minimum fraction of the permitted rate assumed, since a pause of the targets may be over. */
private const val MINIMUM_RATE_RATIO = 0.2

/** Waiting time assumed if no target is left. */
internal val NO_TARGET_WAIT = 10_000.milliseconds
