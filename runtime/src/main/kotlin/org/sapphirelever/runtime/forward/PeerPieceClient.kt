/*
 * Connections to the hosts that execute pieces for this one. Each is read by one task.
 */
package org.sapphirelever.runtime.forward

import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import org.sapphirelever.core.HostId
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.TargetId
import org.sapphirelever.decisions.forwarding.AnnouncedWork
import org.sapphirelever.decisions.forwarding.PeerAvoidance
import org.sapphirelever.decisions.forwarding.PeerLiveness
import org.sapphirelever.decisions.forwarding.WaitEstimate
import org.sapphirelever.decisions.forwarding.answered
import org.sapphirelever.decisions.forwarding.messageReceived
import org.sapphirelever.decisions.forwarding.requestSent
import org.sapphirelever.runtime.StateCell
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.runtime.log.logWarning
import org.sapphirelever.runtime.peer.PeerConnection
import org.sapphirelever.runtime.transport.Sockets
import org.sapphirelever.wire.peer.AbandonPieces
import org.sapphirelever.wire.peer.EvacuationsKnown
import org.sapphirelever.wire.peer.MadePieceMessage
import org.sapphirelever.wire.peer.MakePieces
import org.sapphirelever.wire.peer.PeerMessage
import org.sapphirelever.wire.peer.PieceOrderMessage
import org.sapphirelever.wire.peer.PiecesMade
import org.sapphirelever.wire.peer.ReleaseResults
import org.sapphirelever.wire.peer.WorkContinues

/** Sends pieces to other hosts; the tasks of the connections run in [scope]. */
public class PeerPieceClient(
    private val scope: CoroutineScope,
    private val sockets: Sockets,
    private val state: ForwardingState
) {
    private val links = ConcurrentHashMap<HostId, Link>()
    private val requestNumbers = AtomicLong()

    /**
     * Has [pieces] executed by [owner] and returns the results. Throws [PeerUnavailableException]
     * if [owner] does not respond and [StageFailedException] if it cannot execute them.
     */
    public suspend fun execute(owner: HostId, pieces: StagePieces): List<StageResult> =
        link(owner).execute(pieces)

    /** Asks [owner] to release [results]; false if there is no connection to it. */
    public fun release(owner: HostId, results: List<StageResult>): Boolean =
        link(owner).release(results)

    /** Whether [owner] could not be reached or did not answer, and has not been reached since. */
    public fun isAvoided(owner: HostId): Boolean = links[owner]?.isAvoided == true

    /** Expected waiting time of new pieces of [service] as last reported by [owner], if any. */
    public fun waitEstimate(owner: HostId, service: ServiceName): WaitEstimate? =
        links[owner]?.waitEstimates?.get(service)

    /** Work on its way to later stages as last reported by each host. */
    public fun announcedWork(): List<AnnouncedWork> = links.values.map { it.announced }

    private fun link(owner: HostId): Link = links.computeIfAbsent(owner) { Link(it) }

    /** The link to one host, connected on demand. */
    private inner class Link(private val owner: HostId) {
        private val connecting = Mutex()
        private val pending = ConcurrentHashMap<Long, CompletableDeferred<PiecesMade>>()

        private val liveness = StateCell(PeerLiveness())
        private val avoidance = StateCell(PeerAvoidance())

        @Volatile
        private var connection: PeerConnection? = null

        @Volatile
        var isAvoided: Boolean = false
            private set

        @Volatile
        var waitEstimates: PersistentMap<ServiceName, WaitEstimate> = persistentMapOf()
            private set

        @Volatile
        var announced: AnnouncedWork = AnnouncedWork(at = MonotonicTime.ZERO)
            private set

        suspend fun execute(pieces: StagePieces): List<StageResult> {
            val open = connected()
            val number = requestNumbers.incrementAndGet()
            val response = CompletableDeferred<PiecesMade>()
            pending[number] = response
            liveness.update { it.requestSent(state.clock.now()) }
            try {
                send(open, pieces.toMessage(number))
                val remaining = pieces.deadline - state.clock.now()
                val made =
                    withTimeoutOrNull(remaining) { response.await() }
                        ?: throw StageFailedException("${pieces.service}: late")
                made.failure?.let { throw StageFailedException(it) }
                return made.results.map { it.toResult(pieces) }
            } finally {
                pending.remove(number)
                liveness.update { it.answered() }
                if (!response.isCompleted) abandon(open, number)
            }
        }

        fun release(results: List<StageResult>): Boolean {
            val open = connection ?: return false
            scope.launch {
                results.groupBy { it.producer.service }.forEach { (service, made) ->
                    val messages = made.map { MadePieceMessage(it.handle, it.producer.id.value) }
                    try {
                        send(open, ReleaseResults(service.value, messages))
                    } catch (failure: PeerUnavailableException) {
                        // The producers drop the results themselves when their lifetime ends.
                        logWarning("release-lost") { "failure" to failure.message }
                    }
                }
            }
            return true
        }

        private suspend fun connected(): PeerConnection {
            connection?.let { return it }
            if (isAvoided) throw PeerUnavailableException("avoided")
            return connect()
        }

        private suspend fun connect(): PeerConnection = connecting.withLock {
            connection?.let { return@withLock it }
            val endpoint =
                state.hosts.value[owner]?.peers ?: throw PeerUnavailableException("unknown host")
            val opened =
                try {
                    PeerConnection(sockets.connectSocket(endpoint, CONNECT_TIMEOUT))
                } catch (failure: IOException) {
                    avoid(failure)
                    throw PeerUnavailableException("no connection", failure)
                }
            connection = opened
            scope.launch { read(opened) }
            scope.launch { monitor(opened) }
            logEvent("peer-connected") { "peer" to owner }
            opened
        }

        /** Reads messages until the connection closes. */
        private suspend fun read(open: PeerConnection) {
            try {
                coroutineScope {
                    launch { state.evacuations.sendTo(open) }
                    receive(open)
                }
            } catch (failure: IOException) {
                discard(open, failure)
            } catch (failure: SerializationException) {
                discard(open, failure)
            }
        }

        private suspend fun receive(open: PeerConnection): Nothing {
            while (true) {
                val message = open.receive(IDLE_TIMEOUT)
                liveness.update { it.messageReceived(state.clock.now()) }
                when (message) {
                    is PiecesMade -> receive(message)

                    is WorkContinues -> {
                        waitEstimates = message.toWaitEstimates()
                        announced = message.toAnnouncedWork(state.clock.now())
                    }

                    is EvacuationsKnown -> state.evacuations.receive(message)

                    else -> throw IOException("unexpected ${message::class.simpleName}")
                }
            }
        }

        /** Closes the connection if requests are pending and the liveness timeout expires. */
        private suspend fun monitor(open: PeerConnection) {
            while (connection === open) {
                delay(MONITOR_PERIOD)
                if (liveness.value.isSilent(state.clock.now())) discard(open, IOException("silent"))
            }
        }

        private suspend fun send(open: PeerConnection, message: PeerMessage) {
            try {
                open.send(message, PeerLiveness.LIVENESS_TIMEOUT)
            } catch (failure: IOException) {
                discard(open, failure)
                throw PeerUnavailableException("connection lost", failure)
            }
        }

        private suspend fun abandon(open: PeerConnection, number: Long) {
            if (connection !== open) return
            withContext(NonCancellable) {
                try {
                    open.send(AbandonPieces(number), PeerLiveness.LIVENESS_TIMEOUT)
                } catch (failure: IOException) {
                    discard(open, failure)
                }
            }
        }

        private fun discard(open: PeerConnection, failure: Throwable) {
            open.close()
            if (connection !== open) return
            connection = null
            if (pending.isNotEmpty()) avoid(failure)
            logEvent("peer-lost") {
                "peer" to owner
                "pending" to pending.size
                "failure" to failure.message
            }
            val lost = PeerUnavailableException("connection lost", failure)
            pending.values.forEach { it.completeExceptionally(lost) }
        }

        private fun avoid(failure: Throwable) {
            if (isAvoided) return
            isAvoided = true
            val pause = avoidance.update { it.lost(state.clock.now()) }.pause
            logEvent("peer-avoided") {
                "peer" to owner
                "pause-ms" to pause.inWholeMilliseconds
                "failure" to failure.message
            }
            scope.launch { reconnect(pause) }
        }

        /** Reconnects in the background, so that no request waits for an unreachable host. */
        private suspend fun reconnect(pause: Duration) {
            delay(pause)
            while (owner in state.hosts.value) {
                try {
                    connect()
                    break
                } catch (_: PeerUnavailableException) {
                    // Still unreachable; the loss of the connection is already logged.
                    delay(RECONNECT_PERIOD)
                }
            }
            isAvoided = false
        }

        private fun StagePieces.toMessage(number: Long): MakePieces = MakePieces(
            number = number,
            service = service.value,
            request = orders.first().request,
            stage = orders.first().stage,
            resultBytes = resultBytes,
            rank = rank,
            remainingMillis = (deadline - state.clock.now()).inWholeMilliseconds,
            dataCentre = origin.value,
            inputs = inputs.mapKeys { it.key.value },
            softDeadlineMillis = (softDeadline - state.clock.now()).inWholeMilliseconds,
            pieces = orders.map { PieceOrderMessage(it.piece, it.key, it.inputs) },
            later = later.mapKeys { it.key.value },
            laterMillis = laterWork.inWholeMilliseconds
        )

        /** Completes the request of [message], whose results are released if it has ended. */
        private fun receive(message: PiecesMade) {
            if (pending[message.number]?.complete(message) == true) return
            val results =
                message.results.mapNotNull { made ->
                    val producer = state.directory.value.targets[TargetId(made.maker)]?.record
                    producer?.let { StageResult(made.handle, it, 0, owner) }
                }
            if (results.isNotEmpty()) release(results)
        }

        private fun MadePieceMessage.toResult(pieces: StagePieces): StageResult {
            val producer =
                state.directory.value.targets[TargetId(maker)]?.record
                    ?: throw StageFailedException("${pieces.service}: unknown maker $maker")
            return StageResult(handle, producer, pieces.resultBytes, owner)
        }

        private fun WorkContinues.toWaitEstimates(): PersistentMap<ServiceName, WaitEstimate> =
            waitEstimates
                .associate { ServiceName(it.service) to it.toWaitEstimate(state.clock.now()) }
                .toPersistentMap()
    }

    private companion object {
        /** Short compared to the liveness timeout. */
        val MONITOR_PERIOD = 100.milliseconds

        /** Longer than the usual pauses between requests; a later request reconnects. */
        val IDLE_TIMEOUT = 60.seconds
        val CONNECT_TIMEOUT = 250.milliseconds

        /** Pause between attempts to reconnect to a host that was lost. */
        val RECONNECT_PERIOD = 1.seconds
    }
}
