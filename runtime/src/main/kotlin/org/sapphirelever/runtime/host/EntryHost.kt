/*
 * The entry host: one supervisor tree with the configuration, the links to other hosts, the
 * capacity controller and the HTTP front end.
 */
package org.sapphirelever.runtime.host

import java.util.UUID
import kotlin.random.Random
import kotlin.time.Duration.Companion.minutes
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.sapphirelever.core.ExitCode
import org.sapphirelever.core.Incarnation
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.SystemMonotonicClock
import org.sapphirelever.decisions.admission.AdmissionState
import org.sapphirelever.decisions.admission.DispatchRules
import org.sapphirelever.decisions.membership.ownIsReaderCandidate
import org.sapphirelever.decisions.routing.ExpectedCompletionPolicy
import org.sapphirelever.decisions.routing.RoutingState
import org.sapphirelever.decisions.routing.TargetPolicy
import org.sapphirelever.decisions.shutdown.ShutdownTimes
import org.sapphirelever.decisions.supervision.RestartPolicy
import org.sapphirelever.decisions.supervision.Strategy
import org.sapphirelever.runtime.StateCell
import org.sapphirelever.runtime.capacity.CapacityController
import org.sapphirelever.runtime.capacity.CapacitySettings
import org.sapphirelever.runtime.capacity.HttpEngineOrders
import org.sapphirelever.runtime.capacity.engineGroups
import org.sapphirelever.runtime.dispatch.LeavingReports
import org.sapphirelever.runtime.dispatch.QueueingDispatcher
import org.sapphirelever.runtime.feed.ConfigurationWriter
import org.sapphirelever.runtime.http.FrontEndLimits
import org.sapphirelever.runtime.http.HttpFrontEnd
import org.sapphirelever.runtime.http.Routes
import org.sapphirelever.runtime.http.healthRoutes
import org.sapphirelever.runtime.keys.KeyOwner
import org.sapphirelever.runtime.keys.KeyedRequests
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.runtime.log.logWarning
import org.sapphirelever.runtime.metrics.BurnRecorder
import org.sapphirelever.runtime.metrics.PrometheusMetrics
import org.sapphirelever.runtime.metrics.RequestMetricsFanOut
import org.sapphirelever.runtime.peer.PeerNetwork
import org.sapphirelever.runtime.request.ConfiguredRunner
import org.sapphirelever.runtime.request.Explanations
import org.sapphirelever.runtime.request.RepetitionState
import org.sapphirelever.runtime.request.RequestExecutor
import org.sapphirelever.runtime.request.RequestRoutes
import org.sapphirelever.runtime.resource.ResourceRoutes
import org.sapphirelever.runtime.store.Platform
import org.sapphirelever.runtime.supervision.Supervisor
import org.sapphirelever.runtime.supervision.SupervisorFailedException
import org.sapphirelever.runtime.supervision.supervisor
import org.sapphirelever.runtime.target.TargetClient

/** One entry host. [run] serves until a stop signal, root supervisor failure or cancellation. */
public class EntryHost(
    private val settings: HostSettings,
    private val platform: Platform,
    client: TargetClient,
    policy: TargetPolicy = ExpectedCompletionPolicy(),
    private val clock: MonotonicClock = SystemMonotonicClock,
    random: Random = Random(settings.randomSeed),
    stopSteps: List<StopStep> = emptyList()
) {
    public val incarnation: Incarnation = Incarnation(UUID.randomUUID().toString())

    private val routing =
        StateCell(RoutingState(host = settings.host, dataCentre = settings.dataCentre))

    /** Retry budget, latencies and crash marks; the marks are exchanged with other hosts. */
    public val repetition: RepetitionState = RepetitionState()

    /** Links to other entry hosts, and the configuration in force. */
    public val network: PeerNetwork =
        PeerNetwork(
            settings,
            incarnation,
            platform,
            clock,
            CrashMarks(repetition, clock)
        ) { targets ->
            routing.update { it.copy(targets = targets.toPersistentMap()) }
        }
    private val configuration = network.state.configuration
    private val dispatcher =
        QueueingDispatcher(
            routing,
            StateCell(AdmissionState()),
            DispatchRules(policy),
            clock,
            random
        ) { configuration.value.inForce.organisations[it] }
    private val reportingDispatcher =
        LeavingReports(dispatcher) { network.protocol.report(it, dead = false) }
    private val executor = RequestExecutor(reportingDispatcher, client, clock, repetition)
    private val burn = BurnRecorder(settings.host, settings.objective, clock)
    private val explanations = Explanations()

    // Only two hosts of each data centre contend for the lease, which bounds the platform calls.
    private val capacity =
        CapacitySettings(
            dataCentre = settings.dataCentre,
            holder = incarnation.value,
            groups = { engineGroups(settings.dataCentre, configuration.value, routing.value) },
            contends = { network.state.membership.value.ownIsReaderCandidate() }
        )
    private val engineOrders = HttpEngineOrders()
    private val controller = CapacityController(capacity, platform, engineOrders, clock)
    private val shutdown: GracefulShutdown =
        GracefulShutdown(
            ShutdownTimes(settings.balancerDelay, settings.drainLimit),
            clock,
            stopSteps + departureSteps()
        )
    private val frontEndLimits = FrontEndLimits(bodyBytes = settings.bodyLimit)
    private val metrics =
        PrometheusMetrics(
            revision = { configuration.value.inForce.revision.value },
            outstanding = { shutdown.outstanding },
            callers = frontEndLimits.counts
        )
    private val runner =
        ConfiguredRunner(
            settings.host,
            configuration,
            executor,
            explanations,
            clock,
            RequestMetricsFanOut(listOf(metrics, burn))
        )

    /** Requests with keys; also used by the links to other hosts and at a planned stop. */
    public val keyed: KeyedRequests =
        KeyedRequests(
            settings.host,
            KeyOwner(incarnation, settings.peer),
            network.keys,
            runner,
            clock,
            random
        )
    private val requests = RequestRoutes(settings.bodyLimit, runner, keyed, explanations)
    private val resources =
        ResourceRoutes(
            settings.bodyLimit,
            network.protocol,
            ConfigurationWriter(platform, network.protocol::adopt)
        )

    init {
        network.keyMessageHandler = keyed
    }

    /** A host without targets would refuse every request, so it does not report ready. */
    private val ready: Boolean
        get() = configuration.value.ready && routing.value.targets.isNotEmpty()

    /** Starts the graceful shutdown; a second call stops the host immediately. */
    public fun signal() {
        shutdown.signal()
    }

    /** Serves until the host stops and returns the exit code of the process. */
    public suspend fun run(): ExitCode {
        logStart()
        val code =
            try {
                coroutineScope {
                    val serving = launch { supervisorTree().run() }
                    shutdown.awaitExit().also { serving.cancelAndJoin() }
                }
            } catch (failure: SupervisorFailedException) {
                logWarning("host-gave-up") { "failure" to failure }
                ExitCode.INTERNAL
            } finally {
                engineOrders.close()
            }
        logEvent("host-stopped") { "exit" to code.number }
        return code
    }

    private fun logStart() {
        logEvent("host-started") {
            "host" to settings.host
            "incarnation" to incarnation
            "dataCentre" to settings.dataCentre
            "http" to settings.http
        }
    }

    private fun supervisorTree(): Supervisor = supervisor("entry-host", ROOT_POLICY) {
        supervisor("configuration", RestartPolicy(Strategy.ONE_FOR_ONE)) {
            network.configuration(this)
            child("burn-decisions") {
                burn.recordChanges("configuration revision") {
                    configuration.value.inForce.revision
                }
            }
        }
        supervisor("membership", RestartPolicy(Strategy.ONE_FOR_ONE)) {
            network.membership(this)
        }
        supervisor("capacity", RestartPolicy(Strategy.ONE_FOR_ONE)) {
            child("controller") { controller.run() }
        }
        supervisor("front-end", RestartPolicy(Strategy.ONE_FOR_ONE)) {
            child("http") { HttpFrontEnd(settings.http, routes(), frontEndLimits, clock).run() }
        }
    }

    private fun routes(): List<Routes> = listOf(
        callGate(shutdown),
        healthRoutes { ready && shutdown.announcesReady },
        requests.routes,
        resources.routes,
        metrics.routes,
        burn.routes
    )

    /** Steps of a planned stop, which run after the last request has ended. */
    private fun departureSteps(): List<StopStep> {
        val departure = Departure(settings.dataCentre, network) { keyed }
        return listOf(
            stopStep("hand-over-keys") { departure.handOverKeys() },
            stopStep("release-capacity-lease") { controller.release() },
            stopStep("leave") { departure.leave() }
        )
    }

    internal companion object {
        /**
         * With the default policy, a supervisor whose child always fails escalates after 26 s. The
         * window of the root covers several such failures; within the default window of 60 s they
         * would never reach the restart limit, and the process would stay up without serving.
         */
        val ROOT_POLICY: RestartPolicy =
            RestartPolicy(Strategy.REST_FOR_ONE, maximumRestarts = 2, window = 5.minutes)
    }
}
