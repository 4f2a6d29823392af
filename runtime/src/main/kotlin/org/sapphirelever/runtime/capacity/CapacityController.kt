/*
 * Capacity controller of a data centre. One supervised task holds the lease, reads the state of the
 * engines, plans, and sends orders. By its own clock, it stops sending before the lease ends.
 */
package org.sapphirelever.runtime.capacity

import java.time.LocalDateTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.resource.Service
import org.sapphirelever.core.resource.ServiceKind
import org.sapphirelever.decisions.capacity.CapacityLevel
import org.sapphirelever.decisions.capacity.CapacityLimits
import org.sapphirelever.decisions.capacity.CapacityPlanner
import org.sapphirelever.decisions.capacity.DayMoment
import org.sapphirelever.decisions.capacity.DemandHistory
import org.sapphirelever.decisions.capacity.EngineAssignment
import org.sapphirelever.decisions.capacity.EngineOrder
import org.sapphirelever.decisions.capacity.EngineRoles
import org.sapphirelever.decisions.capacity.EngineView
import org.sapphirelever.decisions.capacity.ForecastPlanner
import org.sapphirelever.decisions.capacity.LoadPacing
import org.sapphirelever.decisions.capacity.on
import org.sapphirelever.decisions.capacity.orders
import org.sapphirelever.decisions.configuration.ConfigurationState
import org.sapphirelever.decisions.lease.LeaseTimings
import org.sapphirelever.decisions.routing.RoutingState
import org.sapphirelever.runtime.lease.LeaseHolder
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.runtime.store.Platform
import org.sapphirelever.wire.EngineState
import org.sapphirelever.wire.LoadMessage
import org.sapphirelever.wire.OrderMessage

/** A service and its engines in the data centre of the controller, with their addresses. */
public data class EngineGroup(
    public val service: Service,
    public val engines: Map<TargetId, Endpoint>
)

/** Engine services of [dataCentre] by the configuration and the list of targets. */
public fun engineGroups(
    dataCentre: DataCentre,
    configuration: ConfigurationState,
    routing: RoutingState
): List<EngineGroup> {
    val local = routing.targets.values.filter { it.dataCentre == dataCentre && !it.leaving }
    return configuration.inForce.services.values
        .filter { it.type == ServiceKind.ENGINE && it.model.isNotEmpty() }
        .map { service ->
            val engines = local.filter { it.service == service.name }
            EngineGroup(service, engines.associate { it.id to it.endpoint })
        }.filter { it.engines.isNotEmpty() }
}

/** Current day and minute by the wall clock, which only the forecast uses. */
public fun wallClockMoment(): DayMoment = LocalDateTime.now().let {
    DayMoment(it.toLocalDate().toEpochDay().toInt(), it.hour * MINUTES_PER_HOUR + it.minute)
}

private const val MINUTES_PER_HOUR = 60

/**
 * Settings and inputs of a controller.
 *
 * @property holder name of this process, unique among all processes
 * @property groups engines to control, evaluated in each control interval
 * @property contends whether this process may acquire the lease
 * @property moment current day and minute, for the forecast
 * @property leaseTimings durations of the lease; a new holder waits longer than [orderTimeout]
 *   before its first order, since an engine that ignores fencing numbers must have received the
 *   last order of the former holder by then
 * @property orderTimeout timeout of an order or a read-back
 */
public data class CapacitySettings(
    public val dataCentre: DataCentre,
    public val holder: String,
    public val groups: () -> List<EngineGroup>,
    public val contends: () -> Boolean = { true },
    public val moment: () -> DayMoment = ::wallClockMoment,
    public val planner: CapacityPlanner = ForecastPlanner(),
    public val limits: CapacityLimits = CapacityLimits(),
    public val leaseTimings: LeaseTimings = CAPACITY_LEASE,
    public val orderTimeout: Duration = 3.seconds
)

/** The margin covers an order in flight (3 s) and a pause between the lease check and sending. */
private val CAPACITY_LEASE =
    LeaseTimings(
        timeToLive = 15.seconds,
        margin = 5.seconds,
        renewEvery = 3.seconds,
        retryRenewalEvery = 1.seconds,
        acquireEvery = 5.seconds,
        firstActDelay = 8.seconds
    )

/** Controls the engines of one data centre while it holds the lease. */
public class CapacityController(
    private val settings: CapacitySettings,
    platform: Platform,
    private val engineOrders: EngineOrders,
    private val clock: MonotonicClock
) {
    private val lease =
        LeaseHolder(
            platform,
            "$LEASE_PREFIX${settings.dataCentre}",
            settings.holder,
            clock,
            settings.leaseTimings
        )
    private var pacing = LoadPacing()
    private var levels: PersistentMap<ServiceName, CapacityLevel> = persistentMapOf()
    private var histories: PersistentMap<ServiceName, DemandHistory> = persistentMapOf()

    /** Runs until it is cancelled. */
    public suspend fun run() {
        while (true) {
            val groups = settings.groups()
            if (groups.isNotEmpty()) {
                keepLease()
                groups.forEach { control(it) }
            }
            delay(CONTROL_INTERVAL)
        }
    }

    /** Releases the lease at a planned stop; an order in flight still ends within its timeout. */
    public suspend fun release() {
        lease.release()
    }

    private suspend fun control(group: EngineGroup) {
        if (lease.fencing == null) return
        val views = readBack(group)
        if (views.isEmpty()) return
        val service = group.service
        val demand = views.sumOf { it.demand }
        val moment = settings.moment()
        val history = (histories[service.name] ?: DemandHistory()).with(moment, demand)
        histories = histories.put(service.name, history)
        val requiredEngines = settings.planner.requiredEngines(history, moment, demand)
        val available = service.minimumTargets.coerceAtMost(views.size)..views.size
        val level =
            (levels[service.name] ?: currentLevel(views))
                .on(requiredEngines, available, clock.now(), settings.limits)
        levels = levels.put(service.name, level)
        val decision =
            pacing.orders(views, level.engines, service.model, clock.now(), settings.limits)
        pacing = decision.state
        decision.actions.chunked(MAXIMUM_CONCURRENT_CALLS).forEach { send(group, it) }
    }

    /** Initial level of a new holder, so that a change of holder does not lower the capacity. */
    private fun currentLevel(views: List<EngineView>): CapacityLevel =
        CapacityLevel(views.count { it.desired.role == EngineRoles.SERVING })

    /** State of the engines that answer; renews the lease before each chunk of calls. */
    private suspend fun readBack(group: EngineGroup): List<EngineView> =
        group.engines.entries.chunked(MAXIMUM_CONCURRENT_CALLS).flatMap { chunk ->
            keepLease()
            coroutineScope {
                chunk
                    .map { (id, endpoint) ->
                        async {
                            withTimeoutOrNull(settings.orderTimeout) {
                                engineOrders.readBack(endpoint)
                            }?.let { toView(id, it) }
                        }
                    }.awaitAll()
                    .filterNotNull()
            }
        }

    private suspend fun send(group: EngineGroup, orders: List<EngineOrder>) {
        keepLease()
        coroutineScope {
            orders.forEach { order ->
                val endpoint = group.engines.getValue(order.engine)
                async { send(endpoint, order) }
            }
        }
    }

    /** Sends one order if this process may still act under the lease by its own clock. */
    private suspend fun send(endpoint: Endpoint, order: EngineOrder) {
        val fencing = lease.fencing ?: return
        val message = OrderMessage(fencing.value, order.desired.toMessage())
        val result =
            withTimeoutOrNull(settings.orderTimeout) { engineOrders.order(endpoint, message) }
                ?: OrderResult.UNCLEAR
        logEvent("engine-order") {
            "engine" to order.engine
            "model" to order.desired.model
            "role" to order.desired.role
            "fencing" to fencing
            "result" to result
        }
    }

    /** A holder that no longer contends renews its lease until it is released or expires. */
    private suspend fun keepLease() {
        lease.keep(eligible = lease.isHeld || settings.contends())
    }

    public companion object {
        /** Prefix of the lease name of a controller; the name of its data centre follows. */
        public const val LEASE_PREFIX: String = "sapphirelever/capacity/"
        private const val MAXIMUM_CONCURRENT_CALLS = 32
        private val CONTROL_INTERVAL = 1.seconds
    }
}

private fun toView(id: TargetId, report: EngineReport): EngineView = EngineView(
    id = id,
    desired = report.state.desired.toAssignment(),
    actual = report.state.actual.toAssignment(),
    demand = report.load.demand
)

private val LoadMessage.demand: Double
    get() = if (slots > 0) (running + queued).toDouble() / slots else 0.0

private fun EngineState.toAssignment(): EngineAssignment =
    EngineAssignment(model, role, adapter, version)

private fun EngineAssignment.toMessage(): EngineState = EngineState(model, adapter, version, role)
