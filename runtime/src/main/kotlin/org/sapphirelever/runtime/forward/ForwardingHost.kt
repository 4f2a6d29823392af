/*
 * Supervisor tree of a host that forwards callers' requests to targets.
 */
package org.sapphirelever.runtime.forward

import kotlin.time.Duration.Companion.minutes
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.flow.filterNotNull
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import org.sapphirelever.core.ExitCode
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.SystemMonotonicClock
import org.sapphirelever.core.TargetId
import org.sapphirelever.decisions.forwarding.expectedCallingHosts
import org.sapphirelever.decisions.forwarding.maximumReadyAge
import org.sapphirelever.decisions.shutdown.ShutdownTimes
import org.sapphirelever.decisions.supervision.RestartPolicy
import org.sapphirelever.decisions.supervision.Strategy
import org.sapphirelever.runtime.host.GracefulShutdown
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.runtime.log.logWarning
import org.sapphirelever.runtime.peer.PeerConnection
import org.sapphirelever.runtime.supervision.SupervisorFailedException
import org.sapphirelever.runtime.supervision.supervisor
import org.sapphirelever.runtime.transport.Sockets

/**
 * Forwards callers' requests to targets. [source] supplies the settings and [protocol] the encoding
 * of the messages.
 */
public class ForwardingHost(
    source: ProfileSource,
    private val protocol: ForwardProtocol,
    private val store: ForwardingStore,
    private val sockets: Sockets,
    private val clock: MonotonicClock = SystemMonotonicClock
) {
    private val profile = source.read()
    private val state = ForwardingState(profile, clock)
    private val settings = SettingsWatch(source, state)
    private val reads = StoreReads()
    private val relay = StoreRelay(state, reads)
    private val feed =
        StoreFeed(DataCentreStore(store, StoreFollower(sockets, state), relay, state, reads), state)
    private val publications = HostPublications(store, state)
    private val shutdown =
        GracefulShutdown(ShutdownTimes.within(profile.shutdownGracePeriod), clock, emptyList())
    private val metrics = ForwardingMetrics(state, reads)
    private val texts = TextServer(sockets, state)

    @Volatile
    private var acceptsCallers = false

    /** Starts a graceful shutdown and withdraws the announcement of this host. */
    public fun signal() {
        publications.withdraw()
        shutdown.signal()
    }

    /** Reloads the settings. */
    public fun reload() {
        settings.reload()
    }

    /** Runs until the shutdown completes or the root supervisor exceeds its restart limit. */
    public suspend fun run(): ExitCode = coroutineScope {
        logEvent("host-started") {
            "host" to profile.host
            "data-centre" to profile.dataCentre
            "callers" to profile.callers
        }
        val supervision =
            async {
                try {
                    supervisorTree().run()
                    ExitCode.SUCCESS
                } catch (failure: SupervisorFailedException) {
                    logWarning("host-gave-up") { "failure" to failure.cause }
                    ExitCode.INTERNAL
                }
            }
        val exit = async { shutdown.awaitExit() }
        val code = select { listOf(supervision, exit).forEach { ended -> ended.onAwait { it } } }
        logEvent("host-stopped") { "code" to code.number }
        exit.cancelAndJoin()
        supervision.cancel()
        code
    }

    private fun supervisorTree() = supervisor("forwarding-host", ROOT_POLICY, clock) {
        supervisor("store") {
            child("feed") { feed.follow() }
            child("announcement") { publications.announce() }
            child("crash-reports") { publications.publishCrashes() }
            child("limit-reports") { publications.publishLimits() }
            child("eras") { store.era.filterNotNull().collect { state.observeEra(it) } }
            child("rewrites") { publications.followEras() }
        }
        child("settings") { settings.follow() }
        child("callers") { serveCallers() }
        child("readiness") { texts.serve(profile.readiness) { readiness() to status() } }
        child("metrics") { texts.serve(profile.metrics) { OK to metrics.scrape() } }
    }

    private suspend fun serveCallers(): Unit = coroutineScope {
        // A failed stage call must not cancel the connections of callers.
        val workScope = CoroutineScope(currentCoroutineContext() + SupervisorJob())
        val pool = TargetPool(sockets, clock) { !isLeaving(it) }
        launch { pool.closeExpired() }
        val calls = TargetCalls(pool, protocol, state)
        val releases = ResultRelease(workScope, calls, protocol, state.notices)
        val localExecutor =
            LocalPieceExecutor(workScope, calls, protocol, state, releases, ::callingHosts)
        val executor =
            RoutingPieceExecutor(localExecutor, PeerPieceClient(workScope, sockets, state), state)
        val stages = StageExecutor(executor, state)
        val guard = CrashGuard(workScope, sockets, store, state)
        val forwarding =
            RequestForwarding(protocol, state, calls, stages, executor, guard, shutdown)
        val server = PieceServer(localExecutor, state, relay)
        launch {
            sockets.listenSockets(profile.peers).use {
                it.run { socket ->
                    PeerConnection(socket).use { peer -> server.serve(peer) }
                }
            }
        }
        val connections =
            CallerConnections(protocol, state, forwarding, shutdown, metrics)
        try {
            sockets.listen(profile.callers, state.callers).use {
                acceptsCallers = true
                it.run(connections::serve)
            }
        } finally {
            acceptsCallers = false
            workScope.cancel()
        }
    }

    private fun isLeaving(target: TargetId): Boolean {
        val directory = state.directory.value
        return directory.targets[target]?.let { directory.isLeaving(it.record) } == true
    }

    private fun callingHosts(service: ServiceName): Int =
        expectedCallingHosts(service, state.hosts.value, profile.host)

    /** HTTP status of the readiness endpoint. */
    private fun readiness(): Int {
        val configuration = state.configuration.value
        val maximumAge = maximumReadyAge(state.profile.maximumRevocationDelay)
        val isFresh = configuration.age(state.readClock())?.let { it < maximumAge } == true
        val hasTargets = state.directory.value.targets.isNotEmpty()
        val ready =
            shutdown.announcesReady && acceptsCallers && isFresh &&
                configuration.table != null && hasTargets
        return if (ready) OK else UNAVAILABLE
    }

    /** What this host believes of the store and of its targets, for operators. */
    private fun status(): ByteArray = hostStatus(state).toByteArray()

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503

        /**
         * The window is five minutes, because nested supervisors exceed their own restart limit
         * only after 26 s.
         */
        val ROOT_POLICY =
            RestartPolicy(
                strategy = Strategy.ONE_FOR_ONE,
                maximumRestarts = 3,
                window = 5.minutes
            )
    }
}
