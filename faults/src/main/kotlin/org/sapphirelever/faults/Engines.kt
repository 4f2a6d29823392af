/*
 * Simulated engines that the capacity controllers read and give orders to. Half of them honour
 * fencing numbers.
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

/** One engine; [loadedAt] is the time at which it finishes loading the model of its last order. */
internal class SimulatedEngine(val honoursFencing: Boolean) {
    var fencing = 0L
    var desired = EngineState("")
    var actual = EngineState("")
    var loadedAt = MonotonicTime.ZERO
}

/** All engines of the simulation, by endpoint. */
internal class SimulatedEngines(private val simulation: Simulation, endpoints: List<Endpoint>) {
    private val engines =
        endpoints.withIndex().associate { (index, at) -> at to SimulatedEngine(index % 2 == 0) }

    /** Lease holder that fault F11 pauses; its orders reach the engines [ORDER_DELAY] late. */
    var delayedHolder: SimulatedHost? = null

    val roles: List<String> get() = engines.values.map { it.desired.role }

    /** Clears the role of each engine, so that the lease holder has to give orders again. */
    fun forgetRoles() {
        engines.values.forEach { it.desired = it.desired.copy(role = "") }
    }

    /** Unloads the model of each engine, so that the engine has to load it again. */
    fun unloadModels() {
        engines.values.forEach {
            it.desired = EngineState("")
            it.actual = it.desired
        }
    }

    /** Gives each engine a late order of a former lease holder, with a lower fencing number. */
    fun orderWithOldFencing() {
        engines.values.forEach { take(it, OrderMessage(0, EngineState(MODEL, role = "stale"))) }
    }

    fun ordersOf(host: SimulatedHost): EngineOrders = object : EngineOrders {
        override suspend fun readBack(engine: Endpoint): EngineReport {
            host.awaitRunning()
            val simulated = engines.getValue(engine)
            if (simulation.clock.now() >= simulated.loadedAt) simulated.actual = simulated.desired
            val loading = simulated.actual.model != simulated.desired.model
            val state =
                EngineStateMessage(simulated.fencing, simulated.desired, simulated.actual, loading)
            return EngineReport(state, LoadMessage(SLOTS, 0, SLOTS, 0))
        }

        override suspend fun order(engine: Endpoint, message: OrderMessage): OrderResult {
            host.awaitRunning()
            val name = "${CapacityController.LEASE_PREFIX}${host.dataCentre}"
            simulation.recorder.sentOrders.add(
                SentOrder(
                    host.label,
                    message.fencing,
                    simulation.clock.now(),
                    simulation.platform.leaseEnd(name, host.label)
                )
            )
            if (delayedHolder === host) {
                simulation.effectiveFaults.add(Fault.F11)
                simulation.scope.launch { deliverLate(engine, message) }
                delay(ORDER_DELAY)
                return OrderResult.UNCLEAR
            }
            return take(engines.getValue(engine), message)
        }
    }

    private suspend fun deliverLate(engine: Endpoint, message: OrderMessage) {
        delay(ORDER_DELAY)
        take(engines.getValue(engine), message)
    }

    private fun take(engine: SimulatedEngine, message: OrderMessage): OrderResult {
        if (engine.honoursFencing && message.fencing < engine.fencing) return OrderResult.OUTDATED
        simulation.recorder.takenOrders.add(
            TakenOrder(engine.honoursFencing, engine.fencing, message.fencing)
        )
        engine.fencing = message.fencing
        if (engine.desired.model != message.desired.model) {
            engine.loadedAt = simulation.clock.now() + simulation.modelLoadTime
            if (simulation.modelLoadTime > LOAD_TIME) simulation.effectiveFaults.add(Fault.F19)
        }
        engine.desired = message.desired
        return OrderResult.TAKEN
    }

    companion object {
        const val MODEL = "model"
        val LOAD_TIME = 1.seconds
        private const val SLOTS = 8
        private val ORDER_DELAY = LEASE_PAUSE
    }
}
