/*
 * Engines as the capacity controllers see them. Half of them honour fencing numbers.
 */
package org.sapphirelever.faults

import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.runtime.capacity.CapacityController
import org.sapphirelever.runtime.capacity.EngineOrders
import org.sapphirelever.runtime.capacity.EngineReport
import org.sapphirelever.runtime.capacity.OrderResult
import org.sapphirelever.wire.EngineState
import org.sapphirelever.wire.EngineStateMessage
import org.sapphirelever.wire.LoadMessage
import org.sapphirelever.wire.OrderMessage

/** One engine; [loadedAt] is the time at which the model of its last order is loaded. */
internal class WorldEngine(val honours: Boolean) {
    var fencing = 0L
    var desired = EngineState("")
    var actual = EngineState("")
    var loadedAt = MonotonicTime.ZERO
}

/** All engines of the world, by endpoint. */
internal class WorldEngines(private val world: World, endpoints: List<Endpoint>) {
    private val engines =
        endpoints.withIndex().associate { (index, at) -> at to WorldEngine(index % 2 == 0) }

    /** Orders of this holder wait here until the holder continues, then arrive late. */
    var delayedHolder: WorldHost? = null

    val roles: List<String> get() = engines.values.map { it.desired.role }

    /** Each engine forgets its role, so that the holder of the lease has to give orders. */
    fun drift() {
        engines.values.forEach { it.desired = it.desired.copy(role = "") }
    }

    /** Each engine loses its model and has to load it again. */
    fun unload() {
        engines.values.forEach {
            it.desired = EngineState("")
            it.actual = it.desired
        }
    }

    /** An order of a holder long gone reaches each engine. */
    fun orderWithOldFencing() {
        engines.values.forEach { take(it, OrderMessage(0, EngineState(MODEL, role = "stale"))) }
    }

    fun callsOf(host: WorldHost): EngineOrders = object : EngineOrders {
        override suspend fun readBack(engine: Endpoint): EngineReport {
            host.checkpoint()
            val at = engines.getValue(engine)
            if (world.clock.now() >= at.loadedAt) at.actual = at.desired
            val loading = at.actual.model != at.desired.model
            val state = EngineStateMessage(at.fencing, at.desired, at.actual, loading)
            return EngineReport(state, LoadMessage(SLOTS, 0, SLOTS, 0))
        }

        override suspend fun order(engine: Endpoint, message: OrderMessage): OrderResult {
            host.checkpoint()
            val name = "${CapacityController.LEASE_PREFIX}${host.dataCentre}"
            world.recorder.sent.add(
                SentOrder(
                    host.label,
                    message.fencing,
                    world.clock.now(),
                    world.platform.leaseEnd(name, host.label)
                )
            )
            if (delayedHolder === host) {
                world.effects.add(Fault.F11)
                world.network.launch { arriveLate(engine, message) }
                delay(ORDER_DELAY)
                return OrderResult.UNCLEAR
            }
            return take(engines.getValue(engine), message)
        }
    }

    private suspend fun arriveLate(engine: Endpoint, message: OrderMessage) {
        delay(ORDER_DELAY)
        take(engines.getValue(engine), message)
    }

    private fun take(engine: WorldEngine, message: OrderMessage): OrderResult {
        if (engine.honours && message.fencing < engine.fencing) return OrderResult.OUTDATED
        world.recorder.taken.add(TakenOrder(engine.honours, engine.fencing, message.fencing))
        engine.fencing = message.fencing
        if (engine.desired.model != message.desired.model) {
            engine.loadedAt = world.clock.now() + world.loadTime
            if (world.loadTime > NORMAL_LOAD) world.effects.add(Fault.F19)
        }
        engine.desired = message.desired
        return OrderResult.TAKEN
    }

    companion object {
        const val MODEL = "model"
        val NORMAL_LOAD = 1.seconds
        private const val SLOTS = 8
        private val ORDER_DELAY = LEASE_PAUSE
    }
}
