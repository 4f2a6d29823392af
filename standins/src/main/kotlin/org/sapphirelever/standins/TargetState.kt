/*
 * State that every target stand-in has: slots, queue by priority, record of runs, faults and the
 * history of its load. Transitions are pure.
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
 * @property slowFactor factor on the time of all work
 * @property silent accept calls and never answer them; on a stream after [faultAfterTokens] tokens
 * @property dropBefore break the connection before the run
 * @property dropAfter break the connection after the run; on a stream after [faultAfterTokens]
 * @property crossed answer with the answer to another call
 * @property lateMillis delay of each answer after the run
 * @property doubled send each answer, or each event of a stream, twice
 * @property truncated end the answer early; on a stream after [faultAfterTokens] tokens
 * @property refuse reason with which every call is refused, or empty
 * @property crashText input that contains this text ends the target, unless the text is empty
 * @property falseLoad load reported instead of the true one
 * @property forMillis time after which these faults end, 0 for never
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

/** All runs so far, and their number by key and by request and stage. */
@Serializable
public data class RunsMessage(
    public val runs: List<RunRecord>,
    public val byKey: Map<String, Int>,
    public val byRequest: Map<String, Int>
)

internal data class Waiter(val ticket: Long, val priority: Int)

internal data class LoadSample(val since: MonotonicTime, val running: Int, val queued: Int)

internal data class TargetState(
    val slots: Int,
    val queueLimit: Int,
    val loadLag: Duration,
    val faults: TargetFaults,
    val faultsEnd: MonotonicTime?,
    val nextTicket: Long = 0,
    val running: PersistentSet<Long> = persistentSetOf(),
    val waiting: PersistentList<Waiter> = persistentListOf(),
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

/** Gives a call a slot or a place in the queue, where an earlier priority class goes first. */
internal fun TargetState.onArrive(
    priority: String,
    now: MonotonicTime
): Decision<TargetState, Arrival> {
    if (running.size + waiting.size >= slots + queueLimit) return decide(Arrival.Busy)
    val rank = (Priority.fromText(priority) ?: Priority.STANDARD).ordinal
    val behind = waiting.indexOfFirst { it.priority > rank }.let {
        if (it <
            0
        ) {
            waiting.size
        } else {
            it
        }
    }
    return copy(
        nextTicket = nextTicket + 1,
        waiting = waiting.add(behind, Waiter(nextTicket, rank))
    )
        .promoted()
        .sampled(now)
        .decide(Arrival.Admitted(nextTicket))
}

/** Frees the slot or the place in the queue of [ticket]. */
internal fun TargetState.onEnd(ticket: Long, now: MonotonicTime): TargetState =
    copy(running = running.remove(ticket), waiting = waiting.removeAll { it.ticket == ticket })
        .promoted()
        .sampled(now)

private fun TargetState.promoted(): TargetState {
    if (waiting.isEmpty() || running.size >= slots) return this
    val first = waiting.first()
    return copy(running = running.add(first.ticket), waiting = waiting.removeAt(0)).promoted()
}

/** Records the load; keeps the samples that a report with the lag can still show. */
private fun TargetState.sampled(now: MonotonicTime): TargetState {
    val shown = samples.indexOfLast { now - it.since >= loadLag }.coerceAtLeast(0)
    val kept = samples.drop(shown).toPersistentList()
    return copy(samples = kept.add(LoadSample(now, running.size, waiting.size)))
}

/** Load as the target reports it: as it was one lag ago. */
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
