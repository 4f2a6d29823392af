package org.sapphirelever.decisions.capacity

import kotlin.math.exp
import kotlin.math.max
import kotlin.random.Random
import kotlin.time.Duration.Companion.minutes
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.TargetId

/**
 * One service of 40 engines over several days with an evening peak that comes [drift] minutes later
 * each day. The peak rises from 4 to 30 engines with a standard deviation of [spread] minutes.
 * Noise is 5%. An engine that becomes standby is given to other work, so that raising the level
 * needs a load, which takes [LOAD_MINUTES] and is rate-limited by the weight store.
 */
class EveningPeakSimulation(
    private val spread: Double,
    private val drift: Int,
    private val seed: Int
) {
    /** [shortage] and [held] are engine-minutes; [attainment] is the share of minutes covered. */
    data class Result(
        val planner: String,
        val shortage: Double,
        val held: Int,
        val attainment: Double
    )

    fun run(planner: CapacityPlanner): Result {
        val random = Random(seed)
        var history = DemandHistory()
        var level = CapacityLevel(START_ENGINES)
        var pacing = LoadPacing()
        var engines = (1..ENGINES).map { view(it, if (it <= START_ENGINES) MODEL else "") }
        var loads = emptyMap<TargetId, Int>()
        var shortage = 0.0
        var held = 0
        var covered = 0
        for (minute in 0 until DAYS * DAY_MINUTES) {
            val now = MonotonicTime.ZERO + minute.minutes
            val moment = DayMoment(minute / DAY_MINUTES, minute % DAY_MINUTES)
            val demand = demand(moment) * (1 + NOISE * (2 * random.nextDouble() - 1))
            history = history.with(moment, demand)
            val requiredEngines = planner.requiredEngines(history, moment, demand)
            level = level.on(requiredEngines, 1..ENGINES, now, LIMITS)
            val decision = pacing.orders(engines, level.engines, MODEL, now, LIMITS)
            pacing = decision.state
            val orders = decision.actions.associate { it.engine to it.desired }
            engines = engines.map { it.copy(desired = orders[it.id] ?: it.desired) }
            loads = engines.filter { it.desired.model != it.actual.model }
                .associate { it.id to (loads[it.id] ?: (minute + LOAD_MINUTES)) }
            engines = engines.map { completeLoad(it, loads[it.id], minute) }
            if (minute >= WARM_UP_DAYS * DAY_MINUTES) {
                val serving = engines.count { it.actual.role == EngineRoles.SERVING }
                shortage += max(0.0, demand - serving)
                held += serving
                if (demand <= serving) covered++
            }
        }
        val minutes = (DAYS - WARM_UP_DAYS) * DAY_MINUTES
        return Result(planner.name, shortage, held, covered.toDouble() / minutes)
    }

    /** Ends a load that is due; a standby engine loses its model to other work. */
    private fun completeLoad(engine: EngineView, due: Int?, minute: Int): EngineView = when {
        engine.desired.role == EngineRoles.STANDBY -> {
            val released = EngineAssignment("", EngineRoles.STANDBY)
            engine.copy(desired = released, actual = released)
        }

        due == null || minute >= due -> engine.copy(actual = engine.desired)

        else -> engine
    }

    private fun demand(moment: DayMoment): Double {
        val distance = (moment.minute - PEAK_MINUTE - drift * moment.day) / spread
        return BASE + (PEAK - BASE) * exp(-distance * distance / 2)
    }

    private fun view(number: Int, model: String): EngineView {
        val role = if (model.isEmpty()) EngineRoles.STANDBY else EngineRoles.SERVING
        val held = EngineAssignment(model, role)
        return EngineView(TargetId("e%02d".format(number)), held, held)
    }

    private companion object {
        const val MODEL = "m"
        const val ENGINES = 40
        const val START_ENGINES = 5
        const val DAY_MINUTES = 24 * 60
        const val DAYS = 10
        const val WARM_UP_DAYS = 3
        const val LOAD_MINUTES = 3
        const val PEAK_MINUTE = 18 * 60
        const val BASE = 4.0
        const val PEAK = 30.0
        const val NOISE = 0.05
        val LIMITS = CapacityLimits(loadsPerMinute = 2, maximumConcurrentLoads = 4)
    }
}
