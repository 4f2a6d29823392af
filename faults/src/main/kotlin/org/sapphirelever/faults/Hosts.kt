/*
 * Entry hosts of the world, built from the classes of the runtime around its interfaces.
 */
package org.sapphirelever.faults

import kotlin.coroutines.CoroutineContext
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.FencingNumber
import org.sapphirelever.core.HostId
import org.sapphirelever.core.Incarnation
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.Outcome
import org.sapphirelever.core.RetryAdvice
import org.sapphirelever.core.SapphireleverException
import org.sapphirelever.core.resource.Configuration
import org.sapphirelever.decisions.admission.AdmissionState
import org.sapphirelever.decisions.admission.DispatchRules
import org.sapphirelever.decisions.configuration.ConfigurationAction
import org.sapphirelever.decisions.configuration.ConfigurationEvent
import org.sapphirelever.decisions.configuration.ConfigurationState
import org.sapphirelever.decisions.configuration.TargetListEvent
import org.sapphirelever.decisions.configuration.TargetListState
import org.sapphirelever.decisions.configuration.on
import org.sapphirelever.decisions.routing.RoutingState
import org.sapphirelever.runtime.StateCell
import org.sapphirelever.runtime.capacity.CapacityController
import org.sapphirelever.runtime.capacity.CapacitySettings
import org.sapphirelever.runtime.dispatch.CallReport
import org.sapphirelever.runtime.dispatch.Dispatch
import org.sapphirelever.runtime.dispatch.Grant
import org.sapphirelever.runtime.dispatch.QueueingDispatcher
import org.sapphirelever.runtime.dispatch.StageDemand
import org.sapphirelever.runtime.dispatch.TargetDispatcher
import org.sapphirelever.runtime.feed.ConfigurationWriter
import org.sapphirelever.runtime.host.GracefulShutdown
import org.sapphirelever.runtime.host.StopStep
import org.sapphirelever.runtime.host.stopStep
import org.sapphirelever.runtime.keys.KeyOwner
import org.sapphirelever.runtime.keys.KeyedRequests
import org.sapphirelever.runtime.request.ConfiguredRunner
import org.sapphirelever.runtime.request.Explanations
import org.sapphirelever.runtime.request.RepetitionState
import org.sapphirelever.runtime.request.RequestExecutor
import org.sapphirelever.runtime.store.LeaseResult
import org.sapphirelever.runtime.store.Platform
import org.sapphirelever.runtime.store.StoredValue
import org.sapphirelever.runtime.store.WriteResult
import org.sapphirelever.runtime.target.TokenSink
import org.sapphirelever.wire.OutcomeMessage
import org.sapphirelever.wire.RequestMessage
import org.sapphirelever.wire.outcomeMessage

/** One process of an entry host. */
internal class WorldHost(
    private val world: World,
    val name: String,
    val dataCentre: DataCentre,
    val process: Int,
    context: CoroutineContext,
    seed: Int
) {
    val label = "$name#$process"
    private val scope = CoroutineScope(context + SupervisorJob())
    private val random = Random(seed)
    private val owner = KeyOwner(Incarnation(label), Endpoint("127.0.0.1", process))
    private val died = CompletableDeferred<Unit>()
    private var targetList = TargetListState()
    var alive = true
        private set
    private var pausedUntil = MonotonicTime.ZERO
    var cutFromPlatform = false
    val incarnation: Incarnation get() = owner.incarnation
    val routing = StateCell(RoutingState(host = HostId(name), dataCentre = dataCentre))
    val configuration = StateCell(ConfigurationState())
    val repetition = RepetitionState()
    val platform: Platform = HostPlatform(world, this)
    private val dispatcher = StepDispatcher(
        world,
        this,
        QueueingDispatcher(
            routing,
            StateCell(AdmissionState()),
            DispatchRules(),
            world.clock,
            random
        ) { configuration.value.inForce.organisations[it] }
    )
    private val runner = ConfiguredRunner(
        HostId(name),
        configuration,
        RequestExecutor(dispatcher, WorldTargetClient(world, this), world.clock, repetition),
        Explanations(),
        world.clock
    )
    val keyed: KeyedRequests =
        KeyedRequests(HostId(name), owner, WorldForwarder(world, this), runner, world.clock, random)
    val writer: ConfigurationWriter = ConfigurationWriter(platform)
    private val controller = CapacityController(
        CapacitySettings(
            dataCentre = dataCentre,
            holder = label,
            groups = { world.enginesOf(dataCentre) },
            moment = { world.moment },
            planner = world.planner
        ),
        platform,
        world.engines.callsOf(this),
        world.clock
    )
    private val shutdown =
        GracefulShutdown(BALANCER_DELAY, DRAIN_LIMIT, world.clock, stopSteps())
    val ready: Boolean
        get() = alive && shutdown.announcesReady && configuration.value.ready &&
            routing.value.targets.isNotEmpty()
    var stopping = false
        private set

    /** Starts the tasks that run beside requests. */
    fun start() {
        adopt(ConfigurationEvent.SourcesAsked)
        scope.launch { controller.run() }
        scope.launch {
            val code = shutdown.awaitExit()
            world.exitCodes.add(code.number)
            kill()
        }
    }

    fun signal() {
        stopping = true
        shutdown.signal()
    }

    fun kill() {
        alive = false
        died.complete(Unit)
        scope.cancel()
    }

    fun pause(time: Duration) {
        pausedUntil = world.clock.now() + time
    }

    /** A process that is paused continues later; one that was killed never does. */
    suspend fun checkpoint() {
        if (!alive) CompletableDeferred<Unit>().await()
        val left = pausedUntil - world.clock.now()
        if (left.isPositive()) {
            world.effects.add(Fault.F2)
            delay(left)
            checkpoint()
        }
    }

    /** Runs the request of a caller; null if the process ends before it answers. */
    suspend fun handle(message: RequestMessage, tokens: TokenSink): OutcomeMessage? {
        val reply = CompletableDeferred<OutcomeMessage?>()
        scope.launch { reply.complete(serve(message, tokens)) }
        return select {
            reply.onAwait { it }
            died.onAwait { null }
        }
    }

    private suspend fun serve(message: RequestMessage, tokens: TokenSink): OutcomeMessage = try {
        world.reach(Step.ADMISSION, this, null)
        checkpoint()
        val outcome = shutdown.admit("request") {
            val key = message.key
            if (key == null) runner.run(message, tokens) else keyed.submit(message, tokens)
        }
        checkpoint()
        world.reach(Step.REPLY, this, null)
        checkpoint()
        outcome
    } catch (refused: SapphireleverException) {
        val outcome = Outcome.NotRun(refused.code, RetryAdvice.after(RETRY))
        outcomeMessage("", name, outcome, emptyList())
    }

    fun adopt(event: ConfigurationEvent) {
        configuration.decide { it.on(event) }.forEach { action ->
            if (action is ConfigurationAction.Adopted) {
                val revision = action.configuration.revision.value
                world.recorder.adopted.add(AdoptedRevision(label, revision, world.clock.now()))
            }
        }
    }

    fun receive(configuration: Configuration) {
        adopt(ConfigurationEvent.Received(configuration))
    }

    fun targets(event: TargetListEvent) {
        targetList = targetList.on(event).state
        routing.update { it.copy(targets = targetList.targets) }
    }

    private fun stopSteps(): List<StopStep> = listOf(
        stopStep("hand-over-keys") {
            val successor = world.hosts.firstOrNull { it.ready && it !== this }
            val offer = keyed.handOver()
            if (successor != null && successor.keyed.takeOver(offer)) {
                world.successors[incarnation] = successor
            }
        },
        stopStep("release-capacity-lease") { controller.release() }
    )

    private companion object {
        val BALANCER_DELAY = 500.milliseconds
        val DRAIN_LIMIT = 60_000.milliseconds
        val RETRY = 100.milliseconds
    }
}

/** Reports the choice of a target, and the hand-over from one stage to the next. */
private class StepDispatcher(
    private val world: World,
    private val host: WorldHost,
    private val inner: TargetDispatcher
) : TargetDispatcher {
    override suspend fun acquire(demand: StageDemand): Dispatch {
        val kind = world.cell.pipeline
        val stage = demand.stage.name.value
        val after = if (kind == PipelineKind.KEYED) "notify" else "draft"
        if (stage == after) world.reach(Step.HAND_OVER, host, null)
        host.checkpoint()
        val dispatch = inner.acquire(demand)
        if (stage == kind.stage) {
            val granted = (dispatch as? Dispatch.Granted)?.grant?.target?.id
            world.reach(Step.CHOICE, host, granted?.let { world.target(it) })
        }
        host.checkpoint()
        return dispatch
    }

    override fun release(demand: StageDemand, grant: Grant, report: CallReport?) {
        inner.release(demand, grant, report)
    }
}

/** The platform as [host] reaches it. */
private class HostPlatform(private val world: World, private val host: WorldHost) : Platform {
    private suspend fun <T> call(cut: T, body: suspend () -> T): T {
        host.checkpoint()
        val answer = if (host.cutFromPlatform) cut else body()
        host.checkpoint()
        return answer
    }

    override suspend fun read(key: String): StoredValue? = call(null) { world.platform.read(key) }

    override suspend fun compareAndSwap(key: String, expected: Long, value: String): WriteResult =
        call(WriteResult.Unavailable(CUT)) { world.platform.compareAndSwap(key, expected, value) }

    override suspend fun watch(key: String, after: Long, wait: Duration): StoredValue? =
        call(null) { world.platform.watch(key, after, wait) }

    override suspend fun acquireLease(name: String, holder: String, timeToLive: Duration) =
        call(LeaseResult.Unclear(CUT)) { world.platform.acquireLease(name, holder, timeToLive) }

    override suspend fun renewLease(
        name: String,
        holder: String,
        fencing: FencingNumber,
        timeToLive: Duration
    ): LeaseResult = call(LeaseResult.Unclear(CUT)) {
        world.platform.renewLease(name, holder, fencing, timeToLive)
    }

    override suspend fun releaseLease(name: String, holder: String, fencing: FencingNumber) {
        call(Unit) { world.platform.releaseLease(name, holder, fencing) }
    }

    override suspend fun hosts() = call(null) { world.platform.hosts() }

    private companion object {
        const val CUT = "partitioned"
    }
}
