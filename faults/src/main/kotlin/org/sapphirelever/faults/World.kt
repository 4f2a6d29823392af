/*
 * World of several entry hosts in two data centres, with targets, platform and engines in memory.
 * Everything runs on the virtual time of the caller's dispatcher.
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

/** Time for which a paused host stands still, longer than a lease of 15 s. */
internal val LEASE_PAUSE: Duration = 20.seconds

internal class World(
    val cell: Cell,
    val clock: MonotonicClock,
    private val context: CoroutineContext,
    private val seed: Int
) {
    val network = CoroutineScope(context + SupervisorJob())
    val recorder = Recorder()
    val platform = MemoryPlatform(clock)
    val exitCodes = CopyOnWriteArrayList<Int>()
    val successors = mutableMapOf<Incarnation, WorldHost>()
    val planner = object : CapacityPlanner {
        override val name = "all"

        override fun requiredEngines(history: DemandHistory, now: DayMoment, demand: Double) =
            demand
    }
    val moment = DayMoment(1, 1)
    private val faults = FaultActions(this)
    private val targets: Map<TargetId, WorldTarget> = targetList().associateBy { it.target.id }
    private val engineGroups: Map<DataCentre, List<EngineGroup>>
    val engines: WorldEngines
    var hosts: List<WorldHost> = emptyList()
        private set
    private var all: List<WorldHost> = emptyList()
    var partitioned = false
    var poison: String? = null
    var crashed = 0
    var loadTime: Duration = WorldEngines.NORMAL_LOAD
    val effects = CopyOnWriteArraySet<Fault>()
    var reached = false
        private set
    private var processes = 0
    private var called: WorldTarget? = null
    private var delisted: Set<WorldTarget> = emptySet()
    private var armed: List<Fault> = emptyList()
    private lateinit var first: Configuration

    init {
        val ids = (1..ENGINES).map { TargetId("engine-$it") to Endpoint("127.0.0.2", it) }
        val service = declared().services.getValue(ServiceName("asystent"))
        engineGroups = listOf(NORTH, SOUTH).zip(ids.chunked(ENGINES / 2)).associate { (at, some) ->
            at to listOf(EngineGroup(service.copy(model = WorldEngines.MODEL), some.toMap()))
        }
        engines = WorldEngines(this, ids.map { it.second })
    }

    /** Writes the first configuration, starts the hosts and the exchange between them. */
    suspend fun start() {
        start("a", NORTH)
        start("b", NORTH)
        start("c", SOUTH)
        val change = Change("first", null) { declared().copy(revision = it.revision) }
        hosts.first().writer.write(change)
        first = checkNotNull(platform.read(CONFIGURATION_KEY)).toConfiguration()
        hosts.forEach { it.receive(first) }
        network.launch { exchange() }
        delay(SETTLE)
    }

    fun start(name: String, dataCentre: DataCentre): WorldHost {
        val host = WorldHost(this, name, dataCentre, ++processes, context, seed + processes)
        hosts = hosts.filterNot { it.name == name } + host
        all = all + host
        host.targets(TargetListEvent.Read(fencing = 1, targets = listed()))
        host.start()
        return host
    }

    /** The host list has caught up with the end of [gone]. */
    fun delist(gone: List<WorldTarget>) {
        delisted = delisted + gone
        hosts.forEach { it.targets(TargetListEvent.Read(fencing = 1, targets = listed())) }
    }

    private fun listed(): List<Target> = (targets.values - delisted).map { it.target }

    fun target(id: TargetId): WorldTarget = targets.getValue(id)

    fun targetsOf(stage: String): List<WorldTarget> =
        targets.values.filter { it.target.service.value == SERVICES.getValue(stage) }

    fun enginesOf(dataCentre: DataCentre): List<EngineGroup> = engineGroups.getValue(dataCentre)

    fun connected(host: WorldHost, target: WorldTarget): Boolean =
        target.alive && !(partitioned && host.dataCentre != target.target.dataCentre)

    fun connected(one: WorldHost, other: WorldHost): Boolean =
        other.alive && !(partitioned && one.dataCentre != other.dataCentre)

    /** Applies the planned faults the first time that the planned step is reached. */
    suspend fun reach(step: Step, host: WorldHost, target: WorldTarget?) {
        if (reached || step != cell.step) return
        reached = true
        val victim = target ?: called
        val later = cell.faults.filter { victim == null && it in ON_CONNECTION }
        armed = armed + later
        val other = victim ?: targetsOf(cell.pipeline.stage).first()
        (cell.faults - later).forEach { faults.apply(it, host, other) }
    }

    /** A call of the victim's stage begins; faults of a connection that waited for it occur. */
    fun calls(target: WorldTarget) {
        called = target
        if (armed.isEmpty()) return
        val due = armed
        armed = emptyList()
        due.forEach { faults.apply(it, hosts.first(), target) }
    }

    /** A target refused as leaving; its heartbeats tell the other hosts within 2 s. */
    fun learnLeaving(target: WorldTarget) {
        network.launch {
            delay(HEARTBEAT)
            val now = clock.now()
            val report = TargetHealth(target.target.id, dead = false, observedAt = now)
            hosts.forEach { it.targets(TargetListEvent.Reported(listOf(report), now)) }
        }
    }

    fun close() {
        all.forEach { it.kill() }
        network.cancel()
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
            crashedTargets = crashed,
            effects = effects.toSet()
        )
    }

    /** Heartbeats: configurations, also stale ones, and crash marks. */
    private suspend fun exchange() {
        while (true) {
            delay(HEARTBEAT)
            for (host in hosts.filter { it.alive }) {
                host.platform.takeIf { !host.cutFromPlatform }
                    ?.let { platform.read(CONFIGURATION_KEY) }
                    ?.let { host.receive(it.toConfiguration()) }
                peersOf(host).forEach { host.receive(it.configuration.value.inForce) }
                host.receive(first)
                val marks = host.repetition.composeHeartbeatMarks(MARKS, clock.now())
                peersOf(host).forEach { it.repetition.mergeMarks(marks, clock.now()) }
            }
        }
    }

    private fun peersOf(host: WorldHost): List<WorldHost> =
        hosts.filter { it !== host && connected(host, it) }

    private fun targetList(): List<WorldTarget> = SERVICES.values.flatMapIndexed { service, name ->
        (0 until TARGETS).map { number ->
            val id = TargetId("$name-$number")
            val centre = if (number % 2 == 0) NORTH else SOUTH
            val port = service * TARGETS + number + 1
            WorldTarget(Target(id, ServiceName(name), centre, Endpoint("127.0.0.3", port)))
        }
    }

    companion object {
        val NORTH = DataCentre("north")
        val SOUTH = DataCentre("south")
        val HEARTBEAT = 2.seconds
        private val SETTLE = 20.seconds
        private const val TARGETS = 6
        private const val ENGINES = 4
        private const val MARKS = 8

        /** Faults of a connection; before there is one, they wait for it. */
        private val ON_CONNECTION = setOf(Fault.F3, Fault.F4, Fault.F6, Fault.F16)
        private const val TOKENS = 64
        private val SERVICES = mapOf(
            "encode" to "koder",
            "rank" to "porzadek",
            "draft" to "asystent",
            "book" to "system-rez",
            "notify" to "komunikaty"
        )

        /** Resources of the matrix. */
        fun declared(): Configuration = configuration {
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
                        val tokens = if (stage == "draft") TOKENS else 0
                        stage(stage, SERVICES.getValue(stage), tokens)
                    }
                }
            }
        }
    }
}

/** Links of [host] to the owners of keys. */
internal class WorldForwarder(private val world: World, private val host: WorldHost) :
    KeyForwarder {
    override suspend fun forward(
        owner: KeyOwner,
        request: RequestMessage,
        remaining: Duration
    ): ForwardResult {
        host.checkpoint()
        val peer = world.hosts.firstOrNull { it.incarnation == owner.incarnation && it.alive }
            ?: world.successors[owner.incarnation]
            ?: return ForwardResult.OwnerGone
        if (!world.connected(host, peer)) return ForwardResult.OwnerGone
        delay(ONE_WAY)
        peer.checkpoint()
        val outcome = peer.keyed.run(request)
        peer.checkpoint()
        if (!world.connected(host, peer)) return ForwardResult.Unclear
        return ForwardResult.Answered(outcome)
    }

    private companion object {
        val ONE_WAY = 2.milliseconds
    }
}
