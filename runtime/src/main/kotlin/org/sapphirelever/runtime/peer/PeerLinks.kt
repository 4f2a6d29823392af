/*
 * Links to other entry hosts: a listener with one task for each accepted connection, and one task
 * for each peer that this host connects to.
 */
package org.sapphirelever.runtime.peer

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.drop
import kotlinx.coroutines.launch
import kotlinx.coroutines.supervisorScope
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.Incarnation
import org.sapphirelever.decisions.membership.MemberId
import org.sapphirelever.decisions.supervision.RestartPolicy
import org.sapphirelever.runtime.StateCell
import org.sapphirelever.runtime.keys.KeyHandoverOffer
import org.sapphirelever.runtime.keys.KeyMessageHandler
import org.sapphirelever.runtime.keys.KeyOwner
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.runtime.supervision.ChildSet
import org.sapphirelever.wire.peer.ForwardRequest
import org.sapphirelever.wire.peer.ForwardedOutcome
import org.sapphirelever.wire.peer.HeartbeatReply
import org.sapphirelever.wire.peer.Hello
import org.sapphirelever.wire.peer.KeyHandover
import org.sapphirelever.wire.peer.KeyHandoverAccepted
import org.sapphirelever.wire.peer.Leaving
import org.sapphirelever.wire.peer.PeerMessage
import org.sapphirelever.wire.peer.toEndpoint
import org.sapphirelever.wire.peer.toMember
import org.sapphirelever.wire.peer.toMessage

/** A peer to connect to; [expected] is null for a seed, whose process is not known yet. */
public data class LinkKey(public val peer: Endpoint, public val expected: MemberId?)

/** Maintains the links of the host with [protocol]; [keyMessageHandler] handles key messages. */
public class PeerLinks(
    private val protocol: PeerProtocol,
    private val selector: SelectorManager,
    private val seeds: List<Endpoint>,
    private val keyMessageHandler: () -> KeyMessageHandler?
) {
    private val connections = StateCell(persistentSetOf<PeerConnection>())

    /** Seeds of other data centres that have answered a heartbeat. */
    private val answeredSeeds = StateCell(persistentSetOf<Endpoint>())
    private val desired = MutableStateFlow<Set<LinkKey>>(emptySet())

    /** Completes when the first peer has reported its revision; a starting host waits for it. */
    public val firstReport: CompletableDeferred<Unit> = CompletableDeferred()

    /** Accepts connections at [endpoint] until cancelled. */
    public suspend fun listen(endpoint: Endpoint) {
        val address = InetSocketAddress(endpoint.address, endpoint.port)
        aSocket(selector).tcp().bind(address) { reuseAddress = true }.use { server ->
            supervisorScope {
                while (true) {
                    val connection = PeerConnection(server.accept())
                    launch { connection.use { serve(it) } }
                }
            }
        }
    }

    /** Runs one task for each peer that this host connects to. */
    public suspend fun link() {
        ChildSet<LinkKey>("links", LINK_POLICY) { connect(it) }.run(desired)
    }

    /** Runs the timeouts of membership and updates the set of desired links, until cancelled. */
    public suspend fun detectFailures() {
        while (true) {
            protocol.tick()
            desired.value = desiredLinks()
            delay(TICK_INTERVAL)
        }
    }

    /** Sends `Leaving` on every connection, with a timeout for peers that accept no data. */
    public suspend fun announceLeaving() {
        val message = Leaving(protocol.own.toMessage())
        supervisorScope {
            connections.value.forEach { connection ->
                launch {
                    try {
                        connection.send(message, LEAVING_TIMEOUT)
                    } catch (failure: IOException) {
                        logEvent("leaving-not-sent") { "failure" to failure }
                    }
                }
            }
        }
    }

    private fun desiredLinks(): Set<LinkKey> {
        val membership = protocol.state.membership.value
        if (!membership.own.isLive) return desired.value
        val members = membership.lastHeardAt.keys.mapNotNull { membership.members[it]?.member }
        val known = membership.members.values.map { it.member }.filter { it.isLive }.map { it.peer }
        val answered = if (membership.unreachable.isEmpty()) answeredSeeds.value else emptySet()
        val unknownSeeds = seeds.filter { it !in known && it !in answered }
        return members.filter { it.peer.port != 0 }.map { LinkKey(it.peer, it.id) }.toSet() +
            unknownSeeds.map { LinkKey(it, null) }
    }

    private suspend fun connect(key: LinkKey) {
        PeerConnection.open(selector, key.peer).use { connection ->
            connection.send(protocol.hello(key.expected?.incarnation))
            val hello = connection.receive(RECEIVE_TIMEOUT) as? Hello
                ?: throw IOException("${key.peer} did not send a hello message first")
            val peer = hello.member.toMember().id
            if (key.expected != null && key.expected.incarnation != peer.incarnation) {
                throw IOException("${key.peer} is now incarnation ${peer.incarnation}")
            }
            protocol.receive(peer, hello).forEach { connection.send(it) }
            runConnection(connection, peer, sendsHeartbeats = true) {
                if (hello.member.dataCentre != protocol.own.dataCentre.value) {
                    answeredSeeds.update { it.add(key.peer) }
                }
            }
        }
    }

    private suspend fun serve(connection: PeerConnection) {
        try {
            val hello = connection.receive(RECEIVE_TIMEOUT) as? Hello ?: return
            connection.send(protocol.hello())
            val peer = hello.member.toMember().id
            val expected = hello.expected
            if (expected.isNotEmpty() && expected != protocol.own.id.incarnation.value) return
            protocol.receive(peer, hello).forEach { connection.send(it) }
            runConnection(connection, peer, sendsHeartbeats = false)
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (failure: Exception) {
            logEvent("peer-connection-ended") { "failure" to failure }
        }
    }

    /** Runs a connection until it fails; the host that opened it sends the heartbeats. */
    private suspend fun runConnection(
        connection: PeerConnection,
        peer: MemberId,
        sendsHeartbeats: Boolean,
        onReply: () -> Unit = {}
    ) {
        connections.update { it.add(connection) }
        try {
            coroutineScope {
                if (sendsHeartbeats) launch { sendHeartbeats(connection, peer) }
                launch {
                    protocol.changeCount.drop(1).collect {
                        connection.send(protocol.heartbeat(peer, 0))
                    }
                }
                while (true) {
                    val message = connection.receive(RECEIVE_TIMEOUT)
                    handle(connection, peer, message)
                    if (message is HeartbeatReply) onReply()
                }
            }
        } finally {
            connections.update { it.remove(connection) }
        }
    }

    private suspend fun sendHeartbeats(connection: PeerConnection, peer: MemberId) {
        var sequence = 1L
        while (true) {
            connection.send(protocol.heartbeat(peer, sequence++))
            delay(protocol.state.membership.value.settings.heartbeat)
        }
    }

    private suspend fun handle(connection: PeerConnection, peer: MemberId, message: PeerMessage) {
        when (message) {
            is ForwardRequest -> connection.send(runForwarded(message))

            is KeyHandover -> connection.send(KeyHandoverAccepted(takeOver(message)))

            else -> {
                protocol.receive(peer, message).forEach { connection.send(it) }
                if (peer in protocol.state.reports.value) firstReport.complete(Unit)
            }
        }
    }

    /** The handler checks whether this process owns the key, by minting or by handover. */
    private suspend fun runForwarded(forward: ForwardRequest): ForwardedOutcome =
        ForwardedOutcome(forward.number, keyMessageHandler()?.run(forward.request))

    private suspend fun takeOver(handover: KeyHandover): Boolean {
        val owner = KeyOwner(Incarnation(handover.incarnation), handover.peer.toEndpoint())
        return keyMessageHandler()?.takeOver(KeyHandoverOffer(owner, handover.claims)) ?: false
    }

    public companion object {
        /** A connection that delivers no message for three heartbeat intervals is closed. */
        public val RECEIVE_TIMEOUT: Duration = 6.seconds
        private val LEAVING_TIMEOUT = 1.seconds
        private val TICK_INTERVAL = 500.milliseconds

        /** A peer may be down for long, so the number of restarts is unlimited. */
        private val LINK_POLICY = RestartPolicy(
            firstDelay = 250.milliseconds,
            maximumDelay = 2.seconds,
            maximumRestarts = Int.MAX_VALUE
        )
    }
}
