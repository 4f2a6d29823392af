package org.sapphirelever.runtime.peer

import java.net.ServerSocket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.HostId
import org.sapphirelever.core.Incarnation
import org.sapphirelever.core.OrganisationName
import org.sapphirelever.core.Revision
import org.sapphirelever.core.SystemMonotonicClock
import org.sapphirelever.core.resource.Organisation
import org.sapphirelever.platform.ListedHost
import org.sapphirelever.runtime.feed.Change
import org.sapphirelever.runtime.feed.ConfigurationWriter
import org.sapphirelever.runtime.feed.FakePlatform
import org.sapphirelever.runtime.host.HostSettings
import org.sapphirelever.runtime.keys.ForwardResult
import org.sapphirelever.runtime.keys.KeyHandoverOffer
import org.sapphirelever.runtime.keys.KeyOwner
import org.sapphirelever.runtime.keys.KeyRequests
import org.sapphirelever.runtime.supervision.supervisor
import org.sapphirelever.wire.OutcomeMessage
import org.sapphirelever.wire.RequestMessage

/** Guards the path over real sockets: membership, configuration, target lists and key messages. */
class EntryHostsTest {
    private class Host(val network: PeerNetwork, val settings: HostSettings, val job: Job) {
        val revision get() = network.state.configuration.value.inForce.revision
        val ready get() = network.state.configuration.value.ready
        val owner get() = KeyOwner(network.protocol.own.id.incarnation, settings.peer)
    }

    private object Keys : KeyRequests {
        override suspend fun run(request: RequestMessage) =
            OutcomeMessage("r", "owner", "complete", "ok", answer = request.input)

        override suspend fun takeOver(offer: KeyHandoverOffer) = offer.claims.isEmpty()
    }

    private val platform = FakePlatform()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)

    @Test
    fun `three hosts share configuration, targets, keys and an outage of the platform`() {
        runBlocking {
            try {
                withTimeout(60.seconds) { scenario() }
            } finally {
                scope.cancel()
            }
        }
    }

    private suspend fun scenario() {
        val writer = ConfigurationWriter(platform)
        platform.hosts = listOf(ListedHost("t1", "asystent", "krakow-a", "127.0.0.1", 1, false))
        val first = start("h1", emptyList())
        val second = start("h2", listOf(first.settings.peer))
        await { second.network.state.membership.value.members.size == 2 }
        assertEquals("no peer and no platform has a configuration", reasonOf(first))
        writer.write(change("one"))
        await { first.ready && second.ready && targetsOf(second) == listOf("t1") }

        platform.down = true
        val third = start("h3", listOf(second.settings.peer))
        await { third.ready && third.revision == Revision(1) && targetsOf(third) == listOf("t1") }
        first.network.protocol.report(
            first.network.state.targets.value.listed.single().id,
            dead = false
        )
        await { third.network.state.targets.value.targets.values.single().leaving }

        platform.down = false
        writer.write(change("two"))
        await { listOf(first, second, third).all { it.revision == Revision(2) } }
        keys(first, second, third)
    }

    private suspend fun keys(first: Host, second: Host, third: Host) {
        second.network.keyRequests = Keys
        val request = RequestMessage("p", "o", 1000, "input")
        val forward = third.network.keys.forward(second.owner, request, 5.seconds)
        assertEquals("input", assertIs<ForwardResult.Answered>(forward).outcome.answer)
        val earlier = second.owner.copy(incarnation = Incarnation("earlier process"))
        assertEquals(
            ForwardResult.OwnerGone,
            third.network.keys.forward(earlier, request, 5.seconds)
        )
        val offer = KeyHandoverOffer(first.owner, emptyList())
        assertEquals(true, first.network.handOver(offer, second.network.protocol.own))
        first.network.leave(second.owner.incarnation)
        await { statusOf(third, first) == "left" }
        first.job.cancelAndJoin()
        val handedOver = third.network.keys.forward(first.owner, request, 5.seconds)
        assertIs<ForwardResult.Answered>(handedOver)
    }

    private fun reasonOf(host: Host): String {
        val state = host.network.state.configuration.value
        return state.copy(sourcesAsked = true).notReadyReason
    }

    private fun targetsOf(host: Host): List<String> =
        host.network.state.targets.value.listed.map { it.id.value }

    private fun statusOf(host: Host, other: Host): String? =
        host.network.state.membership.value.members[other.network.protocol.own.id]
            ?.member?.status?.text

    private fun start(name: String, seeds: List<Endpoint>): Host {
        val settings = HostSettings(
            host = HostId(name),
            dataCentre = DataCentre("krakow-a"),
            http = Endpoint("127.0.0.1", 0),
            peer = Endpoint("127.0.0.1", ServerSocket(0).use { it.localPort }),
            platform = Endpoint("127.0.0.1", 0),
            seeds = seeds
        )
        val network =
            PeerNetwork(settings, Incarnation("$name-process"), platform, SystemMonotonicClock)
        val tree = supervisor(name) {
            network.configuration(this)
            network.membership(this)
        }
        return Host(network, settings, scope.launch { tree.run() })
    }

    private suspend fun await(condition: () -> Boolean) {
        while (!condition()) delay(20)
    }

    private fun change(identity: String) =
        Change(identity, null) { it.with(Organisation(OrganisationName(identity))) }
}
