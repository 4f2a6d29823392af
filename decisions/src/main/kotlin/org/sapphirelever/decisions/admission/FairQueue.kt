/*
 * Queue of the waiting calls of one service, ordered by priority with ageing, and within a priority
 * by start-time fair queueing over organisations.
 */
package org.sapphirelever.decisions.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentMapOf
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.OrganisationName
import org.sapphirelever.core.Priority

/**
 * Identifies a first-in, first-out lane of calls that the queue treats alike.
 *
 * @property started whether the request has already made a call
 */
public data class LaneKey(
    public val organisation: OrganisationName,
    public val priority: Priority,
    public val long: Boolean,
    public val started: Boolean
)

/** A waiting call and its start tag, the virtual time at which it is due to start. */
public data class QueuedCall(
    public val call: WaitingCall,
    public val enqueuedAt: MonotonicTime,
    public val virtualStart: Double
)

/** Calls of one lane by position from [head] until [tail]; removed calls leave gaps. */
public data class Lane(
    public val calls: PersistentMap<Long, QueuedCall> = persistentHashMapOf(),
    public val head: Long = 0,
    public val tail: Long = 0
) {
    public val first: QueuedCall? get() = calls[head]

    public fun add(call: QueuedCall): Lane = Lane(calls.put(tail, call), head, tail + 1)

    public fun remove(id: Long): Lane {
        val position = if (first?.call?.id == id) {
            head
        } else {
            calls.entries.firstOrNull { it.value.call.id == id }?.key ?: return this
        }
        val rest = calls.remove(position)
        var next = head
        while (next < tail && next !in rest) next++
        return Lane(rest, next, tail)
    }
}

/**
 * Fair queue of one service.
 *
 * @property virtualFinish finish tag of the last call of each organisation: the virtual time at
 *   which it is due to end
 * @property virtualTime greatest start tag of the calls taken so far
 * @property costs predicted cost of the waiting calls of each organisation
 */
public data class FairQueue(
    public val lanes: PersistentMap<LaneKey, Lane> = persistentMapOf(),
    public val virtualFinish: PersistentMap<OrganisationName, Double> = persistentMapOf(),
    public val virtualTime: Double = 0.0,
    public val costs: PersistentMap<OrganisationName, Double> = persistentMapOf(),
    public val size: Int = 0
) {
    public fun sizeOf(organisation: OrganisationName): Int =
        lanes.entries.filter { it.key.organisation == organisation }.sumOf { it.value.calls.size }

    /** The queue with [call] added at [now]. */
    public fun add(call: WaitingCall, now: MonotonicTime): FairQueue {
        val organisation = call.organisation
        val virtualStart = virtualStart(organisation, call.weight, call.cost)
        val lane = lanes[call.lane] ?: Lane()
        return copy(
            lanes = lanes.put(call.lane, lane.add(QueuedCall(call, now, virtualStart))),
            virtualFinish = virtualFinish.put(organisation, virtualStart + call.cost / call.weight),
            costs = costs.put(organisation, (costs[organisation] ?: 0.0) + call.cost),
            size = size + 1
        )
    }

    /**
     * Start tag of a new call of [organisation]. An organisation that has used less than its share
     * may start up to [BURST_CALLS] calls early: the arrivals of a small organisation at one host
     * fluctuate by more than its share, even if its average demand is within the share.
     */
    private fun virtualStart(organisation: OrganisationName, weight: Int, cost: Double): Double =
        maxOf(virtualTime - BURST_CALLS * cost / weight, virtualFinish[organisation] ?: 0.0)

    /** Cost of the waiting calls of [organisation] beyond its unused burst allowance. */
    public fun costBeyondBurst(organisation: OrganisationName, weight: Double): Double {
        val queued = costs[organisation] ?: return 0.0
        val charged = ((virtualFinish[organisation] ?: 0.0) - virtualTime) * weight
        return charged.coerceIn(0.0, queued)
    }

    /**
     * The next call at [now]; long calls only if [longPermitted]. The oldest call of a priority
     * determines the rank of the whole priority; within it, only the start tag decides. Otherwise
     * aged calls of an organisation above its share would go before new calls of one within it.
     */
    public fun next(now: MonotonicTime, longPermitted: Boolean): QueuedCall? = lanes.entries
        .filter { longPermitted || !it.key.long }
        .mapNotNull { it.value.first }
        .groupBy { it.call.priority to it.call.lane.started }
        .values
        .map { group -> group.minOf { it.rank(now) } to group.minWith(BY_START) }
        .minWithOrNull(compareBy<Pair<Int, QueuedCall>> { it.first }.thenBy(BY_START) { it.second })
        ?.second

    /** The queue after [queued] was removed in order to run. */
    public fun take(queued: QueuedCall): FairQueue =
        remove(queued.call).copy(virtualTime = maxOf(virtualTime, queued.virtualStart))

    /** The queue without [call], which has not run. */
    public fun remove(call: WaitingCall): FairQueue {
        val lane = lanes[call.lane] ?: return this
        val rest = lane.remove(call.id)
        if (rest === lane) return this
        val organisation = call.organisation
        val cost = ((costs[organisation] ?: 0.0) - call.cost).coerceAtLeast(0.0)
        return copy(
            lanes = if (rest.calls.isEmpty()) {
                lanes.remove(call.lane)
            } else {
                lanes.put(call.lane, rest)
            },
            costs = if (cost > 0) costs.put(organisation, cost) else costs.remove(organisation),
            size = size - 1
        )
    }

    public companion object {
        /** Waiting time after which the rank of a call rises by one priority. */
        public val AGEING_PERIOD: Duration = 250.milliseconds

        /** Calls that an organisation below its share may run ahead of its share. */
        public const val BURST_CALLS: Int = 16

        private val BY_START = compareBy<QueuedCall>({ it.virtualStart }, { it.call.id })
    }
}

/** Rank of a waiting call, lowest first: its priority, raised by age and for started requests. */
private fun QueuedCall.rank(now: MonotonicTime): Int {
    val priorityBoost = ((now - enqueuedAt) / FairQueue.AGEING_PERIOD).toInt()
    val started = if (call.lane.started) 1 else 0
    return (call.lane.priority.ordinal - priorityBoost).coerceAtLeast(0) - started
}
