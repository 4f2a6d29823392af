/*
 * Connections to the hosts that make pieces for this one. Each is read by one task.
 */
package org.sapphirelever.runtime.forward

import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import org.sapphirelever.core.HostId
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.TargetId
import org.sapphirelever.decisions.forwarding.PeerLiveness
import org.sapphirelever.decisions.forwarding.ServiceOutlook
import org.sapphirelever.decisions.forwarding.answered
import org.sapphirelever.decisions.forwarding.asked
import org.sapphirelever.decisions.forwarding.heard
import org.sapphirelever.runtime.StateCell
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.runtime.log.logWarning
import org.sapphirelever.runtime.peer.PeerConnection
import org.sapphirelever.runtime.transport.Sockets
import org.sapphirelever.wire.peer.AbandonPieces
import org.sapphirelever.wire.peer.MadePieceMessage
import org.sapphirelever.wire.peer.MakePieces
import org.sapphirelever.wire.peer.PeerMessage
import org.sapphirelever.wire.peer.PieceOrderMessage
import org.sapphirelever.wire.peer.PiecesMade
import org.sapphirelever.wire.peer.ReleaseResults
import org.sapphirelever.wire.peer.WorkContinues

/** Links to other hosts; their readers run in [scope]. */
public class PieceLinks(
    private val scope: CoroutineScope,
    private val sockets: Sockets,
    private val state: ForwardingState
) {
    private val links = ConcurrentHashMap<HostId, Link>()
    private val numbers = AtomicLong()

    /**
     * Results of [batch] as [owner] had them made. Throws [PeerUnavailableException] if it does
     * not answer, and [StageFailedException] if the pieces cannot be made.
     */
    public suspend fun make(owner: HostId, batch: PieceBatch): List<StageResult> =
        link(owner).make(batch)

    /** Passes [results] on to be released; false if there is no connection to [owner]. */
    public fun release(owner: HostId, results: List<StageResult>): Boolean =
        link(owner).release(results)

    /** Whether [owner] did not answer lately. */
    public fun isAvoided(owner: HostId): Boolean = links[owner]?.isAvoided == true

    /** Expected waiting time of pieces of [service] as [owner] told it last, if it did. */
    public fun outlook(owner: HostId, service: ServiceName): ServiceOutlook? =
        links[owner]?.waitEstimates?.get(service)

    private fun link(owner: HostId): Link = links.computeIfAbsent(owner) { Link(it) }

    /** The link to one host; it is connected when it is needed. */
    private inner class Link(private val owner: HostId) {
        private val connecting = Mutex()
        private val pending = ConcurrentHashMap<Long, CompletableDeferred<PiecesMade>>()

        private val liveness = StateCell(PeerLiveness())

        @Volatile
        private var connection: PeerConnection? = null

        @Volatile
        var isAvoided: Boolean = false
            private set

        @Volatile
        var waitEstimates: PersistentMap<ServiceName, ServiceOutlook> = persistentMapOf()
            private set

        suspend fun make(batch: PieceBatch): List<StageResult> {
            val open = connected()
            val number = numbers.incrementAndGet()
            val answer = CompletableDeferred<PiecesMade>()
            pending[number] = answer
            liveness.update { it.asked(state.clock.now()) }
            try {
                send(open, batch.toMessage(number))
                val left = batch.due - state.clock.now()
                val made =
                    withTimeoutOrNull(left) { answer.await() }
                        ?: throw StageFailedException("${batch.service}: late")
                made.failure?.let { throw StageFailedException(it) }
                return made.results.map { it.toResult(batch) }
            } finally {
                pending.remove(number)
                liveness.update { it.answered() }
                if (!answer.isCompleted) abandon(open, number)
            }
        }

        fun release(results: List<StageResult>): Boolean {
            val open = connection ?: return false
            scope.launch {
                results.groupBy { it.maker.service }.forEach { (service, made) ->
                    val messages = made.map { MadePieceMessage(it.handle, it.maker.id.value) }
                    try {
                        send(open, ReleaseResults(service.value, messages))
                    } catch (failure: PeerUnavailableException) {
                        // The makers drop the results by themselves after their lifetime.
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
                    PeerConnection(sockets.connectSocket(endpoint, CONNECT_LIMIT))
                } catch (failure: IOException) {
                    avoid(failure)
                    throw PeerUnavailableException("no connection", failure)
                }
            connection = opened
            scope.launch { read(opened) }
            scope.launch { watch(opened) }
            logEvent("peer-connected") { "peer" to owner }
            opened
        }

        /** Reads answers until the connection ends. */
        private suspend fun read(open: PeerConnection) {
            try {
                while (true) {
                    val message = open.receive(IDLE_LIMIT)
                    liveness.update { it.heard(state.clock.now()) }
                    when (message) {
                        is PiecesMade -> pending[message.number]?.complete(message)
                        is WorkContinues -> waitEstimates = message.toOutlooks()
                        else -> throw IOException("unexpected ${message::class.simpleName}")
                    }
                }
            } catch (failure: IOException) {
                lose(open, failure)
            } catch (failure: SerializationException) {
                lose(open, failure)
            }
        }

        /** Gives the connection up when the peer owes an answer and falls silent. */
        private suspend fun watch(open: PeerConnection) {
            while (connection === open) {
                delay(WATCH_PERIOD)
                if (liveness.value.isSilent(state.clock.now())) lose(open, IOException("silent"))
            }
        }

        private suspend fun send(open: PeerConnection, message: PeerMessage) {
            try {
                open.send(message, PeerLiveness.SILENCE_LIMIT)
            } catch (failure: IOException) {
                lose(open, failure)
                throw PeerUnavailableException("connection lost", failure)
            }
        }

        private suspend fun abandon(open: PeerConnection, number: Long) {
            if (connection !== open) return
            withContext(NonCancellable) {
                try {
                    open.send(AbandonPieces(number), PeerLiveness.SILENCE_LIMIT)
                } catch (failure: IOException) {
                    lose(open, failure)
                }
            }
        }

        private fun lose(open: PeerConnection, failure: Throwable) {
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
            logEvent("peer-avoided") {
                "peer" to owner
                "failure" to failure.message
            }
            scope.launch { reconnect() }
        }

        /** Ends the avoidance as soon as a connection opens again, at no request's expense. */
        private suspend fun reconnect() {
            while (owner in state.hosts.value) {
                delay(RECONNECT_PERIOD)
                try {
                    connect()
                    break
                } catch (_: PeerUnavailableException) {
                    // Still unreachable; the loss has been logged.
                    continue
                }
            }
            isAvoided = false
        }

        private fun PieceBatch.toMessage(number: Long): MakePieces = MakePieces(
            number = number,
            service = service.value,
            request = orders.first().request,
            stage = orders.first().stage,
            resultBytes = resultBytes,
            rank = rank,
            remainingMillis = (due - state.clock.now()).inWholeMilliseconds,
            dataCentre = origin.value,
            inputs = inputs.mapKeys { it.key.value },
            softDeadlineMillis = (aim - state.clock.now()).inWholeMilliseconds,
            pieces = orders.map { PieceOrderMessage(it.piece, it.key, it.inputs) }
        )

        private fun MadePieceMessage.toResult(batch: PieceBatch): StageResult {
            val maker =
                state.directory.value.targets[TargetId(maker)]?.record
                    ?: throw StageFailedException("${batch.service}: unknown maker $maker")
            return StageResult(handle, maker, batch.resultBytes, owner)
        }

        private fun WorkContinues.toOutlooks(): PersistentMap<ServiceName, ServiceOutlook> {
            val now = state.clock.now()
            return waitEstimates.associate { told ->
                val waits = told.waitMillis.mapValues { it.value.milliseconds }
                ServiceName(told.service) to ServiceOutlook(waits.toPersistentMap(), now)
            }.toPersistentMap()
        }
    }

    private companion object {
        /** Short against the silence that ends a connection. */
        val WATCH_PERIOD = 100.milliseconds

        /** Longer than any pause between requests that matters; then the link is opened anew. */
        val IDLE_LIMIT = 60.seconds
        val CONNECT_LIMIT = 250.milliseconds

        /** Pause between attempts to reach a host again that did not answer. */
        val RECONNECT_PERIOD = 1.seconds
    }
}
