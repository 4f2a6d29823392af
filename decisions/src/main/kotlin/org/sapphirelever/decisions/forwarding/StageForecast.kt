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
 * @property waits waiting time by rank; a piece waits behind those of its own rank and of more
 *   urgent ones
 * @property at time of the estimate
 */
public data class WaitEstimate(
    public val waits: PersistentMap<Int, Duration> = persistentMapOf(),
    public val at: MonotonicTime
) {
    /** Expected waiting time of a piece of [rank]; zero once the estimate is out of date. */
    public fun expectedWait(rank: Int, now: MonotonicTime): Duration {
        if (now - at > LIFETIME) return Duration.ZERO
        return waits.filterKeys { it <= rank }.values.maxOrNull() ?: Duration.ZERO
    }

    private companion object {
        /** Estimates are reported every 150 ms while there is work; three of them may be lost. */
        val LIFETIME = 500.milliseconds
    }
}

/** Expected waiting times of pieces that are added to this queue now. */
public fun PieceQueue.waitEstimate(context: PieceContext): WaitEstimate {
    val rate = piecesPerMilli(context)
    val counts = waiting.groupingBy { it.rank }.eachCount().toSortedMap()
    var ahead = 0
    val waits =
        counts.mapValues { (_, count) ->
            ahead += count
            if (rate > 0) (ahead / rate).milliseconds else NO_TARGET_WAIT
        }
    return WaitEstimate(waits.toPersistentMap(), context.now)
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

/** Expected duration of a call with this number of [pieces]. */
public fun BatchLimits.callDuration(pieces: Int): Duration = baseCallTime + pieceTime * pieces

/**
 * Expected time until all [stages] have ended. [counts] are the numbers of their pieces, [limits]
 * the batch limits of their services and [waits] the expected waiting times there.
 */
public fun expectedStageTime(
    stages: List<RouteStage>,
    counts: List<Int>,
    limits: (ServiceName) -> BatchLimits?,
    waits: (ServiceName) -> Duration
): Duration {
    val predecessors = stagePredecessors(stages, counts)
    val endTimes = MutableList(stages.size) { Duration.ZERO }
    // Predecessors are computed first, whatever their position in the list.
    val order = stages.indices.sortedBy { predecessors.depth(it) }
    for (index in order) {
        val start = predecessors[index].maxOfOrNull { endTimes[it] } ?: Duration.ZERO
        val count = counts.getOrElse(index) { 0 }
        val service = limits(stages[index].service)
        val work =
            if (count == 0 || service == null) {
                Duration.ZERO
            } else {
                val delay = waits(stages[index].service)
                val batch = if (delay.isPositive()) service.batch else minOf(count, service.batch)
                delay + service.callDuration(batch)
            }
        endTimes[index] = start + work
    }
    return endTimes.maxOrNull() ?: Duration.ZERO
}

private fun List<Set<Int>>.depth(index: Int): Int = this[index].maxOfOrNull { depth(it) + 1 } ?: 0

/**
 * Estimated time until the answer to a request begins, against its objective.
 *
 * @property objective time within which the answer is on time
 * @property idle estimate without other waiting work
 * @property expected estimate with the work that waits now
 */
public data class ResponseEstimate(
    public val objective: Duration,
    public val idle: Duration,
    public val expected: Duration
) {
    /** Time after which the caller should retry, or null if the request can start now. */
    public fun retryAfter(): Duration? {
        val bound = maxOf(objective, idle + objective * MINIMUM_SLACK_RATIO)
        return if (expected <= bound) null else ((expected - bound) * DRAIN_FACTOR).coerceIn(DELAYS)
    }

    private companion object {
        /** Waiting time that is always accepted, as a fraction of the objective. */
        const val MINIMUM_SLACK_RATIO = 0.2

        /** Delay per unit of excess, since new requests keep arriving while the backlog drains. */
        const val DRAIN_FACTOR = 4

        /** After shorter delays the load is the same; longer ones leave callers too little time. */
        val DELAYS = 300.milliseconds..2_000.milliseconds
    }
}

/** Minimum fraction of the permitted rate assumed, since a pause of the targets may be over. */
private const val MINIMUM_RATE_RATIO = 0.2

/** Waiting time assumed if no target is left. */
private val NO_TARGET_WAIT = 10_000.milliseconds
