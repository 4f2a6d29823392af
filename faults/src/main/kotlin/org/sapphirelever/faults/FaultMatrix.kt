/*
 * Runs cells of the fault matrix and reports them.
 */
package org.sapphirelever.faults

import kotlin.coroutines.CoroutineContext
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import org.sapphirelever.core.MonotonicClock

/** Result of a cell. */
public sealed interface CellResult {
    public data object Pass : CellResult

    public data class Fail(public val violations: List<String>) : CellResult

    public data class NotProved(public val reason: String) : CellResult
}

/** Runs [cell] on the time of [clock], which the dispatcher in [context] drives. */
public suspend fun runCell(
    cell: Cell,
    clock: MonotonicClock,
    context: CoroutineContext,
    seed: Int
): RunRecord {
    val world = World(cell, clock, context, seed)
    try {
        world.start()
        val callers = Callers(world)
        callers.victim()
        // The longest fault lasts 60 s; hosts then have 10 s to reach the last revision.
        delay(RECOVERY)
        world.poison = null
        val bystander = callers.bystander()
        return world.recorder.record(cell, world.reached, world.finalState(bystander))
    } finally {
        world.close()
    }
}

private val RECOVERY = 90.seconds

/** Judges one run. A step never reached, or a fault never met, proves nothing. */
public fun RunRecord.judge(): CellResult {
    val found = violations()
    val unmet = cell.faults - final.effects
    return when {
        found.isNotEmpty() -> CellResult.Fail(found)
        !reached -> CellResult.NotProved("the request did not reach the step")
        unmet.isNotEmpty() -> CellResult.NotProved("nothing met ${unmet.joinToString()}")
        else -> CellResult.Pass
    }
}
