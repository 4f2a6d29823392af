/*
 * Waiting calls of one service in fair order: by priority with ageing, and within a priority by
 * start-time fair queueing over organisations.
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

/** Calls that may stand for one another's turn: each lane is first in, first out. */
public data class LaneKey(
    public val organisation: OrganisationName,
    public val priority: Priority,
    public val long: Boolean,
    public val started: Boolean
)

/** A waiting call and the virtual time at which its service is due to start. */
public data class QueuedCall(
    public val call: WaitingCall,
    public val enqueuedAt: MonotonicTime,
    public val start: Double
)

/** Calls of one lane by position, from [head] to before [tail]; removed ones leave gaps. */
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
 * Queue of one service.
 *
 * @property finish virtual time at which the last call of each organisation is due to end
 * @property virtualTime start of the call that was taken last
 * @property costs predicted cost of the waiting calls of each organisation
 */
public data class FairQueue(
    public val lanes: PersistentMap<LaneKey, Lane> = persistentMapOf(),
    public val finish: PersistentMap<OrganisationName, Double> = persistentMapOf(),
    public val virtualTime: Double = 0.0,
    public val costs: PersistentMap<OrganisationName, Double> = persistentMapOf(),
    public val size: Int = 0
) {
    public fun sizeOf(organisation: OrganisationName): Int =
        lanes.entries.filter { it.key.organisation == organisation }.sumOf { it.value.calls.size }

    /** The queue with [call] added at [now]. */
    public fun add(call: WaitingCall, now: MonotonicTime): FairQueue {
        val organisation = call.organisation
        val start = start(organisation, call.weight, call.cost)
        val lane = lanes[call.lane] ?: Lane()
        return copy(
            lanes = lanes.put(call.lane, lane.add(QueuedCall(call, now, start))),
            finish = finish.put(organisation, start + call.cost / call.weight),
            costs = costs.put(organisation, (costs[organisation] ?: 0.0) + call.cost),
            size = size + 1
        )
    }

    /**
     * Virtual start of a new call of [organisation]. One that has used less than its share may
     * start up to [BURST] calls early: the arrivals of a small organisation at one host vary by
     * more than its share leaves room for, although its demand is inside the share.
     */
    private fun start(organisation: OrganisationName, weight: Int, cost: Double): Double =
        maxOf(virtualTime - BURST * cost / weight, finish[organisation] ?: 0.0)

    /** Cost of the waiting calls of [organisation] that its share has still to pay for. */
    public fun unpaid(organisation: OrganisationName, weight: Double): Double {
        val queued = costs[organisation] ?: return 0.0
        val behind = ((finish[organisation] ?: 0.0) - virtualTime) * weight
        return behind.coerceIn(0.0, queued)
    }

    /**
     * The next call at [now]; long ones only if [longPermitted]. Age raises a whole priority over
     * the others; among equals the virtual start alone decides. Otherwise the aged calls of an
     * organisation above its share would go before the fresh ones of an organisation inside it.
     */
    public fun next(now: MonotonicTime, longPermitted: Boolean): QueuedCall? = lanes.entries
        .filter { longPermitted || !it.key.long }
        .mapNotNull { it.value.first }
        .groupBy { it.call.priority to it.call.lane.started }
        .values
        .map { equals -> equals.minOf { it.rank(now) } to equals.minWith(BY_START) }
        .minWithOrNull(compareBy<Pair<Int, QueuedCall>> { it.first }.thenBy(BY_START) { it.second })
        ?.second

    /** The queue after [queued] was taken for service. */
    public fun take(queued: QueuedCall): FairQueue =
        remove(queued.call).copy(virtualTime = maxOf(virtualTime, queued.start))

    /** The queue without [call]. */
    public fun remove(call: WaitingCall): FairQueue {
        val lane = lanes[call.lane] ?: return this
        val rest = lane.remove(call.id)
        if (rest === lane) return this
        val organisation = call.organisation
        val cost = ((costs[organisation] ?: 0.0) - call.cost).coerceAtLeast(0.0)
        return copy(
            lanes = if (rest.calls.isEmpty()) {
                lanes.remove(
                    call.lane
                )
            } else {
                lanes.put(call.lane, rest)
            },
            costs = if (cost > 0) costs.put(organisation, cost) else costs.remove(organisation),
            size = size - 1
        )
    }

    public companion object {
        /** Waiting time that raises a call by one priority. */
        public val AGEING: Duration = 250.milliseconds

        /** Calls that an organisation below its share may have served early. */
        public const val BURST: Int = 16

        private val BY_START = compareBy<QueuedCall>({ it.start }, { it.call.id })
    }
}

/** Rank of a waiting call: its priority, raised with age and for requests that have started. */
private fun QueuedCall.rank(now: MonotonicTime): Int {
    val aged = ((now - enqueuedAt) / FairQueue.AGEING).toInt()
    val started = if (call.lane.started) 1 else 0
    return (call.lane.priority.ordinal - aged).coerceAtLeast(0) - started
}
