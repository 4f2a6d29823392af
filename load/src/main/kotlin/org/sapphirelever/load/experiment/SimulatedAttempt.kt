/*
 * Requests of the simulation of stages.
 */
package org.sapphirelever.load.experiment

import kotlin.time.Duration
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.forwarding.TargetRecord
import org.sapphirelever.decisions.forwarding.stagePredecessors

/** A request of a caller, over all its attempts, with [counts] pieces of its stages. */
internal class SimulatedCaller(
    val kind: RequestKind,
    val counts: List<Int>,
    val arrivedAt: MonotonicTime
) {
    val deadline = arrivedAt + kind.deadline
    var attempts = 0
    var work = Duration.ZERO
}

/** One attempt of [caller], with the results of its stages. */
internal class SimulatedAttempt(
    val caller: SimulatedCaller,
    val id: String,
    val origin: DataCentre,
    val startedAt: MonotonicTime
) {
    val predecessors = stagePredecessors(caller.kind.stages, caller.counts)
    val started = mutableSetOf<Int>()
    val announced = mutableSetOf<Int>()
    val open = caller.counts.toMutableList()
    val results = caller.counts.map { mutableListOf<HeldResult>() }
    var hasEnded = false

    fun isDone(stage: Int): Boolean = open[stage] == 0
}

/** One piece of [stage] of [attempt]. */
internal class StagedPiece(val attempt: SimulatedAttempt, val stage: Int)

/** Accounts for the capacity that results occupy. */
internal fun interface ResultHolder {
    fun release(result: HeldResult)
}

/** A result of [holder] that occupies capacity of [target] until it is released. */
internal class HeldResult(val holder: ResultHolder, val target: TargetRecord, val bytes: Long) {
    var isHeld = true
}
