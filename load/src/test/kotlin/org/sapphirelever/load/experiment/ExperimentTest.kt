package org.sapphirelever.load.experiment

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Tag

/**
 * Checks that the chosen approach meets the bounds of the experiments and that it beats every
 * baseline with a slow target. Virtual time makes runs repeatable.
 */
class ExperimentTest {
    @Test
    fun `the chosen approach meets its bounds on both deployments`() {
        val experiments = listOf(
            SurgeExperiment,
            LongWorkExperiment.UNCONTENDED,
            SlowTargetExperiment
        )
        val rows = experiments.flatMap {
            runExperiment(it, SEED, approaches = listOf(CHOSEN_APPROACH))
        }
        assertEquals(emptyList(), rows.filter { it.missed.isNotEmpty() })
    }

    @Test
    fun `the p99 with a slow target is below every baseline`() {
        for (deployment in DEPLOYMENTS) {
            val rows = runExperiment(SlowTargetExperiment, SEED, listOf(deployment))
            val p99 = rows.associate { it.approach to it.figures.getValue("p99 with ms") }
            val best = (p99 - CHOSEN_APPROACH.name).values.min()
            assertTrue(p99.getValue(CHOSEN_APPROACH.name) < best, "${deployment.name}: $p99")
        }
    }

    @Test
    @Tag("known-red")
    fun `long work does not block short requests when slots are few`() {
        val rows =
            runExperiment(LongWorkExperiment.CONTENDED, SEED, approaches = listOf(CHOSEN_APPROACH))
        assertEquals(emptyList(), rows.filter { it.missed.isNotEmpty() })
    }

    private companion object {
        const val SEED = 7L
    }
}
