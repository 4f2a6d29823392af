/*
 * Queue of stage work. Pieces of several requests share a call, up to the size of a batch; the
 * more targets are busy, the larger the batches.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.BatchLimits
import org.sapphirelever.core.forwarding.TargetRecord
import org.sapphirelever.decisions.Decision

/**
 * One piece of stage work that waits for a call.
 *
 * @property number identity of the waiting piece, unique in this process
 * @property deadline time after which the result is of no use
 * @property softDeadline time until which the answer to the request is on time
 * @property excluded target that failed to execute the piece before
 * @property bytes approximate size of the result
 * @property origin data centre of the request, which probably fetches the result
 * @property inputs size of the results that it takes, by the data centre that holds them
 * @property localUntil time until which it waits for a target in the data centre of its inputs
 * @property laterWork time that later stages and the engine need after its call
 */
public data class WaitingPiece(
    public val number: Long,
    public val request: String,
    public val rank: Int,
    public val deadline: MonotonicTime,
    public val softDeadline: MonotonicTime = deadline,
    public val excluded: TargetId? = null,
    public val bytes: Long = 0,
    public val origin: DataCentre? = null,
    public val inputs: PersistentMap<DataCentre, Long> = persistentMapOf(),
    public val localUntil: MonotonicTime? = null,
    public val laterWork: Duration = Duration.ZERO
) {
    /** Time until which the call of the piece must end for the response to be on time. */
    public val latestEnd: MonotonicTime get() = softDeadline - laterWork

    /**
     * Whether its request has not begun and misses its objective. Such a request occupies no
     * capacity yet, so that it can wait until all that can be on time has started.
     */
    public fun isPostponed(limits: BatchLimits, now: MonotonicTime): Boolean =
        inputs.isEmpty() && latestEnd < now + limits.callDuration(1)

    /** Whether more than half of the input bytes are outside [dataCentre]. */
    internal fun isRemote(dataCentre: DataCentre): Boolean =
        (inputs[dataCentre] ?: 0) * 2 < inputs.values.sum()

    /** Whether it still waits for a local target instead of one in [dataCentre]. */
    internal fun waitsForLocalTarget(dataCentre: DataCentre, now: MonotonicTime): Boolean =
        localUntil != null && now < localUntil && isRemote(dataCentre)

    /** Bytes transferred between data centres if the piece is executed in [dataCentre]. */
    internal fun remoteBytes(dataCentre: DataCentre): Long {
        val fetched = inputs.entries.sumOf { if (it.key == dataCentre) 0 else it.value }
        return fetched + if (origin == dataCentre) 0 else bytes
    }
}

/** A call to [target] with the pieces of these [numbers], whose results take [bytes]. */
public data class StageCall(
    public val target: TargetRecord,
    public val numbers: PersistentList<Long>,
    public val bytes: Long = 0
)

/** Inputs of queue decisions; [hosts] is the number of hosts that call these targets. */
public data class PieceContext(
    public val service: ServiceName,
    public val limits: BatchLimits,
    public val candidates: List<TargetRecord>,
    public val views: Map<TargetId, TargetView>,
    public val hosts: Int,
    public val host: String,
    public val now: MonotonicTime
)

/** End of a call that completed [count] pieces, [ranks] of which had each rank. */
public data class CompletedPieces(
    public val at: MonotonicTime,
    public val count: Int,
    public val ranks: PersistentMap<Int, Int> = persistentMapOf()
)

/**
 * Waiting pieces and calls of one service.
 *
 * @property inFlight number of calls in flight, by target
 * @property reservedBytes size of the results that targets hold or are producing, by target
 * @property completed pieces of recently ended calls
 * @property waitingSince time since which the queue has not been empty
 * @property fullUntil end of the cooldown of targets that had no capacity although this queue
 *   counted some, because they still hold results of calls from another host
 */
public data class PieceQueue(
    public val waiting: PersistentList<WaitingPiece> = persistentListOf(),
    public val inFlight: PersistentMap<TargetId, Int> = persistentMapOf(),
    public val reservedBytes: PersistentMap<TargetId, Long> = persistentMapOf(),
    public val completed: PersistentList<CompletedPieces> = persistentListOf(),
    public val waitingSince: MonotonicTime? = null,
    public val fullUntil: PersistentMap<TargetId, MonotonicTime> = persistentMapOf()
) {
    internal fun isFull(target: TargetId, now: MonotonicTime): Boolean =
        fullUntil[target]?.let { now < it } == true

    /** Pieces completed per millisecond, or null if the queue was not busy for long enough. */
    internal fun recentPiecesPerMilli(now: MonotonicTime): Double? {
        val since = waitingSince ?: return null
        if (now - since < RATE_WINDOW) return null
        val recent = completed.filter { now - it.at < RATE_WINDOW }.sumOf { it.count }
        return recent / RATE_WINDOW.toDouble(DurationUnit.MILLISECONDS)
    }

    /** Pieces more urgent than [rank] completed per millisecond, at most [maximum]. */
    internal fun urgentPiecesPerMilli(rank: Int, now: MonotonicTime, maximum: Double): Double {
        val urgent =
            completed
                .filter { now - it.at < RATE_WINDOW }
                .sumOf { call -> call.ranks.filterKeys { it < rank }.values.sum() }
        return (urgent / RATE_WINDOW.toDouble(DurationUnit.MILLISECONDS)).coerceAtMost(maximum)
    }

    internal fun withWaitingSince(now: MonotonicTime): PieceQueue = when {
        waiting.isEmpty() -> if (waitingSince == null) this else copy(waitingSince = null)
        else -> if (waitingSince == null) copy(waitingSince = now) else this
    }
}

/** Adds [pieces] and starts as many calls as permitted. */
public fun PieceQueue.add(
    pieces: List<WaitingPiece>,
    context: PieceContext
): Decision<PieceQueue, StageCall> = copy(waiting = waiting.addAll(pieces)).start(context)

/** Removes waiting pieces, such as those whose requests have ended. */
public fun PieceQueue.remove(numbers: Set<Long>): PieceQueue =
    copy(waiting = waiting.filterNot { it.number in numbers }.toPersistentList())

/** Records that [target] has released results of [size] bytes. */
public fun PieceQueue.released(target: TargetId, size: Long): PieceQueue {
    val left = (reservedBytes[target] ?: 0) - size
    return copy(
        reservedBytes =
            if (left > 0) reservedBytes.put(target, left) else reservedBytes.remove(target)
    )
}

/** Starts the cooldown of [target], which had no capacity for a result that should have fitted. */
public fun PieceQueue.markedFull(target: TargetId, now: MonotonicTime): PieceQueue =
    copy(fullUntil = fullUntil.put(target, now + FULL_TARGET_COOLDOWN))

/**
 * End of a call that completed [count] pieces and left [unusedBytes] of capacity unused; [ranks]
 * are the numbers of its pieces by rank.
 */
public data class EndedCall(
    public val target: TargetId,
    public val unusedBytes: Long,
    public val count: Int,
    public val ranks: PersistentMap<Int, Int> = persistentMapOf()
)

/** Records the end of [call] and starts the next calls. */
public fun PieceQueue.ended(
    call: EndedCall,
    context: PieceContext
): Decision<PieceQueue, StageCall> {
    val left = (inFlight[call.target] ?: 0) - 1
    val counted = if (left > 0) inFlight.put(call.target, left) else inFlight.remove(call.target)
    val recent =
        completed
            .filter { context.now - it.at < RATE_WINDOW }
            .toPersistentList()
            .add(CompletedPieces(context.now, call.count, call.ranks))
    return copy(inFlight = counted, completed = recent)
        .released(call.target, call.unusedBytes)
        .start(context)
}

/** Starts calls up to the limit of this host. */
public fun PieceQueue.start(context: PieceContext): Decision<PieceQueue, StageCall> {
    var queue = this
    val started = mutableListOf<StageCall>()
    while (queue.waiting.isNotEmpty() && queue.inFlight.values.sum() < callLimit(context)) {
        val call = queue.nextCall(context) ?: break
        val target = call.target.id
        queue = queue.remove(call.numbers.toSet()).copy(
            inFlight = queue.inFlight.put(target, (queue.inFlight[target] ?: 0) + 1),
            reservedBytes =
                queue.reservedBytes.put(target, (queue.reservedBytes[target] ?: 0) + call.bytes)
        )
        started += call
    }
    return Decision(queue.withWaitingSince(context.now), started.toPersistentList())
}

/**
 * Limit of calls in flight from this host: its share of the slots and a little more, so that all
 * hosts together keep the targets busy without long queues there.
 */
private fun callLimit(context: PieceContext): Int {
    val slots = context.candidates.size * context.limits.slots
    val share = slots * CALLS_PER_SLOT / context.hosts.coerceAtLeast(1)
    return kotlin.math.ceil(share).toInt().coerceAtLeast(1)
}

/** Cooldown of a full target: about one call, during which it releases some of its results. */
public val FULL_TARGET_COOLDOWN: Duration = 300.milliseconds

/** Window over which the rate of completed pieces is measured; a few calls long. */
private val RATE_WINDOW = 1_000.milliseconds

/** Calls in flight per slot, over all hosts. */
private const val CALLS_PER_SLOT = 1.5
