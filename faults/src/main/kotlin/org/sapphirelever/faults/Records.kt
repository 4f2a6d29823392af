/*
 * What a run of a cell leaves behind. The invariants are checked on these records alone.
 */
package org.sapphirelever.faults

import java.util.concurrent.CopyOnWriteArrayList
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.wire.OutcomeMessage

/** A call that a target received; [ran] is false if it refused. */
public data class TargetRun(
    val request: String,
    val stage: String,
    val attempt: Int,
    val key: String?,
    val target: String,
    val input: String,
    val at: MonotonicTime,
    val ran: Boolean,
    val leavingSince: MonotonicTime? = null
)

/** Reply to a caller; [outcome] is null if the connection to the host broke. */
public data class CallerReply(
    val input: String,
    val key: String?,
    val host: String,
    val outcome: OutcomeMessage?,
    val tokens: PersistentList<String>,
    val at: MonotonicTime,
    val streamed: Boolean,
    val stoppedGracefully: Boolean
)

/** A revision that a host put in force. */
public data class AdoptedRevision(val host: String, val revision: Long, val at: MonotonicTime)

/** End of a write: the accepted revision, or the code of its failure. */
public data class WriteRecord(
    val change: String,
    val revision: Long?,
    val code: String?,
    val message: String = ""
)

/** An order when it was sent; [leaseEnd] is the end that the platform had granted by then. */
public data class SentOrder(
    val holder: String,
    val fencing: Long,
    val at: MonotonicTime,
    val leaseEnd: MonotonicTime?
)

/** Fencing numbers before and after an engine took an order. */
public data class TakenOrder(val honours: Boolean, val before: Long, val after: Long)

/** State at the end of a run; [effects] names the faults that something in the world met. */
public data class FinalState(
    val revisions: Map<String, Long>,
    val documentRevision: Long,
    val changes: List<String>,
    val roles: List<String>,
    val bystander: OutcomeMessage?,
    val exitCodes: List<Int>,
    val crashedTargets: Int,
    val effects: Set<Fault>
)

/** All records of one run. */
public data class RunRecord(
    val cell: Cell,
    val runs: PersistentList<TargetRun>,
    val replies: PersistentList<CallerReply>,
    val adopted: PersistentList<AdoptedRevision>,
    val writes: PersistentList<WriteRecord>,
    val sent: PersistentList<SentOrder>,
    val taken: PersistentList<TakenOrder>,
    val reached: Boolean,
    val final: FinalState
)

/** Collects records while a cell runs. */
internal class Recorder {
    val runs = CopyOnWriteArrayList<TargetRun>()
    val replies = CopyOnWriteArrayList<CallerReply>()
    val adopted = CopyOnWriteArrayList<AdoptedRevision>()
    val writes = CopyOnWriteArrayList<WriteRecord>()
    val sent = CopyOnWriteArrayList<SentOrder>()
    val taken = CopyOnWriteArrayList<TakenOrder>()

    fun record(cell: Cell, reached: Boolean, final: FinalState): RunRecord = RunRecord(
        cell,
        runs.toPersistentList(),
        replies.toPersistentList(),
        adopted.toPersistentList(),
        writes.toPersistentList(),
        sent.toPersistentList(),
        taken.toPersistentList(),
        reached,
        final
    )
}
