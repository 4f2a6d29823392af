/*
 * Capacity of one service in one data centre: how many engines serve it, with hysteresis, and the
 * orders to the engines, with model loads limited to what the weight store can deliver.
 */
package org.sapphirelever.decisions.capacity

import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.TargetId
import org.sapphirelever.decisions.Decision

/** State of an engine, as ordered or as reported by the engine. */
public data class EngineAssignment(
    public val model: String,
    public val role: String,
    public val adapter: String = "",
    public val version: String = ""
)

/** Roles of engines. A standby engine keeps its model and can still answer calls. */
public object EngineRoles {
    public const val SERVING: String = "serving"
    public const val STANDBY: String = "standby"
}

/** Report of an engine. [demand] is its running and queued calls as a share of its slots. */
public data class EngineView(
    public val id: TargetId,
    public val desired: EngineAssignment,
    public val actual: EngineAssignment,
    public val demand: Double = 0.0
) {
    internal val loading: Boolean get() = desired.model != actual.model
}

/**
 * Limits of a plan.
 *
 * @property scaleDownDelay time for which fewer engines must suffice before some become standby
 * @property scaleDownMargin reserve that a lower level must keep, as a share of required engines
 * @property loadsPerMinute model loads that may start in a minute
 * @property maximumConcurrentLoads model loads in progress at once
 */
public data class CapacityLimits(
    public val scaleDownDelay: Duration = 10.minutes,
    public val scaleDownMargin: Double = 0.15,
    public val loadsPerMinute: Int = 6,
    public val maximumConcurrentLoads: Int = 4
)

/** Number of engines in the serving role, and the time since which fewer suffice. */
public data class CapacityLevel(
    public val engines: Int = 0,
    public val excessSince: MonotonicTime? = null
)

/** Starts of recent model loads, over all services of the data centre. */
public data class LoadPacing(public val starts: PersistentList<MonotonicTime> = persistentListOf())

/** Order to [engine] to reach the state [desired]. */
public data class EngineOrder(public val engine: TargetId, public val desired: EngineAssignment)

/**
 * Raises the level at once. Lowers it only after fewer engines have sufficed, with the margin, for
 * [CapacityLimits.scaleDownDelay].
 */
public fun CapacityLevel.on(
    requiredEngines: Double,
    available: IntRange,
    now: MonotonicTime,
    limits: CapacityLimits
): CapacityLevel {
    val needed = ceil(requiredEngines).toInt().coerceIn(available)
    val kept = ceil(requiredEngines * (1 + limits.scaleDownMargin)).toInt().coerceIn(available)
    val level = engines.coerceIn(available)
    if (needed > level) return CapacityLevel(needed)
    if (kept >= level) return CapacityLevel(level)
    val since = excessSince ?: now
    return if (now - since >= limits.scaleDownDelay) {
        CapacityLevel(kept)
    } else {
        CapacityLevel(level, since)
    }
}

/**
 * Orders that bring [engines] to the [level]: engines that already have the model serve first. An
 * order that needs a model load is left to a later round while the limits on loads are reached.
 */
public fun LoadPacing.orders(
    engines: List<EngineView>,
    level: Int,
    model: String,
    now: MonotonicTime,
    limits: CapacityLimits
): Decision<LoadPacing, EngineOrder> {
    var pacing = LoadPacing(starts.filter { now - it < PACING_WINDOW }.toPersistentList())
    var loading = engines.count { it.loading }
    var orders = persistentListOf<EngineOrder>()
    val ranked = engines.sortedWith(preference(model))
    ranked.forEachIndexed { rank, engine ->
        val assignment = engine.assignment(rank < level, model)
        val needsLoad = assignment.model != engine.desired.model
        val mayLoad = pacing.starts.size < limits.loadsPerMinute &&
            loading < limits.maximumConcurrentLoads
        if (assignment != engine.desired && (!needsLoad || mayLoad)) {
            orders = orders.add(EngineOrder(engine.id, assignment))
            if (needsLoad) {
                pacing = LoadPacing(pacing.starts.add(now))
                loading++
            }
        }
    }
    return Decision(pacing, orders)
}

/** A standby engine keeps its model: releasing it saves nothing and costs a load later. */
private fun EngineView.assignment(serving: Boolean, model: String): EngineAssignment =
    if (serving) {
        EngineAssignment(model, EngineRoles.SERVING)
    } else {
        val kept = if (desired.model.isEmpty()) "" else model
        EngineAssignment(kept, EngineRoles.STANDBY)
    }

private fun preference(model: String): Comparator<EngineView> =
    compareByDescending<EngineView> { it.actual.model == model }
        .thenByDescending { it.desired.model == model }
        .thenByDescending { it.desired.role == EngineRoles.SERVING }
        .thenBy { it.id.value }

private val PACING_WINDOW = 1.minutes
