package org.sapphirelever.load.experiment

import kotlin.test.Test

/** Guards against policies under load that cost callers their objective. */
class StageLoadSimulationTest {
    @Test
    fun `figures of each load`() {
        for ((name, load) in StageLoads.all) {
            val figures = SEEDS.map { StageLoadSimulation(load, it).run() }
            var earned = 0.0
            var owed = 0.0
            var lost = 0.0
            for (kind in load.kinds) {
                val sum = figures.map { it.getValue(kind.name) }.reduce(KindFigures::plus)
                println(
                    "$name ${kind.name}: requests ${sum.requests} in-time %.3f late %.3f refused %.3f again %.3f failed-late %.3f unused %.1f s".format(
                        sum.inTimeShare,
                        sum.late.toDouble() / sum.requests,
                        sum.refused.toDouble() / sum.requests,
                        sum.refusedAgain.toDouble() / sum.requests,
                        sum.failedLate.toDouble() / sum.requests,
                        sum.unusedWork.inWholeMilliseconds / 1000.0
                    )
                )
                earned += sum.inTime * kind.worth + sum.late * kind.lateWorth
                owed += sum.requests * kind.worth
                lost += sum.refusedAgain * kind.worth * 0.3
            }
            println("$name: earned %.3f, refused again costs %.3f".format(earned / owed, lost / owed))
        }
    }

    private companion object {
        val SEEDS = 1L..3L
    }
}
