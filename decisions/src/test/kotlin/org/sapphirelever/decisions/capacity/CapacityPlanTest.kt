package org.sapphirelever.decisions.capacity

import kotlin.math.ceil
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.DoubleRange
import net.jqwik.api.constraints.IntRange as Ints
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.TargetId

/** Guards against a plan that flaps, loses its reserve or overloads the weight store. */
class CapacityPlanTest {
    private val limits = CapacityLimits()

    @Property(tries = 300, seed = "4801")
    fun `demand that varies within the margin does not change the level`(
        @ForAll @DoubleRange(min = 1.0, max = 40.0) base: Double,
        @ForAll seed: Long
    ) {
        val random = Random(seed)
        val start = CapacityLevel(ceil(base * (1 + limits.scaleDownMargin)).toInt())
        (0 until MINUTES).fold(start) { level, minute ->
            val requiredEngines = base * (1 + limits.scaleDownMargin * random.nextDouble())
            level.on(requiredEngines, 1..100, at(minute), limits).also {
                assertEquals(start.engines, it.engines, "minute $minute")
            }
        }
    }

    @Property(tries = 300, seed = "4802")
    fun `the level covers what is wanted and falls only after the delay`(@ForAll seed: Long) {
        val random = Random(seed)
        val planner = ReactivePlanner()
        var level = CapacityLevel()
        var lowered = MonotonicTime.ZERO - limits.scaleDownDelay
        repeat(MINUTES) { minute ->
            val demand = random.nextDouble(MAXIMUM_DEMAND)
            val moment = DayMoment(1, minute)
            val requiredEngines = planner.requiredEngines(DemandHistory(), moment, demand)
            assertTrue(requiredEngines >= demand * (1 + ReactivePlanner.DEFAULT_RESERVE))
            val next = level.on(requiredEngines, 1..50, at(minute), limits)
            assertTrue(
                next.engines >= minOf(50, ceil(requiredEngines).toInt()),
                "reserve at $minute"
            )
            if (next.engines < level.engines) {
                assertTrue(at(minute) - lowered >= limits.scaleDownDelay, "flaps at $minute")
                lowered = at(minute)
            }
            level = next
        }
    }

    @Property(tries = 300, seed = "4803")
    fun `loads stay within their limits and orders stop at the desired state`(
        @ForAll @Ints(min = 1, max = 30) count: Int,
        @ForAll @Ints(min = 0, max = 30) level: Int,
        @ForAll seed: Long
    ) {
        val random = Random(seed)
        var pacing = LoadPacing()
        var engines =
            (1..count).map {
                val held = EngineAssignment(listOf("", "m", "other").random(random), "")
                EngineView(TargetId("e$it"), held, held)
            }
        var starts = emptyList<Int>()
        for (second in 0 until SECONDS) {
            val now = MonotonicTime.ZERO + second.seconds
            val decision = pacing.orders(engines, level, "m", now, limits)
            pacing = decision.state
            val desired = decision.actions.associate { it.engine to it.desired }
            engines =
                engines.map { engine ->
                    val next = desired[engine.id] ?: engine.desired
                    if (next.model != engine.desired.model) starts = starts + second
                    val loaded = random.nextInt(5) == 0
                    val actual = if (loaded ||
                        next.model == engine.actual.model
                    ) {
                        next
                    } else {
                        engine.actual
                    }
                    engine.copy(desired = next, actual = actual)
                }
            assertTrue(
                engines.count { it.desired.model != it.actual.model } <=
                    limits.maximumConcurrentLoads
            )
            assertTrue(starts.count { second - it < 60 } <= limits.loadsPerMinute)
        }
        val serving = engines.count { it.actual == EngineAssignment("m", EngineRoles.SERVING) }
        assertEquals(minOf(level, count), serving)
        val last = MonotonicTime.ZERO + SECONDS.seconds
        assertEquals(emptyList(), pacing.orders(engines, level, "m", last, limits).actions)
    }

    /** Figures in docs/design/capacity-plan.md come from the lines that this test prints. */
    @Test
    fun `the forecast never leaves more shortage than the reactive plan`() {
        val shortages =
            listOf(25.0, 15.0, 10.0).flatMap { spread ->
                listOf(0, 3, 10).map { drift -> compare(spread, drift) }
            }
        shortages.forEach { (reactive, forecast) -> assertTrue(forecast <= reactive, "$shortages") }
        assertTrue(shortages.sumOf { it.second } < shortages.sumOf { it.first }, "$shortages")
    }

    private fun compare(spread: Double, drift: Int): Pair<Double, Double> {
        val simulation = EveningPeakSimulation(spread, drift, seed = 48)
        val results = listOf(ReactivePlanner(), ForecastPlanner()).map(simulation::run)
        results.forEach { println("spread=$spread drift=$drift $it") }
        return results[0].shortage to results[1].shortage
    }

    private fun at(minute: Int): MonotonicTime = MonotonicTime.ZERO + minute.minutes

    private companion object {
        const val SECONDS = 1_200
        const val MINUTES = 200
        const val MAXIMUM_DEMAND = 60.0
    }
}
