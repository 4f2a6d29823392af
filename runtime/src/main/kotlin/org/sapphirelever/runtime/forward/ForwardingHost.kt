/*
 * A host that forwards requests of callers to targets, as one supervised process.
 */
package org.sapphirelever.runtime.forward

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.ExitCode
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.SystemMonotonicClock
import org.sapphirelever.decisions.forwarding.expectedSharers
import org.sapphirelever.decisions.forwarding.greatestBeliefAge
import org.sapphirelever.decisions.supervision.RestartPolicy
import org.sapphirelever.decisions.supervision.Strategy
import org.sapphirelever.runtime.host.GracefulShutdown
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.runtime.log.logWarning
import org.sapphirelever.runtime.peer.PeerConnection
import org.sapphirelever.runtime.supervision.SupervisorFailedException
import org.sapphirelever.runtime.supervision.supervisor
import org.sapphirelever.runtime.transport.Header
import org.sapphirelever.runtime.transport.Headers
import org.sapphirelever.runtime.transport.HttpConnection
import org.sapphirelever.runtime.transport.ResponseHead
import org.sapphirelever.runtime.transport.Sockets

/** Forwards requests under the settings of [source]; messages are those of [protocol]. */
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
    private val feed = StoreFeed(store, state)
    private val shutdown =
        GracefulShutdown(
            BALANCER_DELAY,
            profile.shutdownGracePeriod - BALANCER_DELAY - STOP_RESERVE,
            clock,
            emptyList()
        )
    private val metrics = ForwardingMetrics(state)

    /** A host that refuses keys must not be sent callers. */
    private val readyAge: Duration
        get() = minOf(READY_AGE, greatestBeliefAge(state.profile.maximumRevocationDelay))

    /** Begins a graceful stop. */
    public fun signal() {
        feed.withdraw()
        shutdown.signal()
    }

    /** Reads the settings again. */
    public fun reload() {
        settings.reload()
    }

    /** Runs until a signal stops the host or its supervisor gives up. */
    public suspend fun run(): ExitCode = coroutineScope {
        logEvent("host-started") {
            "host" to profile.host
            "data-centre" to profile.dataCentre
            "callers" to profile.callers
        }
        val tree =
            async {
                try {
                    tree().run()
                    ExitCode.SUCCESS
                } catch (failure: SupervisorFailedException) {
                    logWarning("host-gave-up") { "failure" to failure.cause }
                    ExitCode.INTERNAL
                }
            }
        val exit = async { shutdown.awaitExit() }
        val code = select { listOf(tree, exit).forEach { ended -> ended.onAwait { it } } }
        logEvent("host-stopped") { "code" to code.number }
        exit.cancelAndJoin()
        tree.cancel()
        code
    }

    private fun tree() = supervisor("forwarding-host", ROOT_POLICY, clock) {
        supervisor("store") {
            child("feed") { feed.follow() }
            child("announcement") { feed.announce() }
        }
        child("settings") { settings.follow() }
        child("callers") { callers() }
        child("readiness") { serveText(profile.readiness) { readiness() to ByteArray(0) } }
        child("metrics") { serveText(profile.metrics) { OK to metrics.scrape() } }
    }

    private suspend fun callers(): Unit = coroutineScope {
        // A failed stage call must not end the connections of callers.
        val work = CoroutineScope(currentCoroutineContext() + SupervisorJob())
        val pool = TargetPool(sockets, clock)
        launch { pool.closeExpired() }
        val calls = TargetCalls(pool, protocol, state)
        val releases = ResultRelease(work, calls, protocol)
        val local = LocalPieces(work, calls, protocol, state, releases, ::sharers)
        val pieces = PooledPieces(local, PieceLinks(work, sockets, state), state)
        val stages = StageWork(pieces, state)
        val suspicion = CrashSuspicion(work, sockets, store, state)
        val forwarding =
            RequestForwarding(protocol, state, calls, stages, pieces, suspicion)
        val server = PieceServer(local, state)
        launch {
            sockets.listen(profile.peers).use {
                it.runSockets { socket ->
                    PeerConnection(socket).use { peer -> server.serve(peer) }
                }
            }
        }
        val connections =
            CallerConnections(protocol, state, forwarding, shutdown, metrics)
        try {
            sockets.listen(profile.callers).use { it.run(connections::serve) }
        } finally {
            work.cancel()
        }
    }

    private fun sharers(service: ServiceName): Int =
        expectedSharers(service, state.hosts.value, profile.host)

    private fun readiness(): Int {
        val belief = state.belief.value
        val fresh = belief.age(state.moment())?.let { it < readyAge } == true
        val hasTargets = state.directory.value.targets.isNotEmpty()
        val ready = shutdown.announcesReady && fresh && belief.table != null && hasTargets
        return if (ready) OK else UNAVAILABLE
    }

    /** Answers each request on [endpoint] with a status and a body, whatever its path. */
    private suspend fun serveText(endpoint: Endpoint, answer: () -> Pair<Int, ByteArray>) {
        sockets.listen(endpoint).use { listener ->
            listener.run { connection -> serveText(connection, answer) }
        }
    }

    private suspend fun serveText(connection: HttpConnection, answer: () -> Pair<Int, ByteArray>) {
        while (true) {
            val request = connection.receiveRequest() ?: return
            val keeps = !request.headers.hasToken("Connection", "close")
            val (status, body) = answer()
            val type = Header("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
            val head = ResponseHead(status, "Answer", Headers(persistentListOf(type)))
            CallerAnswer(connection, withoutBody = false) { keeps }.whole(head, body)
            if (!keeps) return
        }
    }

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503

        /** The balancer asks each second and takes a host out after two misses. */
        val BALANCER_DELAY = 3.seconds

        /** Left of the time to stop for the end of the process itself. */
        val STOP_RESERVE = 500.milliseconds

        /**
         * Below the age at which keys are refused, so that the balancer sends callers elsewhere
         * before.
         */
        val READY_AGE = 3.seconds

        /** Counts over five minutes, since nested supervisors give up only after 26 s. */
        val ROOT_POLICY =
            RestartPolicy(
                strategy = Strategy.ONE_FOR_ONE,
                restarts = 3,
                window = 5.minutes
            )
    }
}
