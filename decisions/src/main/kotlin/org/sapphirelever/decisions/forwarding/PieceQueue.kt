/*
 * Pieces of stage work that wait for a call. Pieces of several requests share a call, up to the
 * size of a batch; the more targets are busy, the larger batches become.
 */
package org.sapphirelever.decisions.forwarding

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
 */
public data class WaitingPiece(
    public val number: Long,
    public val rank: Int,
    public val due: MonotonicTime,
    public val excluded: TargetId? = null
)

/** Start of a call to [target] with the pieces of these [numbers]. */
public data class StageCall(
    public val target: TargetRecord,
    public val numbers: PersistentList<Long>
)

/** What a decision about pieces depends on besides the queue. */
public data class PieceContext(
    public val service: ServiceName,
    public val limits: BatchLimits,
    public val candidates: List<TargetRecord>,
    public val views: Map<TargetId, TargetView>,
    public val hosts: Int,
    public val here: DataCentre,
    public val host: String,
    public val now: MonotonicTime
)

/** Waiting pieces of one service and its calls in progress, by target. */
public data class PieceQueue(
    public val waiting: PersistentList<WaitingPiece> = persistentListOf(),
    public val calls: PersistentMap<TargetId, Int> = persistentMapOf()
)

/** Adds [pieces] and starts calls as far as permitted. */
public fun PieceQueue.add(
    pieces: List<WaitingPiece>,
    context: PieceContext
): Decision<PieceQueue, StageCall> {
    val ordered = (waiting + pieces).sortedWith(compareBy({ it.rank }, { it.due }))
    return copy(waiting = ordered.toPersistentList()).start(context)
}

/** Removes pieces whose requests have ended. */
public fun PieceQueue.remove(numbers: Set<Long>): PieceQueue =
    copy(waiting = waiting.filterNot { it.number in numbers }.toPersistentList())

/** Notes the end of a call to [target] and starts the next ones. */
public fun PieceQueue.ended(
    target: TargetId,
    context: PieceContext
): Decision<PieceQueue, StageCall> {
    val left = (calls[target] ?: 0) - 1
    val counted = if (left > 0) calls.put(target, left) else calls.remove(target)
    return copy(calls = counted).start(context)
}

/** Starts as many calls as this host may have in progress. */
public fun PieceQueue.start(context: PieceContext): Decision<PieceQueue, StageCall> {
    var queue = this
    val started = mutableListOf<StageCall>()
    while (queue.waiting.isNotEmpty() && queue.calls.values.sum() < callLimit(context)) {
        val call = queue.nextCall(context) ?: break
        val taken = call.numbers.toSet()
        val target = call.target.id
        queue = queue.remove(taken).copy(
            calls = queue.calls.put(target, (queue.calls[target] ?: 0) + 1)
        )
        started += call
    }
    return Decision(queue, started.toPersistentList())
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

private fun PieceQueue.nextCall(context: PieceContext): StageCall? {
    val first = waiting.first()
    val free = context.candidates.filter { (calls[it.id] ?: 0) < context.limits.slots }
    val permitted = free.filter { it.id != first.excluded }.ifEmpty { free }
    val target = permitted.minByOrNull { expectedCalls(it, context) } ?: return null
    return StageCall(target, waiting.take(context.limits.batch).map { it.number }.toPersistentList())
}

/** Calls that a new call to [target] is expected to wait for, with a preference for near ones. */
private fun expectedCalls(target: TargetRecord, context: PieceContext): Double {
    val view = context.views[target.id] ?: TargetView()
    val report = view.report?.takeIf { context.now - it.at < REPORT_LIFETIME }
    val ahead = report?.let { it.running + it.waiting }?.toDouble() ?: UNKNOWN_CALLS
    val suspect = if (view.isSuspect(context.now)) SUSPECT_CALLS else 0.0
    val distance = if (target.dataCentre == context.here) 0.0 else REMOTE_CALLS
    // Hosts prefer different targets, so that they do not all call the same one at once.
    val preference = rendezvousRank(context.host, target.id.value).mod(PREFERENCES) * TIE_CALLS
    return ahead + suspect + distance + preference
}

/** Calls in progress for each slot, over all hosts. */
private const val CALLS_PER_SLOT = 1.5

/** Load assumed of a target that has not reported lately. */
private const val UNKNOWN_CALLS = 0.5
private const val SUSPECT_CALLS = 10.0
private const val REMOTE_CALLS = 0.4
private const val TIE_CALLS = 0.02
private const val PREFERENCES = 8L

/** A call takes a few hundred milliseconds, after which an earlier report is out of date. */
private val REPORT_LIFETIME = FAILURE_MEMORY / 4
