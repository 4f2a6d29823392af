package org.sapphirelever.runtime.peer

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.port
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.HostId
import org.sapphirelever.core.Incarnation
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.decisions.membership.Member
import org.sapphirelever.decisions.membership.MemberId
import org.sapphirelever.decisions.membership.MemberStatus
import org.sapphirelever.decisions.membership.MembershipEvent
import org.sapphirelever.decisions.membership.on
import org.sapphirelever.runtime.keys.ForwardResult
import org.sapphirelever.runtime.keys.KeyOwner
import org.sapphirelever.wire.OutcomeMessage
import org.sapphirelever.wire.RequestMessage
import org.sapphirelever.wire.peer.ForwardRequest
import org.sapphirelever.wire.peer.ForwardedOutcome

/** Guards against a forwarded request that may have run being reported as one that did not. */
class PeerKeysTest {
    private val request = RequestMessage("booking", "office", 4_000, "kennel 7", key = "k")
    private val outcome = OutcomeMessage("r", "owner", "complete", "ok", answer = "done")

    /** [answer] is the reply of the owner; null sends none and keeps the connection open. */
    private data class Case(
        val name: String,
        val expected: ForwardResult,
        val ownerLeft: Boolean = false,
        val answer: (ForwardRequest) -> ForwardedOutcome?
    )

    private val cases = listOf(
        Case("no answer in time", ForwardResult.Unclear) { null },
        Case("answer to another request", ForwardResult.Unclear) {
            ForwardedOutcome(it.number + 1, outcome)
        },
        Case("not the owner", ForwardResult.OwnerGone) { ForwardedOutcome(it.number) },
        Case("answer", ForwardResult.Answered(outcome)) { ForwardedOutcome(it.number, outcome) },
        Case("successor in another data centre", ForwardResult.Answered(outcome), true) {
            ForwardedOutcome(it.number, outcome)
        }
    )

    @Test
    fun `the reply of the owner determines the result`() = runBlocking {
        SelectorManager(Dispatchers.IO).use { selector ->
            cases.forEach { assertEquals(it.expected, forward(selector, it), it.name) }
        }
    }

    private suspend fun forward(selector: SelectorManager, case: Case): ForwardResult =
        aSocket(selector).tcp().bind(InetSocketAddress("127.0.0.1", 0)).use { server ->
            val peer = Endpoint("127.0.0.1", server.port)
            val serving = CoroutineScope(Dispatchers.IO).launch {
                PeerConnection(server.accept()).use { serve(it, protocol("b", "away", peer), case) }
            }
            val own = protocol("a", "home", Endpoint("127.0.0.1", 1))
            if (case.ownerLeft) own.addMember(departedOwner(peer))
            val owner = if (case.ownerLeft) departedOwner(peer) else member("b", "away", peer)
            val limit = if (case.name == "no answer in time") 200.milliseconds else 20.seconds
            val result = PeerKeys(own, selector)
                .forward(KeyOwner(owner.id.incarnation, owner.peer), request, limit)
            serving.cancel()
            result
        }

    private suspend fun serve(connection: PeerConnection, protocol: PeerProtocol, case: Case) {
        connection.receive(20.seconds)
        connection.send(protocol.hello())
        val forwarded = connection.receive(20.seconds) as ForwardRequest
        val answer = case.answer(forwarded) ?: awaitCancellation()
        connection.send(answer)
    }

    /** An owner that handed its claims over to process b; nothing listens at its own address. */
    private fun departedOwner(successor: Endpoint) =
        member("gone", "away", Endpoint("127.0.0.1", 1)).copy(
            status = MemberStatus.LEFT,
            successor = Incarnation("b"),
            successorPeer = successor
        )

    private fun PeerProtocol.addMember(member: Member) {
        val event = MembershipEvent.Received(null, listOf(member), MonotonicTime.ZERO)
        state.membership.decide { it.on(event) }
    }

    private fun protocol(name: String, dataCentre: String, peer: Endpoint) = PeerProtocol(
        PeerState(member(name, dataCentre, peer), MonotonicClock { MonotonicTime.ZERO })
    )

    private fun member(name: String, dataCentre: String, peer: Endpoint) = Member(
        id = MemberId(Incarnation(name)),
        host = HostId("host-$name"),
        dataCentre = DataCentre(dataCentre),
        peer = peer,
        http = peer
    )
}
