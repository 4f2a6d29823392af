/*
 * Pieces that share the next call, and the target that executes them.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.toPersistentList
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.BatchLimits
import org.sapphirelever.core.forwarding.TargetRecord
import org.sapphirelever.decisions.rendezvousRank

/** The next call, to the target with the shortest expected wait of those that can take pieces. */
internal fun PieceQueue.nextCall(context: PieceContext): StageCall? {
    val healthy = context.candidates.healthyOrAll(context.views, context.now)
    val free =
        healthy.filter {
            (inFlight[it.id] ?: 0) < context.limits.slots && !isFull(it.id, context.now)
        }
    val orderings = free.map { it.dataCentre }.distinct().associateWith { orderedFor(it, context) }
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
            .withoutWaiting(target.dataCentre, context.now)
            .groupBy { it.request }
            .values
    for (pieces in requests) {
        val remaining = context.limits.batch - taken.size
        val fitting = pieces.take(remaining).takeWhileFitting(capacity)
        if (taken.isEmpty()) {
            taken += if (isTargetEmpty) fitting.ifEmpty { pieces.take(1) } else fitting
        } else if (fitting.size == pieces.size && !taken.isDelayedBy(pieces, context)) {
            taken += fitting
        }
        capacity = share - (reservedBytes[target.id] ?: 0) - taken.sumOf { it.bytes }
        if (taken.size >= context.limits.batch || (isOnProbation && taken.isNotEmpty())) break
    }
    return taken.ifEmpty { null }
}

/**
 * The pieces that [dataCentre] may execute now. None waits for a target near its inputs if a less
 * urgent one would take this target meanwhile.
 */
private fun List<WaitingPiece>.withoutWaiting(
    dataCentre: DataCentre,
    now: MonotonicTime
): List<WaitingPiece> {
    val (waiting, ready) = partition { it.waitsForLocalTarget(dataCentre, now) }
    val leastUrgent = ready.maxOfOrNull { it.rank } ?: return ready
    val passed = waiting.filter { it.rank < leastUrgent }.toSet()
    return filter { it in passed || !it.waitsForLocalTarget(dataCentre, now) }
}

/**
 * Whether [others] would make the call end too late for a more urgent request among these pieces
 * that it otherwise serves on time.
 */
private fun List<WaitingPiece>.isDelayedBy(
    others: List<WaitingPiece>,
    context: PieceContext
): Boolean {
    val rank = others.first().rank
    val end = context.now + context.limits.callDuration(size)
    val laterEnd = context.now + context.limits.callDuration(size + others.size)
    return any { it.rank < rank && end <= it.latestEnd && it.latestEnd < laterEnd }
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
 * The waiting pieces in the order in which a target in [dataCentre] executes them: by rank, those
 * whose request can be on time first, then by latest end, put back by a delay for the bytes that
 * this data centre has to transfer. Late requests that have begun keep their place, since they
 * occupy capacity with earlier results.
 */
private fun PieceQueue.orderedFor(
    dataCentre: DataCentre,
    context: PieceContext
): List<WaitingPiece> {
    val piecesByRequest = waiting.groupingBy { it.request }.eachCount()
    return waiting
        .map { piece ->
            val megabytes = piece.remoteBytes(dataCentre) / BYTES_PER_MEGABYTE
            val delay = DELAY_PER_MEGABYTE * megabytes * piecesByRequest.getValue(piece.request)
            val isPostponed = piece.isPostponed(context.limits, context.now)
            OrderedPiece(piece, isPostponed, piece.latestEnd + delay)
        }.sortedWith(compareBy({ it.piece.rank }, { it.isPostponed }, { it.end }))
        .map { it.piece }
}

/** A [piece] with its place in the order, computed once for each. */
private class OrderedPiece(
    val piece: WaitingPiece,
    val isPostponed: Boolean,
    val end: MonotonicTime
)

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

/**
 * Time until which a piece queued at [now] waits for a local target; null if it does not wait. The
 * wait takes at most half of the time that its request has to spare, with full calls.
 */
public fun localUntil(
    inputBytes: Long,
    latestEnd: MonotonicTime,
    limits: BatchLimits,
    now: MonotonicTime
): MonotonicTime? = (now + LOCALITY_WAIT).takeIf {
    inputBytes > MINIMUM_LOCALITY_BYTES &&
        now + LOCALITY_WAIT * 2 + limits.callDuration(limits.batch) < latestEnd
}

/** Inputs up to this size are fetched from any data centre. */
private const val MINIMUM_LOCALITY_BYTES = 100_000L

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
