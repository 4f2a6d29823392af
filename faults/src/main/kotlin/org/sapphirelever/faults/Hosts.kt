/*
 * Entry hosts of the simulation: classes of the runtime whose network, platform and engines are
 * simulated.
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
import org.sapphirelever.decisions.shutdown.ShutdownTimes
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

/** One process of an entry host. A host that restarts is a new process with the same [name]. */
internal class SimulatedHost(
    private val simulation: Simulation,
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
    private val killed = CompletableDeferred<Unit>()
    private var targetList = TargetListState()
    var alive = true
        private set
    private var pausedUntil = MonotonicTime.ZERO
    var cutFromPlatform = false
    val incarnation: Incarnation get() = owner.incarnation
    val routing = StateCell(RoutingState(host = HostId(name), dataCentre = dataCentre))
    val configuration = StateCell(ConfigurationState())
    val repetition = RepetitionState()
    val platform: Platform = HostPlatform(simulation, this)
    private val dispatcher = StepDispatcher(
        simulation,
        this,
        QueueingDispatcher(
            routing,
            StateCell(AdmissionState()),
            DispatchRules(),
            simulation.clock,
            random
        ) { configuration.value.inForce.organisations[it] }
    )
    private val runner = ConfiguredRunner(
        HostId(name),
        configuration,
        RequestExecutor(
            dispatcher,
            SimulatedTargetClient(simulation, this),
            simulation.clock,
            repetition
        ),
        Explanations(),
        simulation.clock
    )
    val keyedRequests: KeyedRequests =
        KeyedRequests(
            HostId(name),
            owner,
            SimulatedKeyForwarder(simulation, this),
            runner,
            simulation.clock,
            random
        )
    val writer: ConfigurationWriter = ConfigurationWriter(platform)
    private val controller = CapacityController(
        CapacitySettings(
            dataCentre = dataCentre,
            holder = label,
            groups = { simulation.enginesOf(dataCentre) },
            moment = { simulation.moment },
            planner = simulation.planner
        ),
        platform,
        simulation.engines.ordersOf(this),
        simulation.clock
    )
    private val shutdown =
        GracefulShutdown(
            ShutdownTimes(BALANCER_DELAY, DRAIN_LIMIT),
            simulation.clock,
            stopSteps()
        )
    val isReady: Boolean
        get() = alive && shutdown.announcesReady && configuration.value.ready &&
            routing.value.targets.isNotEmpty()
    var stopping = false
        private set

    /** Starts the capacity controller and the wait for a signal to stop. */
    fun start() {
        onConfigurationEvent(ConfigurationEvent.SourcesAsked)
        scope.launch { controller.run() }
        scope.launch {
            val code = shutdown.awaitExit()
            simulation.exitCodes.add(code.number)
            kill()
        }
    }

    fun signal() {
        stopping = true
        shutdown.signal()
    }

    fun kill() {
        alive = false
        killed.complete(Unit)
        scope.cancel()
    }

    fun pause(duration: Duration) {
        pausedUntil = simulation.clock.now() + duration
    }

    /** Suspends while this process is paused, and for ever if it was killed. */
    suspend fun awaitRunning() {
        if (!alive) CompletableDeferred<Unit>().await()
        val remaining = pausedUntil - simulation.clock.now()
        if (remaining.isPositive()) {
            simulation.effectiveFaults.add(Fault.F2)
            delay(remaining)
            awaitRunning()
        }
    }

    /** Runs the request of a caller; null if the process ends before it answers. */
    suspend fun handle(message: RequestMessage, tokens: TokenSink): OutcomeMessage? {
        val reply = CompletableDeferred<OutcomeMessage?>()
        scope.launch { reply.complete(serve(message, tokens)) }
        return select {
            reply.onAwait { it }
            killed.onAwait { null }
        }
    }

    private suspend fun serve(message: RequestMessage, tokens: TokenSink): OutcomeMessage = try {
        simulation.onStep(Step.ADMISSION, this, null)
        awaitRunning()
        val outcome = shutdown.admit("request") {
            val key = message.key
            if (key == null) runner.run(message, tokens) else keyedRequests.submit(message, tokens)
        }
        awaitRunning()
        simulation.onStep(Step.REPLY, this, null)
        awaitRunning()
        outcome
    } catch (refused: SapphireleverException) {
        val outcome = Outcome.NotRun(refused.code, RetryAdvice.after(RETRY_DELAY))
        outcomeMessage("", name, outcome, emptyList())
    }

    fun onConfigurationEvent(event: ConfigurationEvent) {
        configuration.decide { it.on(event) }.forEach { action ->
            if (action is ConfigurationAction.Adopted) {
                val revision = action.configuration.revision.value
                simulation.recorder.adoptedRevisions.add(
                    AdoptedRevision(label, revision, simulation.clock.now())
                )
            }
        }
    }

    fun receive(configuration: Configuration) {
        onConfigurationEvent(ConfigurationEvent.Received(configuration))
    }

    fun onTargetListEvent(event: TargetListEvent) {
        targetList = targetList.on(event).state
        routing.update { it.copy(targets = targetList.targets) }
    }

    private fun stopSteps(): List<StopStep> = listOf(
        stopStep("hand-over-keys") {
            val successor = simulation.hosts.firstOrNull { it.isReady && it !== this }
            val offer = keyedRequests.handOver()
            if (successor != null && successor.keyedRequests.takeOver(offer)) {
                simulation.successors[incarnation] = successor
            }
        },
        stopStep("release-capacity-lease") { controller.release() }
    )

    private companion object {
        val BALANCER_DELAY = 500.milliseconds
        val DRAIN_LIMIT = 60_000.milliseconds
        val RETRY_DELAY = 100.milliseconds
    }
}

/** Tells the simulation when a target has been chosen and when the next stage begins. */
private class StepDispatcher(
    private val simulation: Simulation,
    private val host: SimulatedHost,
    private val delegate: TargetDispatcher
) : TargetDispatcher {
    override suspend fun acquire(demand: StageDemand): Dispatch {
        val kind = simulation.cell.pipeline
        val stage = demand.stage.name.value
        val nextStage = if (kind == PipelineKind.KEYED) "notify" else "draft"
        if (stage == nextStage) simulation.onStep(Step.HAND_OVER, host, null)
        host.awaitRunning()
        val dispatch = delegate.acquire(demand)
        if (stage == kind.stage) {
            val granted = (dispatch as? Dispatch.Granted)?.grant?.target?.id
            simulation.onStep(Step.CHOICE, host, granted?.let { simulation.target(it) })
        }
        host.awaitRunning()
        return dispatch
    }

    override fun release(demand: StageDemand, grant: Grant, report: CallReport?) {
        delegate.release(demand, grant, report)
    }
}

/** Access of [host] to the platform, which fails while the host is cut off from it. */
private class HostPlatform(private val simulation: Simulation, private val host: SimulatedHost) :
    Platform {
    private suspend fun <T> call(ifCut: T, body: suspend () -> T): T {
        host.awaitRunning()
        val result = if (host.cutFromPlatform) ifCut else body()
        host.awaitRunning()
        return result
    }

    override suspend fun read(key: String): StoredValue? = call(null) {
        simulation.platform.read(key)
    }

    override suspend fun compareAndSwap(key: String, expected: Long, value: String): WriteResult =
        call(WriteResult.Unavailable(CUT)) {
            simulation.platform.compareAndSwap(key, expected, value)
        }

    override suspend fun watch(key: String, after: Long, wait: Duration): StoredValue? =
        call(null) { simulation.platform.watch(key, after, wait) }

    override suspend fun acquireLease(name: String, holder: String, timeToLive: Duration) =
        call(LeaseResult.Unclear(CUT)) {
            simulation.platform.acquireLease(name, holder, timeToLive)
        }

    override suspend fun renewLease(
        name: String,
        holder: String,
        fencing: FencingNumber,
        timeToLive: Duration
    ): LeaseResult = call(LeaseResult.Unclear(CUT)) {
        simulation.platform.renewLease(name, holder, fencing, timeToLive)
    }

    override suspend fun releaseLease(name: String, holder: String, fencing: FencingNumber) {
        call(Unit) { simulation.platform.releaseLease(name, holder, fencing) }
    }

    override suspend fun hosts() = call(null) { simulation.platform.hosts() }

    private companion object {
        const val CUT = "partitioned"
    }
}
