/*
 * How long stage work is expected to take, so that a request whose stages cannot end in time is
 * refused when it arrives and not after it has used targets that others need.
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
 * Time that new pieces of a service are expected to wait.
 *
 * @property waits waiting time by rank; a piece waits behind those of its rank and of lower ones
 * @property at when it was computed
 */
public data class ServiceOutlook(
    public val waits: PersistentMap<Int, Duration> = persistentMapOf(),
    public val at: MonotonicTime
) {
    /** Expected waiting time of a piece of [rank]; none once the outlook is out of date. */
    public fun wait(rank: Int, now: MonotonicTime): Duration {
        if (now - at > LIFETIME) return Duration.ZERO
        return waits.filterKeys { it <= rank }.values.maxOrNull() ?: Duration.ZERO
    }

    private companion object {
        /** Outlooks are reported every 150 ms while there is work; three of them may be lost. */
        val LIFETIME = 500.milliseconds
    }
}

/** Expected waiting times of pieces that are added to this queue now. */
public fun PieceQueue.outlook(context: PieceContext): ServiceOutlook {
    val rate = piecesPerMilli(context)
    val counts = waiting.groupingBy { it.rank }.eachCount().toSortedMap()
    var ahead = 0
    val waits =
        counts.mapValues { (_, count) ->
            ahead += count
            if (rate > 0) (ahead / rate).milliseconds else UNSERVED
        }
    return ServiceOutlook(waits.toPersistentMap(), context.now)
}

/**
 * Pieces that the targets make in a millisecond: what they made lately, if pieces were waiting all
 * the while, and otherwise what the limits of the service permit.
 */
private fun PieceQueue.piecesPerMilli(context: PieceContext): Double {
    val limits = context.limits
    val targets = context.candidates.soundOrAll(context.views, context.now).size * limits.slots
    val bytes = waiting.sumOf { it.bytes }.toDouble() / waiting.size.coerceAtLeast(1)
    val room = if (bytes > 0) (limits.resultCapacityBytes / bytes).toInt() else limits.batch
    val batch = minOf(limits.batch, room).coerceAtLeast(1)
    val permitted = targets * batch / limits.callDuration(batch).toDouble(DurationUnit.MILLISECONDS)
    val measured = recentRate(context.now) ?: return permitted
    return measured.coerceIn(permitted * LEAST_PART, permitted)
}

/** Time of a call with [pieces]. */
public fun BatchLimits.callDuration(pieces: Int): Duration = baseCallTime + pieceTime * pieces

/**
 * Expected time until all of [stages] with these [counts] have ended. [limits] are those of their
 * services and [waits] the waiting times there.
 */
public fun expectedStageTime(
    stages: List<RouteStage>,
    counts: List<Int>,
    limits: (ServiceName) -> BatchLimits?,
    waits: (ServiceName) -> Duration
): Duration {
    val earlier = stagePredecessors(stages, counts)
    val ends = MutableList(stages.size) { Duration.ZERO }
    // A stage comes after all of those that are before it in time, whatever their position.
    val order = stages.indices.sortedBy { earlier.depth(it) }
    for (index in order) {
        val begin = earlier[index].maxOfOrNull { ends[it] } ?: Duration.ZERO
        val count = counts.getOrElse(index) { 0 }
        val service = limits(stages[index].service)
        val work =
            if (count == 0 || service == null) {
                Duration.ZERO
            } else {
                val wait = waits(stages[index].service)
                val share = if (wait.isPositive()) service.batch else minOf(count, service.batch)
                wait + service.callDuration(share)
            }
        ends[index] = begin + work
    }
    return ends.maxOrNull() ?: Duration.ZERO
}

private fun List<Set<Int>>.depth(index: Int): Int = this[index].maxOfOrNull { depth(it) + 1 } ?: 0

/**
 * Whether a request is worth starting.
 *
 * @property objective time within which its answer is on time
 * @property idle expected time until its answer begins if nothing else waited
 * @property expected the same with what waits now
 */
public data class StartTerms(
    public val objective: Duration,
    public val idle: Duration,
    public val expected: Duration
) {
    /** Time after which the request can start with success, or null if it can start now. */
    public fun pauseBeforeStart(): Duration? {
        val bound = maxOf(objective, idle + objective * LEAST_SLACK)
        return if (expected <= bound) null else ((expected - bound) * DRAIN_FACTOR).coerceIn(PAUSES)
    }

    private companion object {
        /** Waiting that is accepted at least, as a part of the objective. */
        const val LEAST_SLACK = 0.2

        /** New requests keep arriving while the excess is worked off. */
        const val DRAIN_FACTOR = 4

        /** Shorter pauses find the same load; longer ones leave callers too little time. */
        val PAUSES = 300.milliseconds..2_000.milliseconds
    }
}

/** Expected time from the end of the stages until an engine makes the first token. */
public fun expectedFirstToken(promptTokens: Int): Duration =
    FIRST_TOKEN + (promptTokens / PREFILL_TOKENS_PER_MILLI).milliseconds

/** Time of a first token besides reading the prompt, at an engine that runs other requests. */
private val FIRST_TOKEN = 150.milliseconds

/** Part of the permitted rate that is assumed at least, since a pause may be over. */
private const val LEAST_PART = 0.2

/** Waiting time when no target is left. */
private val UNSERVED = 10_000.milliseconds
