/*
 * State of every target stand-in: slots, queue by priority, record of runs, faults and history of
 * the load. Transitions are pure.
 */
package org.sapphirelever.standins

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.Serializable
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.Priority
import org.sapphirelever.decisions.Decision
import org.sapphirelever.decisions.decide
import org.sapphirelever.wire.LoadMessage
import org.sapphirelever.wire.RunAnswerMessage

/**
 * Faults of a target.
 *
 * Streams apply [silent], [dropAfter] and [truncated] after [faultAfterTokens] tokens.
 *
 * @property slowFactor factor by which all work takes longer
 * @property silent whether calls are accepted and never answered
 * @property dropBefore whether the connection breaks before the run
 * @property dropAfter whether the connection breaks after the run
 * @property crossed whether a call gets the answer to another call
 * @property lateMillis delay of each answer after the run
 * @property doubled whether each answer, or each event of a stream, is sent twice
 * @property truncated whether the answer ends early
 * @property refuse reason with which every call is refused, or empty
 * @property crashText text whose presence in an input crashes the target, or empty
 * @property falseLoad load to report instead of the actual one
 * @property forMillis duration of these faults, 0 for no end
 */
@Serializable
public data class TargetFaults(
    public val slowFactor: Double = 1.0,
    public val silent: Boolean = false,
    public val dropBefore: Boolean = false,
    public val dropAfter: Boolean = false,
    public val crossed: Boolean = false,
    public val lateMillis: Long = 0,
    public val doubled: Boolean = false,
    public val truncated: Boolean = false,
    public val refuse: String = "",
    public val crashText: String = "",
    public val falseLoad: LoadMessage? = null,
    public val faultAfterTokens: Int = 0,
    public val forMillis: Long = 0
)

/** One run of a call. A call that ran twice has two records. */
@Serializable
public data class RunRecord(
    public val request: String,
    public val stage: String,
    public val attempt: Int,
    public val key: String? = null
)

/** All runs so far, with their number by key and by `request/stage`. */
@Serializable
public data class RunsMessage(
    public val runs: List<RunRecord>,
    public val byKey: Map<String, Int>,
    public val byRequest: Map<String, Int>
)

internal data class QueuedCall(val ticket: Long, val priority: Int)

internal data class LoadSample(val since: MonotonicTime, val running: Int, val queued: Int)

internal data class TargetState(
    val slots: Int,
    val queueLimit: Int,
    val loadLag: Duration,
    val faults: TargetFaults,
    val faultsEnd: MonotonicTime?,
    val nextTicket: Long = 0,
    val running: PersistentSet<Long> = persistentSetOf(),
    val waiting: PersistentList<QueuedCall> = persistentListOf(),
    val runs: PersistentList<RunRecord> = persistentListOf(),
    val samples: PersistentList<LoadSample> = persistentListOf(),
    val lastAnswer: RunAnswerMessage? = null
)

internal sealed interface Arrival {
    data class Admitted(val ticket: Long) : Arrival

    data object Busy : Arrival
}

internal fun TargetState.withFaults(faults: TargetFaults, now: MonotonicTime): TargetState {
    val end = if (faults.forMillis > 0) now + faults.forMillis.milliseconds else null
    return copy(faults = faults, faultsEnd = end)
}

internal fun TargetState.faultsAt(now: MonotonicTime): TargetFaults =
    if (faultsEnd != null && now >= faultsEnd) TargetFaults() else faults

/** Assigns a slot or a place in the queue, which is ordered by priority and then by arrival. */
internal fun TargetState.onArrive(
    priority: String,
    now: MonotonicTime
): Decision<TargetState, Arrival> {
    if (running.size + waiting.size >= slots + queueLimit) return decide(Arrival.Busy)
    val rank = (Priority.fromText(priority) ?: Priority.STANDARD).ordinal
    val position = waiting.indexOfFirst { it.priority > rank }.let {
        if (it < 0) {
            waiting.size
        } else {
            it
        }
    }
    return copy(
        nextTicket = nextTicket + 1,
        waiting = waiting.add(position, QueuedCall(nextTicket, rank))
    )
        .withFreeSlotsFilled()
        .withLoadSample(now)
        .decide(Arrival.Admitted(nextTicket))
}

/** Frees the slot, or the place in the queue, of [ticket]. */
internal fun TargetState.onEnd(ticket: Long, now: MonotonicTime): TargetState =
    copy(running = running.remove(ticket), waiting = waiting.removeAll { it.ticket == ticket })
        .withFreeSlotsFilled()
        .withLoadSample(now)

private fun TargetState.withFreeSlotsFilled(): TargetState {
    if (waiting.isEmpty() || running.size >= slots) return this
    val first = waiting.first()
    return copy(
        running = running.add(first.ticket),
        waiting = waiting.removeAt(0)
    ).withFreeSlotsFilled()
}

/** Records the current load; drops the samples that a delayed report can no longer show. */
private fun TargetState.withLoadSample(now: MonotonicTime): TargetState {
    val firstKept = samples.indexOfLast { now - it.since >= loadLag }.coerceAtLeast(0)
    val kept = samples.drop(firstKept).toPersistentList()
    return copy(samples = kept.add(LoadSample(now, running.size, waiting.size)))
}

/** Load that the target reports: a false one, or the actual one with a delay of the load lag. */
internal fun TargetState.loadAt(now: MonotonicTime): LoadMessage {
    faultsAt(now).falseLoad?.let { return it }
    val sample = samples.lastOrNull { now - it.since >= loadLag }
    val age = loadLag.inWholeMilliseconds
    return LoadMessage(sample?.running ?: 0, sample?.queued ?: 0, slots, age)
}

internal fun TargetState.toRunsMessage(): RunsMessage = RunsMessage(
    runs = runs,
    byKey = runs.mapNotNull { it.key }.groupingBy { it }.eachCount(),
    byRequest = runs.groupingBy { "${it.request}/${it.stage}" }.eachCount()
)
