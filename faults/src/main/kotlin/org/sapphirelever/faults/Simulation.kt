/*
 * Simulation of three entry hosts in two data centres, with targets, platform and engines in
 * memory. Everything runs on the virtual time of the caller's dispatcher.
 */
package org.sapphirelever.faults

import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CopyOnWriteArraySet
import kotlin.coroutines.CoroutineContext
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.Incarnation
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.resource.Configuration
import org.sapphirelever.core.resource.ServiceKind
import org.sapphirelever.core.resource.configuration
import org.sapphirelever.decisions.capacity.CapacityPlanner
import org.sapphirelever.decisions.capacity.DayMoment
import org.sapphirelever.decisions.capacity.DemandHistory
import org.sapphirelever.decisions.configuration.TargetHealth
import org.sapphirelever.decisions.configuration.TargetListEvent
import org.sapphirelever.decisions.routing.Target
import org.sapphirelever.runtime.capacity.EngineGroup
import org.sapphirelever.runtime.feed.CONFIGURATION_KEY
import org.sapphirelever.runtime.feed.Change
import org.sapphirelever.runtime.feed.toConfiguration
import org.sapphirelever.runtime.keys.ForwardResult
import org.sapphirelever.runtime.keys.KeyForwarder
import org.sapphirelever.runtime.keys.KeyOwner
import org.sapphirelever.standins.MemoryPlatform
import org.sapphirelever.wire.OutcomeMessage
import org.sapphirelever.wire.RequestMessage

/** Length of the pause of a host, longer than a lease of 15 s. */
internal val LEASE_PAUSE: Duration = 20.seconds

internal class Simulation(
    val cell: Cell,
    val clock: MonotonicClock,
    private val context: CoroutineContext,
    private val seed: Int
) {
    val scope = CoroutineScope(context + SupervisorJob())
    val recorder = Recorder()
    val platform = MemoryPlatform(clock)
    val exitCodes = CopyOnWriteArrayList<Int>()
    val successors = mutableMapOf<Incarnation, SimulatedHost>()
    val planner = object : CapacityPlanner {
        override val name = "all"

        override fun requiredEngines(history: DemandHistory, now: DayMoment, demand: Double) =
            demand
    }
    val moment = DayMoment(1, 1)
    private val faults = FaultActions(this)
    private val targets: Map<TargetId, SimulatedTarget> = allTargets().associateBy { it.target.id }
    private val engineGroups: Map<DataCentre, List<EngineGroup>>
    val engines: SimulatedEngines
    var hosts: List<SimulatedHost> = emptyList()
        private set
    private var startedHosts: List<SimulatedHost> = emptyList()
    var isPartitioned = false
    var poisonedInput: String? = null
    var crashedTargets = 0
    var modelLoadTime: Duration = SimulatedEngines.LOAD_TIME
    val effectiveFaults = CopyOnWriteArraySet<Fault>()
    var stepReached = false
        private set
    private var processCount = 0
    private var lastCalledTarget: SimulatedTarget? = null
    private var delisted: Set<SimulatedTarget> = emptySet()
    private var deferredFaults: List<Fault> = emptyList()
    private lateinit var initialConfiguration: Configuration

    init {
        val ids = (1..ENGINES).map { TargetId("engine-$it") to Endpoint("127.0.0.2", it) }
        val service = declaredConfiguration().services.getValue(ServiceName("asystent"))
        engineGroups = listOf(NORTH, SOUTH).zip(ids.chunked(ENGINES / 2)).associate { (at, some) ->
            at to listOf(EngineGroup(service.copy(model = SimulatedEngines.MODEL), some.toMap()))
        }
        engines = SimulatedEngines(this, ids.map { it.second })
    }

    /** Starts the hosts, writes the first configuration and starts the heartbeats. */
    suspend fun start() {
        startHost("a", NORTH)
        startHost("b", NORTH)
        startHost("c", SOUTH)
        val change = Change("first", null) { declaredConfiguration().copy(revision = it.revision) }
        hosts.first().writer.write(change)
        initialConfiguration = checkNotNull(platform.read(CONFIGURATION_KEY)).toConfiguration()
        hosts.forEach { it.receive(initialConfiguration) }
        scope.launch { exchangeHeartbeats() }
        delay(STARTUP_TIME)
    }

    fun startHost(name: String, dataCentre: DataCentre): SimulatedHost {
        val host = SimulatedHost(
            this,
            name,
            dataCentre,
            ++processCount,
            context,
            seed + processCount
        )
        hosts = hosts.filterNot { it.name == name } + host
        startedHosts = startedHosts + host
        host.onTargetListEvent(TargetListEvent.Read(fencing = 1, targets = listedTargets()))
        host.start()
        return host
    }

    /** Removes the targets [gone] from the host list. */
    fun delist(gone: List<SimulatedTarget>) {
        delisted = delisted + gone
        hosts.forEach {
            it.onTargetListEvent(TargetListEvent.Read(fencing = 1, targets = listedTargets()))
        }
    }

    private fun listedTargets(): List<Target> = (targets.values - delisted).map { it.target }

    fun target(id: TargetId): SimulatedTarget = targets.getValue(id)

    fun targetsOf(stage: String): List<SimulatedTarget> =
        targets.values.filter { it.target.service.value == SERVICES.getValue(stage) }

    fun enginesOf(dataCentre: DataCentre): List<EngineGroup> = engineGroups.getValue(dataCentre)

    fun isConnected(host: SimulatedHost, target: SimulatedTarget): Boolean =
        target.alive && !(isPartitioned && host.dataCentre != target.target.dataCentre)

    fun isConnected(one: SimulatedHost, other: SimulatedHost): Boolean =
        other.alive && !(isPartitioned && one.dataCentre != other.dataCentre)

    /**
     * Called when a request reaches [step] on [host]; the first time that it is the step of the
     * cell, applies the faults of the cell.
     */
    suspend fun onStep(step: Step, host: SimulatedHost, target: SimulatedTarget?) {
        if (stepReached || step != cell.step) return
        stepReached = true
        val faultTarget = target ?: lastCalledTarget
        val deferred = cell.faults.filter { faultTarget == null && it in CONNECTION_FAULTS }
        deferredFaults = deferredFaults + deferred
        val affected = faultTarget ?: targetsOf(cell.pipeline.stage).first()
        (cell.faults - deferred).forEach { faults.apply(it, host, affected) }
    }

    /** Called when a call at the stage of the faults begins; applies the deferred faults to it. */
    fun onStageCall(target: SimulatedTarget) {
        lastCalledTarget = target
        if (deferredFaults.isEmpty()) return
        val due = deferredFaults
        deferredFaults = emptyList()
        due.forEach { faults.apply(it, hosts.first(), target) }
    }

    /** Tells all hosts with the next heartbeat, after 2 s, that [target] is leaving. */
    fun reportLeaving(target: SimulatedTarget) {
        scope.launch {
            delay(HEARTBEAT)
            val now = clock.now()
            val report = TargetHealth(target.target.id, dead = false, observedAt = now)
            hosts.forEach { it.onTargetListEvent(TargetListEvent.Reported(listOf(report), now)) }
        }
    }

    fun close() {
        startedHosts.forEach { it.kill() }
        scope.cancel()
    }

    suspend fun finalState(bystander: OutcomeMessage?): FinalState {
        val document = checkNotNull(platform.read(CONFIGURATION_KEY)).toConfiguration()
        return FinalState(
            revisions = hosts.filter { it.alive }
                .associate { it.label to it.configuration.value.inForce.revision.value },
            documentRevision = document.revision.value,
            changes = document.recentChanges.map { it.change },
            roles = engines.roles,
            bystander = bystander,
            exitCodes = exitCodes.toList(),
            crashedTargets = crashedTargets,
            effectiveFaults = effectiveFaults.toSet()
        )
    }

    /**
     * With each heartbeat a host reads the configuration from the platform and exchanges
     * configurations and crash marks with its peers. It also receives the first configuration
     * again, which it must not adopt.
     */
    private suspend fun exchangeHeartbeats() {
        while (true) {
            delay(HEARTBEAT)
            for (host in hosts.filter { it.alive }) {
                host.platform.takeIf { !host.cutFromPlatform }
                    ?.let { platform.read(CONFIGURATION_KEY) }
                    ?.let { host.receive(it.toConfiguration()) }
                peersOf(host).forEach { host.receive(it.configuration.value.inForce) }
                host.receive(initialConfiguration)
                val marks = host.repetition.composeHeartbeatMarks(MARKS_PER_HEARTBEAT, clock.now())
                peersOf(host).forEach { it.repetition.mergeMarks(marks, clock.now()) }
            }
        }
    }

    private fun peersOf(host: SimulatedHost): List<SimulatedHost> =
        hosts.filter { it !== host && isConnected(host, it) }

    private fun allTargets(): List<SimulatedTarget> =
        SERVICES.values.flatMapIndexed { service, name ->
            (0 until TARGETS_PER_SERVICE).map { number ->
                val id = TargetId("$name-$number")
                val centre = if (number % 2 == 0) NORTH else SOUTH
                val port = service * TARGETS_PER_SERVICE + number + 1
                SimulatedTarget(Target(id, ServiceName(name), centre, Endpoint("127.0.0.3", port)))
            }
        }

    companion object {
        val NORTH = DataCentre("north")
        val SOUTH = DataCentre("south")
        val HEARTBEAT = 2.seconds
        private val STARTUP_TIME = 20.seconds
        private const val TARGETS_PER_SERVICE = 6
        private const val ENGINES = 4
        private const val MARKS_PER_HEARTBEAT = 8

        /** Faults of a connection. Before the first call they are deferred until a call begins. */
        private val CONNECTION_FAULTS = setOf(Fault.F3, Fault.F4, Fault.F6, Fault.F16)
        private const val MAXIMUM_TOKENS = 64
        private val SERVICES = mapOf(
            "encode" to "koder",
            "rank" to "porzadek",
            "draft" to "asystent",
            "book" to "system-rez",
            "notify" to "komunikaty"
        )

        /** Configuration with the services, organisations and pipelines of the matrix. */
        fun declaredConfiguration(): Configuration = configuration {
            service("koder", ServiceKind.ENCODER)
            service("porzadek", ServiceKind.RERANKER)
            service("asystent", ServiceKind.ENGINE)
            service("system-rez", ServiceKind.PLAIN, idempotent = false)
            service("komunikaty", ServiceKind.PLAIN)
            organisation("office")
            organisation("other")
            PipelineKind.entries.forEach { kind ->
                pipeline(kind.name.lowercase()) {
                    STAGES.getValue(kind).forEach { stage ->
                        val tokens = if (stage == "draft") MAXIMUM_TOKENS else 0
                        stage(stage, SERVICES.getValue(stage), tokens)
                    }
                }
            }
        }
    }
}

/** Forwards keyed requests from [host] to the owners of their keys. */
internal class SimulatedKeyForwarder(
    private val simulation: Simulation,
    private val host: SimulatedHost
) : KeyForwarder {
    override suspend fun forward(
        owner: KeyOwner,
        request: RequestMessage,
        remaining: Duration
    ): ForwardResult {
        host.awaitRunning()
        val peer = simulation.hosts.firstOrNull { it.incarnation == owner.incarnation && it.alive }
            ?: simulation.successors[owner.incarnation]
            ?: return ForwardResult.OwnerGone
        if (!simulation.isConnected(host, peer)) return ForwardResult.OwnerGone
        delay(ONE_WAY_LATENCY)
        peer.awaitRunning()
        val outcome = peer.keyedRequests.run(request)
        peer.awaitRunning()
        if (!simulation.isConnected(host, peer)) return ForwardResult.Unclear
        return ForwardResult.Answered(outcome)
    }

    private companion object {
        val ONE_WAY_LATENCY = 2.milliseconds
    }
}
