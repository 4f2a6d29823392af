package org.sapphirelever.runtime.forward

import java.io.DataInputStream
import java.io.DataOutputStream
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.HostId
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.SystemMonotonicClock
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.HostAnnouncement
import org.sapphirelever.core.forwarding.HostProfile
import org.sapphirelever.core.forwarding.TargetRecord
import org.sapphirelever.decisions.forwarding.put
import org.sapphirelever.runtime.transport.Sockets
import org.sapphirelever.wire.peer.AbandonPieces
import org.sapphirelever.wire.peer.MadePieceMessage
import org.sapphirelever.wire.peer.MakePieces
import org.sapphirelever.wire.peer.PeerMessage
import org.sapphirelever.wire.peer.PiecesMade
import org.sapphirelever.wire.peer.ReleaseResults
import org.sapphirelever.wire.peer.decodePeerMessage
import org.sapphirelever.wire.peer.encodePeerMessage

class PeerPieceClientTest {
    private val service = ServiceName("encode")
    private val site = DataCentre("a")
    private val made =
        listOf(MadePieceMessage("handle-1", "t-1"), MadePieceMessage("handle-2", "t-1"))

    /** A host that executes pieces, over one accepted connection. */
    private class PeerStandIn(server: ServerSocket) {
        private val socket = server.accept()
        private val input = DataInputStream(socket.getInputStream())
        private val output = DataOutputStream(socket.getOutputStream())

        fun receive(): PeerMessage {
            val body = ByteArray(input.readInt())
            input.readFully(body)
            return decodePeerMessage(body)
        }

        fun send(message: PeerMessage) {
            val body = encodePeerMessage(message)
            output.writeInt(body.size)
            output.write(body)
            output.flush()
        }
    }

    /** Guards against results that occupy capacity until their lifetime ends. */
    @Test
    fun `results that cross the end of their request are released`() = runBlocking {
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
            Sockets().use { sockets ->
                val owner = HostId("owner")
                val state = state(owner, Endpoint("127.0.0.1", server.localPort))
                val client = PeerPieceClient(this, sockets, state)
                val isReceived = CompletableDeferred<Unit>()
                val released =
                    async(Dispatchers.IO) {
                        val peer = PeerStandIn(server)
                        val request = assertIs<MakePieces>(peer.receive())
                        isReceived.complete(Unit)
                        assertEquals(AbandonPieces(request.number), peer.receive())
                        peer.send(PiecesMade(request.number, made))
                        peer.receive()
                    }
                val request = launch { client.execute(owner, pieces()) }
                isReceived.await()
                request.cancelAndJoin()
                assertEquals(ReleaseResults(service.value, made), released.await())
                coroutineContext.cancelChildren()
            }
        }
    }

    private fun state(owner: HostId, endpoint: Endpoint): ForwardingState {
        val state = ForwardingState(profile(endpoint), SystemMonotonicClock)
        state.hosts.update { it.put(owner, HostAnnouncement(endpoint, FULL_CAPACITY)) }
        val target = TargetRecord(TargetId("t-1"), service, endpoint, site, 1, false, 1)
        state.directory.update { it.put(target, SystemMonotonicClock.now()) }
        return state
    }

    private fun pieces(): StagePieces = StagePieces(
        service = service,
        resultBytes = 1,
        rank = 0,
        deadline = SystemMonotonicClock.now() + 60.seconds,
        softDeadline = SystemMonotonicClock.now() + 60.seconds,
        inputs = persistentMapOf(),
        origin = site,
        orders =
            List(2) { PieceOrder("request", 0, it, Duration.ZERO, "key", persistentListOf()) }
    )

    private fun profile(endpoint: Endpoint): HostProfile = HostProfile(
        host = HostId("entry"),
        dataCentre = site,
        callers = endpoint,
        readiness = endpoint,
        metrics = endpoint,
        peers = endpoint,
        store = endpoint,
        shutdownGracePeriod = 1.seconds,
        maximumRevocationDelay = 1.seconds,
        maximumConfigurationDelay = 2.seconds,
        retryBudgetRatio = 0.2,
        retryBudgetExtra = 1,
        retryBudgetWindow = 1.seconds,
        minimumLeaseTtl = 1.seconds,
        capacityPercent = FULL_CAPACITY
    )

    private companion object {
        const val FULL_CAPACITY = 100
    }
}
