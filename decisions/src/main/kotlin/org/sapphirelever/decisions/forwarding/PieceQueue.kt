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
import org.sapphirelever.decisions.rendezvousRank

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
    public val localUntil: MonotonicTime? = null
) {
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

/** End of a call that completed [count] pieces. */
public data class CompletedPieces(public val at: MonotonicTime, public val count: Int)

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

/** End of a call that completed [count] pieces and left [unusedBytes] of capacity unused. */
public data class EndedCall(
    public val target: TargetId,
    public val unusedBytes: Long,
    public val count: Int
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
            .add(CompletedPieces(context.now, call.count))
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

/** The next call, to the target with the shortest expected wait of those that can take pieces. */
private fun PieceQueue.nextCall(context: PieceContext): StageCall? {
    val healthy = context.candidates.healthyOrAll(context.views, context.now)
    val free =
        healthy.filter {
            (inFlight[it.id] ?: 0) < context.limits.slots && !isFull(it.id, context.now)
        }
    val orderings = free.map { it.dataCentre }.distinct().associateWith { orderedFor(it) }
    return free
        .mapNotNull { target ->
            batchFor(target, orderings.getValue(target.dataCentre), context)?.let { target to it }
        }
        .minByOrNull { (target, pieces) -> expectedCallsAhead(target, pieces, context) }
        ?.let { (target, pieces) ->
            val numbers = pieces.map { it.number }.toPersistentList()
            StageCall(target, numbers, pieces.sumOf { it.bytes })
        }
}

/**
 * The first of the [ordered] pieces that [target] has capacity for. The pieces of a request stay
 * together, since the next stage needs all of them and early results would only occupy capacity.
 */
private fun PieceQueue.batchFor(
    target: TargetRecord,
    ordered: List<WaitingPiece>,
    context: PieceContext
): List<WaitingPiece>? {
    val share =
        context.limits.resultCapacityBytes / context.hosts.coerceAtLeast(1) * USABLE_CAPACITY_RATIO
    var capacity = share - (reservedBytes[target.id] ?: 0)
    val isTargetEmpty = (reservedBytes[target.id] ?: 0) == 0L
    val isOnlyTarget = context.candidates.size == 1
    val isOnProbation = context.views[target.id]?.isOnProbation(context.now) == true
    val taken = mutableListOf<WaitingPiece>()
    val requests =
        ordered
            .filter { it.excluded != target.id || isOnlyTarget }
            .filterNot { it.waitsForLocalTarget(target.dataCentre, context.now) }
            .groupBy { it.request }
            .values
    for (pieces in requests) {
        val remaining = context.limits.batch - taken.size
        val fitting = pieces.take(remaining).takeWhileFitting(capacity)
        if (taken.isEmpty()) {
            taken += if (isTargetEmpty) fitting.ifEmpty { pieces.take(1) } else fitting
        } else if (fitting.size == pieces.size) {
            taken += fitting
        }
        capacity = share - (reservedBytes[target.id] ?: 0) - taken.sumOf { it.bytes }
        if (taken.size >= context.limits.batch || (isOnProbation && taken.isNotEmpty())) break
    }
    return taken.ifEmpty { null }
}

/** The first pieces whose results fit into [capacity] bytes together. */
private fun List<WaitingPiece>.takeWhileFitting(capacity: Double): List<WaitingPiece> {
    var left = capacity
    return takeWhile { piece ->
        left -= piece.bytes
        left >= 0 || piece.bytes == 0L
    }
}

/**
 * The waiting pieces in the order in which a target in [dataCentre] executes them: by rank, then
 * by soft deadline, put back by a delay for the bytes that this data centre has to transfer. Late
 * pieces keep their place, since their requests occupy capacity with earlier results.
 */
private fun PieceQueue.orderedFor(dataCentre: DataCentre): List<WaitingPiece> {
    val piecesByRequest = waiting.groupingBy { it.request }.eachCount()
    return waiting.sortedWith(
        compareBy({ it.rank }, { piece ->
            val megabytes = piece.remoteBytes(dataCentre) / BYTES_PER_MEGABYTE
            piece.softDeadline +
                DELAY_PER_MEGABYTE * megabytes * piecesByRequest.getValue(piece.request)
        })
    )
}

/** Calls that a new call is expected to wait for, plus penalties for remote targets and ties. */
private fun expectedCallsAhead(
    target: TargetRecord,
    pieces: List<WaitingPiece>,
    context: PieceContext
): Double {
    val requests = pieces.distinctBy { it.request }.size
    val remoteBytes = pieces.sumOf { it.remoteBytes(target.dataCentre) }
    val megabytes = remoteBytes / BYTES_PER_MEGABYTE / requests
    val view = context.views[target.id] ?: TargetView()
    val report = view.report?.takeIf { context.now - it.at < REPORT_LIFETIME }
    val ahead = report?.let { it.running + it.waiting }?.toDouble() ?: ASSUMED_CALLS
    val remotePenalty = megabytes * PENALTY_CALLS_PER_MEGABYTE
    // Hosts prefer different targets, so that they do not all call the same one at once.
    val preference = rendezvousRank(context.host, target.id.value).mod(PREFERENCES) * TIE_CALLS
    return ahead + remotePenalty + preference
}

/**
 * Time that a piece may wait for a target in the data centre of its inputs. Every piece of a
 * request fetches the same inputs, so transfers between data centres cost more than the delay.
 */
public val LOCALITY_WAIT: Duration = 180.milliseconds

/** Approximate time that a request takes after one of its pieces has started. */
private val REMAINING_TIME = 700.milliseconds

/** Time until which a piece queued at [now] waits for a local target; null if it does not wait. */
public fun localUntil(
    inputBytes: Long,
    softDeadline: MonotonicTime,
    now: MonotonicTime
): MonotonicTime? = (now + LOCALITY_WAIT).takeIf {
    inputBytes > MINIMUM_LOCALITY_BYTES && now + REMAINING_TIME < softDeadline
}

/** Inputs up to this size are fetched from any data centre. */
private const val MINIMUM_LOCALITY_BYTES = 100_000L

/** Cooldown of a full target: about one call, during which it releases some of its results. */
public val FULL_TARGET_COOLDOWN: Duration = 300.milliseconds

/** Window over which the rate of completed pieces is measured; a few calls long. */
private val RATE_WINDOW = 1_000.milliseconds

/** Calls in flight per slot, over all hosts. */
private const val CALLS_PER_SLOT = 1.5

/** Number of calls assumed at a target without a recent load report. */
private const val ASSUMED_CALLS = 0.5

/** Fraction of a target's result capacity that is used, since result sizes are approximate. */
private const val USABLE_CAPACITY_RATIO = 0.98

/** Calls that a local target may have more than a remote one, per megabyte transferred. */
private const val PENALTY_CALLS_PER_MEGABYTE = 0.35

/** Delay of a piece in the order, per megabyte that its request has to transfer. */
private val DELAY_PER_MEGABYTE = 90.milliseconds

/** Penalty, in calls, between neighbouring preferences of a host among equal targets. */
private const val TIE_CALLS = 0.02
private const val PREFERENCES = 8L

/** Calls take a few hundred milliseconds, after which an earlier report is out of date. */
private val REPORT_LIFETIME = FAILURE_COOLDOWN / 4
