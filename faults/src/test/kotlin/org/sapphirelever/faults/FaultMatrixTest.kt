package org.sapphirelever.faults

import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.runTest
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.MonotonicTime

/** Guards the invariants R1 to R8 against each fault and fault pair at each step of a request. */
@OptIn(ExperimentalCoroutinesApi::class)
class FaultMatrixTest {
    @Test
    fun `the invariants hold in every cell`() {
        val results = CELLS.associateWith(::resultOf)
        val failed = results.filterValues { it is CellResult.Fail }
        System.getenv("FAULT_MATRIX_REPORT")?.let { path ->
            File(path).writeText(matrixReport(results, SEED))
        }
        val text = failed.entries.joinToString("\n") { (cell, result) -> "$cell: $result" }
        assertTrue(failed.isEmpty(), "${failed.size} of ${results.size} cells:\n$text")
        // Only a fault of a single call can occur after that call has ended and so have no effect.
        val open = results.filterValues { it is CellResult.NotProved }.keys
        assertEquals(emptySet(), open.filter { it.faults.none(CALL_FAULTS::contains) }.toSet())
        assertEquals((Fault.entries.size + PAIRS.size) * 18, results.size)
    }

    private fun resultOf(cell: Cell): CellResult {
        var result: CellResult = CellResult.NotProved("the run did not end")
        runTest {
            val dispatcher = StandardTestDispatcher(testScheduler)
            val clock = MonotonicClock { MonotonicTime(testScheduler.currentTime * 1_000_000) }
            result = runCell(cell, clock, dispatcher, SEED).judge()
        }
        return result
    }

    private companion object {
        val CALL_FAULTS = setOf(Fault.F3, Fault.F4, Fault.F6, Fault.F13, Fault.F16)
        const val SEED = 20_261_204
    }
}
