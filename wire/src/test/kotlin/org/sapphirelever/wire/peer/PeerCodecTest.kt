package org.sapphirelever.wire.peer

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue
import kotlinx.serialization.SerializationException
import org.sapphirelever.core.Revision
import org.sapphirelever.core.resource.Configuration
import org.sapphirelever.core.resource.configuration
import org.sapphirelever.decisions.configuration.applying
import org.sapphirelever.decisions.configuration.changeTo
import org.sapphirelever.wire.RequestMessage

/** Guards against messages that change in transit and against invalid frames that are accepted. */
class PeerCodecTest {
    private val endpoint = EndpointMessage("127.0.0.1", 7)
    private val member =
        MemberMessage("i", 1, "h", "krakow-a", endpoint, endpoint, 2, 1, successor = "s")
    private val gossip = GossipMessage(
        revision = 5,
        announced = 6,
        ready = true,
        tableHash = -1,
        targets = TargetVersionMessage(1, 2),
        members = listOf(member),
        marks = listOf(CrashMarkMessage("f", "t", 3)),
        health = listOf(TargetHealthMessage("t", true, 4))
    )
    private val messages = listOf(
        Hello(member, 3, "i"),
        Heartbeat(1, gossip),
        HeartbeatReply(1, GossipMessage()),
        MemberTable(listOf(member)),
        ConfigurationRequest(3),
        TargetList(
            "krakow-a",
            TargetVersionMessage(1, 1),
            listOf(TargetMessage("t", "s", "krakow-a", endpoint, true))
        ),
        ForwardRequest(1, "i", RequestMessage("p", "o", 10, "input")),
        ForwardedOutcome(1),
        KeyHandover("i", endpoint, emptyList()),
        KeyHandoverAccepted(true),
        Leaving(member),
        StoreChangesRequest(7),
        StoreChangesReply(revision = 9, ageMillis = -3, changes = listOf(ChangesMessage(9, "{}"))),
        StoreChangesReply(refusal = StoreRefusal.GAP)
    )

    @Test
    fun `every message survives encoding and decoding unchanged`() {
        for (message in messages) {
            assertEquals(message, decodePeerMessage(encodePeerMessage(message)))
        }
        assertEquals(member, member.toMember().toMessage())
    }

    @Test
    fun `a heartbeat without members, marks and health takes at most 60 bytes`() {
        val heartbeat =
            Heartbeat(
                1_000_000,
                gossip.copy(members = emptyList(), marks = emptyList(), health = emptyList())
            )
        val size = encodePeerMessage(heartbeat).size + FRAME_HEADER_BYTES
        assertTrue(size <= 60, "$size bytes")
    }

    @Test
    fun `a truncated, empty or oversized frame is rejected`() {
        val body = encodePeerMessage(messages.first())
        for (length in 0 until body.size) {
            assertFailsWith<SerializationException>("$length bytes") {
                decodePeerMessage(body.copyOf(length))
            }
        }
        listOf(-1, 0, MAXIMUM_FRAME_BYTES + 1).forEach { size ->
            assertFailsWith<SerializationException> { requireFrameSize(size) }
        }
    }

    @Test
    fun `a decoded delta transforms the earlier revision into the later one`() {
        val before = configuration(1) {
            organisation("kept")
            organisation("gone")
        }
        val after = configuration(2) {
            organisation("kept")
            organisation("new")
        }
        val received = decodePeerMessage(encodePeerMessage(before.changeTo(after).toMessage()))
        assertEquals(after, before.applying((received as ConfigurationDelta).toChange()))
        assertEquals(Revision.NONE, Configuration().revision)
    }
}
