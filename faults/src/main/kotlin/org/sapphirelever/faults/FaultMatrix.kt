/*
 * Runs the cells of the fault matrix and judges their records.
 */
package org.sapphirelever.faults

import kotlin.coroutines.CoroutineContext
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import org.sapphirelever.core.MonotonicClock

public sealed interface CellResult {
    public data object Pass : CellResult

    public data class Fail(public val violations: List<String>) : CellResult

    public data class NotProved(public val reason: String) : CellResult
}

/** Runs [cell] on the virtual time of the dispatcher in [context], which [clock] must read. */
public suspend fun runCell(
    cell: Cell,
    clock: MonotonicClock,
    context: CoroutineContext,
    seed: Int
): RunRecord {
    val simulation = Simulation(cell, clock, context, seed)
    try {
        simulation.start()
        val callers = Callers(simulation)
        callers.sendVictim()
        // The longest fault lasts 60 s; the hosts then have 10 s to adopt the last revision.
        delay(RECOVERY_TIME)
        simulation.poisonedInput = null
        val bystander = callers.sendBystander()
        return simulation.recorder.record(
            cell,
            simulation.stepReached,
            simulation.finalState(bystander)
        )
    } finally {
        simulation.close()
    }
}

private val RECOVERY_TIME = 90.seconds

/**
 * Judges one run. The cell is not proved if the request did not reach the step or if one of the
 * faults had no effect.
 */
public fun RunRecord.judge(): CellResult {
    val found = violations()
    val withoutEffect = cell.faults - finalState.effectiveFaults
    return when {
        found.isNotEmpty() -> CellResult.Fail(found)

        !stepReached -> CellResult.NotProved("the request did not reach the step")

        withoutEffect.isNotEmpty() ->
            CellResult.NotProved("nothing met ${withoutEffect.joinToString()}")

        else -> CellResult.Pass
    }
}
