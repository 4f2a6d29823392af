package org.sapphirelever.load.experiment

import kotlin.test.Test
import kotlin.test.assertTrue

/** Guards against requests that wait for what they cannot get, and against inversions of rank. */
class StageLoadSimulationTest {
    private val seeds = 1L..3L

    private fun figures(load: StageLoad): Map<RequestKind, KindFigures> {
        val runs = seeds.map { StageLoadSimulation(load, it).run() }
        return load.kinds.associateWith { kind ->
            runs.map { it.getValue(kind.name) }.reduce(KindFigures::plus)
        }
    }

    @Test
    fun `what cannot be served is refused on arrival and the less urgent first`() {
        for ((name, load) in StageLoads.all) {
            val figures = figures(load)
            figures.forEach { (kind, sum) -> println("$name, ${kind.name}: $sum") }
            val byRank = figures.entries.sortedBy { it.key.rank }.map { it.value }
            // The most urgent kind alone stays within the capacity in each of these loads.
            assertTrue(byRank.first().inTimeShare >= SERVED_SHARE, "$name: most urgent")
            byRank.zipWithNext().forEach { (urgent, other) ->
                assertTrue(urgent.refusedShare <= other.refusedShare, "$name: inversion")
            }
            byRank.forEach {
                assertTrue(it.failedLate <= it.requests * FORECAST_ERROR, "$name: held in vain")
            }
        }
    }

    private companion object {
        const val SERVED_SHARE = 0.99

        /** Share of requests for which an admission on arrival may be wrong. */
        const val FORECAST_ERROR = 0.05
    }
}
