/*
 * Records of the run of one cell. The invariants are checked on these records alone.
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

/** Reply to a caller; [outcome] is null if the connection broke or no reply came in time. */
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

/** A revision of the configuration that a host adopted. */
public data class AdoptedRevision(val host: String, val revision: Long, val at: MonotonicTime)

/** Result of a write: the accepted revision, or the code and message of its failure. */
public data class WriteRecord(
    val change: String,
    val revision: Long?,
    val code: String?,
    val message: String = ""
)

/** An order sent at [at]; [leaseEnd] is the end of its sender's lease as granted by then. */
public data class SentOrder(
    val holder: String,
    val fencing: Long,
    val at: MonotonicTime,
    val leaseEnd: MonotonicTime?
)

/** Fencing number of an engine before and after it took an order. */
public data class TakenOrder(val honoursFencing: Boolean, val before: Long, val after: Long)

/** State at the end of a run; [effectiveFaults] are the faults that had an effect. */
public data class FinalState(
    val revisions: Map<String, Long>,
    val documentRevision: Long,
    val changes: List<String>,
    val roles: List<String>,
    val bystander: OutcomeMessage?,
    val exitCodes: List<Int>,
    val crashedTargets: Int,
    val effectiveFaults: Set<Fault>
)

public data class RunRecord(
    val cell: Cell,
    val runs: PersistentList<TargetRun>,
    val replies: PersistentList<CallerReply>,
    val adoptedRevisions: PersistentList<AdoptedRevision>,
    val writes: PersistentList<WriteRecord>,
    val sentOrders: PersistentList<SentOrder>,
    val takenOrders: PersistentList<TakenOrder>,
    val stepReached: Boolean,
    val finalState: FinalState
)

/** Collects records while a cell runs. */
internal class Recorder {
    val runs = CopyOnWriteArrayList<TargetRun>()
    val replies = CopyOnWriteArrayList<CallerReply>()
    val adoptedRevisions = CopyOnWriteArrayList<AdoptedRevision>()
    val writes = CopyOnWriteArrayList<WriteRecord>()
    val sentOrders = CopyOnWriteArrayList<SentOrder>()
    val takenOrders = CopyOnWriteArrayList<TakenOrder>()

    fun record(cell: Cell, stepReached: Boolean, finalState: FinalState): RunRecord = RunRecord(
        cell,
        runs.toPersistentList(),
        replies.toPersistentList(),
        adoptedRevisions.toPersistentList(),
        writes.toPersistentList(),
        sentOrders.toPersistentList(),
        takenOrders.toPersistentList(),
        stepReached,
        finalState
    )
}
