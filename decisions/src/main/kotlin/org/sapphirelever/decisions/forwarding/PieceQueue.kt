/*
 * Pieces of stage work that wait for a call. Pieces of several requests share a call, up to the
 * size of a batch; the more targets are busy, the larger batches become.
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
 * One piece that waits.
 *
 * @property number identity of the waiting piece, unique in this process
 * @property due moment after which the result is of no use
 * @property aim moment until which the answer to the request is on time
 * @property excluded target that failed to make the piece before
 * @property bytes approximate size of the result
 * @property origin data centre of the request, where the result is probably fetched
 * @property inputs size of the results that it takes, by the data centre that keeps them
 * @property nearUntil moment until which it waits for a target in the data centre of its inputs
 */
public data class WaitingPiece(
    public val number: Long,
    public val request: String,
    public val rank: Int,
    public val due: MonotonicTime,
    public val aim: MonotonicTime = due,
    public val excluded: TargetId? = null,
    public val bytes: Long = 0,
    public val origin: DataCentre? = null,
    public val inputs: PersistentMap<DataCentre, Long> = persistentMapOf(),
    public val nearUntil: MonotonicTime? = null
) {
    /** Whether most of the bytes that it takes are in another place than [dataCentre]. */
    internal fun isFar(dataCentre: DataCentre): Boolean =
        (inputs[dataCentre] ?: 0) * 2 < inputs.values.sum()

    /** Whether it leaves a free target in [dataCentre] to others at [now]. */
    internal fun waitsForNear(dataCentre: DataCentre, now: MonotonicTime): Boolean =
        nearUntil != null && now < nearUntil && isFar(dataCentre)

    /** Bytes that cross between data centres if the piece is made in [dataCentre]. */
    internal fun crossing(dataCentre: DataCentre): Long {
        val fetched = inputs.entries.sumOf { if (it.key == dataCentre) 0 else it.value }
        return fetched + if (origin == dataCentre) 0 else bytes
    }
}

/** Start of a call to [target] with the pieces of these [numbers]. */
public data class StageCall(
    public val target: TargetRecord,
    public val numbers: PersistentList<Long>,
    public val bytes: Long = 0
)

/** What a decision about pieces depends on besides the queue. */
public data class PieceContext(
    public val service: ServiceName,
    public val limits: BatchLimits,
    public val candidates: List<TargetRecord>,
    public val views: Map<TargetId, TargetView>,
    public val hosts: Int,
    public val host: String,
    public val now: MonotonicTime
)

/** End of a call that made [count] pieces. */
public data class MadePieces(public val at: MonotonicTime, public val count: Int)

/**
 * Waiting pieces of one service.
 *
 * @property calls calls in progress, by target
 * @property bytes size of the results that targets keep or are making, by target
 * @property made calls that ended lately
 * @property waitingSince time since which pieces have been waiting without a break
 * @property fullUntil targets that had no room although this queue counted some, and until when
 *   they are left alone. They keep results that another host had made before.
 */
public data class PieceQueue(
    public val waiting: PersistentList<WaitingPiece> = persistentListOf(),
    public val calls: PersistentMap<TargetId, Int> = persistentMapOf(),
    public val bytes: PersistentMap<TargetId, Long> = persistentMapOf(),
    public val made: PersistentList<MadePieces> = persistentListOf(),
    public val waitingSince: MonotonicTime? = null,
    public val fullUntil: PersistentMap<TargetId, MonotonicTime> = persistentMapOf()
) {
    internal fun isFull(target: TargetId, now: MonotonicTime): Boolean =
        fullUntil[target]?.let { now < it } == true

    /** Pieces made in a millisecond, or null if targets were not busy long enough to tell. */
    internal fun recentRate(now: MonotonicTime): Double? {
        val since = waitingSince ?: return null
        if (now - since < RATE_WINDOW) return null
        val recent = made.filter { now - it.at < RATE_WINDOW }.sumOf { it.count }
        return recent / RATE_WINDOW.toDouble(DurationUnit.MILLISECONDS)
    }

    internal fun noteWaiting(now: MonotonicTime): PieceQueue = when {
        waiting.isEmpty() -> if (waitingSince == null) this else copy(waitingSince = null)
        else -> if (waitingSince == null) copy(waitingSince = now) else this
    }
}

/** Adds [pieces] and starts calls as far as permitted. */
public fun PieceQueue.add(
    pieces: List<WaitingPiece>,
    context: PieceContext
): Decision<PieceQueue, StageCall> = copy(waiting = waiting.addAll(pieces)).start(context)

/** Removes pieces whose requests have ended. */
public fun PieceQueue.remove(numbers: Set<Long>): PieceQueue =
    copy(waiting = waiting.filterNot { it.number in numbers }.toPersistentList())

/** Notes that results of [size] bytes at [target] take no more room. */
public fun PieceQueue.released(target: TargetId, size: Long): PieceQueue {
    val left = (bytes[target] ?: 0) - size
    return copy(bytes = if (left > 0) bytes.put(target, left) else bytes.remove(target))
}

/** Notes that [target] had no room for a result that was to fit. */
public fun PieceQueue.full(target: TargetId, now: MonotonicTime): PieceQueue =
    copy(fullUntil = fullUntil.put(target, now + FULL_PAUSE))

/** What a call to [target] left: [count] pieces, [unmade] bytes less than was expected. */
public data class EndedCall(
    public val target: TargetId,
    public val unmade: Long,
    public val count: Int
)

/** Notes the end of [call] and starts the next ones. */
public fun PieceQueue.ended(
    call: EndedCall,
    context: PieceContext
): Decision<PieceQueue, StageCall> {
    val left = (calls[call.target] ?: 0) - 1
    val counted = if (left > 0) calls.put(call.target, left) else calls.remove(call.target)
    val recent =
        made
            .filter { context.now - it.at < RATE_WINDOW }
            .toPersistentList()
            .add(MadePieces(context.now, call.count))
    return copy(calls = counted, made = recent)
        .released(call.target, call.unmade)
        .start(context)
}

/** Starts as many calls as this host may have in progress. */
public fun PieceQueue.start(context: PieceContext): Decision<PieceQueue, StageCall> {
    var queue = this
    val started = mutableListOf<StageCall>()
    while (queue.waiting.isNotEmpty() && queue.calls.values.sum() < callLimit(context)) {
        val call = queue.nextCall(context) ?: break
        val target = call.target.id
        queue = queue.remove(call.numbers.toSet()).copy(
            calls = queue.calls.put(target, (queue.calls[target] ?: 0) + 1),
            bytes = queue.bytes.put(target, (queue.bytes[target] ?: 0) + call.bytes)
        )
        started += call
    }
    return Decision(queue.noteWaiting(context.now), started.toPersistentList())
}

/**
 * Calls that this host may have in progress: its share of the targets and a little more, so that
 * all hosts together keep the targets busy without long queues there.
 */
private fun callLimit(context: PieceContext): Int {
    val slots = context.candidates.size * context.limits.slots
    val share = slots * CALLS_PER_SLOT / context.hosts.coerceAtLeast(1)
    return kotlin.math.ceil(share).toInt().coerceAtLeast(1)
}

/** The next call: to the target that suits the first waiting piece that has room somewhere. */
private fun PieceQueue.nextCall(context: PieceContext): StageCall? {
    val usable = context.candidates.soundOrAll(context.views, context.now)
    val free =
        usable.filter {
            (calls[it.id] ?: 0) < context.limits.slots && !isFull(it.id, context.now)
        }
    val orders = free.map { it.dataCentre }.distinct().associateWith { inOrder(it) }
    return free
        .mapNotNull { target ->
            callTo(target, orders.getValue(target.dataCentre), context)?.let { target to it }
        }
        .minByOrNull { (target, pieces) -> expectedCalls(target, pieces, context) }
        ?.let { (target, pieces) ->
            val numbers = pieces.map { it.number }.toPersistentList()
            StageCall(target, numbers, pieces.sumOf { it.bytes })
        }
}

/**
 * The pieces of a call to [target]: the first ones that it has room for. The pieces of a request
 * stay together, since the next stage takes all of them and those made first would only take room.
 */
private fun PieceQueue.callTo(
    target: TargetRecord,
    ordered: List<WaitingPiece>,
    context: PieceContext
): List<WaitingPiece>? {
    val share = context.limits.resultCapacityBytes / context.hosts.coerceAtLeast(1) * ROOM_IN_USE
    var room = share - (bytes[target.id] ?: 0)
    val unused = (bytes[target.id] ?: 0) == 0L
    val alone = context.candidates.size == 1
    val onTrial = context.views[target.id]?.isOnTrial(context.now) == true
    val taken = mutableListOf<WaitingPiece>()
    val requests =
        ordered
            .filter { it.excluded != target.id || alone }
            .filterNot { it.waitsForNear(target.dataCentre, context.now) }
            .groupBy { it.request }
            .values
    for (pieces in requests) {
        val free = context.limits.batch - taken.size
        val fitting = pieces.take(free).takeWhileSum(room)
        if (taken.isEmpty()) {
            taken += if (unused) fitting.ifEmpty { pieces.take(1) } else fitting
        } else if (fitting.size == pieces.size) {
            taken += fitting
        }
        room = share - (bytes[target.id] ?: 0) - taken.sumOf { it.bytes }
        if (taken.size >= context.limits.batch || (onTrial && taken.isNotEmpty())) break
    }
    return taken.ifEmpty { null }
}

/** The first pieces that take at most [room] together. */
private fun List<WaitingPiece>.takeWhileSum(room: Double): List<WaitingPiece> {
    var left = room
    return takeWhile { piece ->
        left -= piece.bytes
        left >= 0 || piece.bytes == 0L
    }
}

/**
 * The waiting pieces in the order in which a target in [dataCentre] makes them: by rank, then by
 * the time until which they are on time, with an allowance for bytes that need not cross. Pieces
 * that are late keep their place, since requests that wait hold room with earlier results.
 */
private fun PieceQueue.inOrder(dataCentre: DataCentre): List<WaitingPiece> {
    val counts = waiting.groupingBy { it.request }.eachCount()
    return waiting.sortedWith(
        compareBy({ it.rank }, { piece ->
            val megabytes = piece.crossing(dataCentre) / BYTES_PER_MEGABYTE
            piece.aim + MEGABYTE_ALLOWANCE * megabytes * counts.getValue(piece.request)
        })
    )
}

/** Calls that a new call to [target] is expected to wait for, with a preference for near ones. */
private fun expectedCalls(
    target: TargetRecord,
    pieces: List<WaitingPiece>,
    context: PieceContext
): Double {
    val requests = pieces.distinctBy { it.request }.size
    val crossing = pieces.sumOf { it.crossing(target.dataCentre) }
    val megabytes = crossing / BYTES_PER_MEGABYTE / requests
    val view = context.views[target.id] ?: TargetView()
    val report = view.report?.takeIf { context.now - it.at < REPORT_LIFETIME }
    val ahead = report?.let { it.running + it.waiting }?.toDouble() ?: UNKNOWN_CALLS
    val distance = megabytes * REMOTE_CALLS_PER_MEGABYTE
    // Hosts prefer different targets, so that they do not all call the same one at once.
    val preference = rendezvousRank(context.host, target.id.value).mod(PREFERENCES) * TIE_CALLS
    return ahead + distance + preference
}

/**
 * Time that a piece of an urgent request may wait for a target near its inputs: all pieces of a
 * request fetch the same inputs, so that bytes between data centres cost more than the delay.
 */
public val NEAR_PATIENCE: Duration = 180.milliseconds

/** Time that the rest of a request takes after a piece has started, about. */
private val REST_TIME = 700.milliseconds

/** The moment until which a piece that arrives at [now] waits for a near target, if it may. */
public fun nearUntil(inputBytes: Long, aim: MonotonicTime, now: MonotonicTime): MonotonicTime? =
    (now + NEAR_PATIENCE).takeIf { inputBytes > LEAST_INPUTS && now + REST_TIME < aim }

/** Inputs below this size are fetched from anywhere. */
private const val LEAST_INPUTS = 100_000L

/** About the time of a call, in which a target gives up some of the results that it keeps. */
public val FULL_PAUSE: Duration = 300.milliseconds

/** Period over which the rate of made pieces is measured; a few calls long. */
private val RATE_WINDOW = 1_000.milliseconds

/** Calls in progress for each slot, over all hosts. */
private const val CALLS_PER_SLOT = 1.5

/** Load assumed of a target that has not reported lately. */
private const val UNKNOWN_CALLS = 0.5

/** Part of the room of a target that is used; sizes of results are approximate. */
private const val ROOM_IN_USE = 0.98

/** Calls that a near target may have ahead of a far one, for each megabyte that crosses. */
private const val REMOTE_CALLS_PER_MEGABYTE = 0.35

/** Time by which a piece is put back for each megabyte of its request that crosses. */
private val MEGABYTE_ALLOWANCE = 90.milliseconds

/** Part of a call by which preferences of a host between equal targets differ. */
private const val TIE_CALLS = 0.02
private const val PREFERENCES = 8L

/** A call takes a few hundred milliseconds, after which an earlier report is out of date. */
private val REPORT_LIFETIME = FAILURE_MEMORY / 4
