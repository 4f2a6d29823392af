package org.sapphirelever.runtime.peer

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.delete
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import java.net.ServerSocket
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
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
import org.sapphirelever.core.Revision
import org.sapphirelever.runtime.feed.FakePlatform
import org.sapphirelever.runtime.host.EntryHost
import org.sapphirelever.runtime.host.HostSettings
import org.sapphirelever.runtime.keys.ForwardResult
import org.sapphirelever.runtime.keys.KeyHandoverOffer
import org.sapphirelever.runtime.keys.KeyMessageHandler
import org.sapphirelever.runtime.keys.KeyOwner
import org.sapphirelever.runtime.store.ListedHost
import org.sapphirelever.runtime.target.CallResult
import org.sapphirelever.runtime.target.TargetCall
import org.sapphirelever.runtime.target.TargetClient
import org.sapphirelever.runtime.target.TokenSink
import org.sapphirelever.wire.OutcomeMessage
import org.sapphirelever.wire.RequestMessage

/** Guards against faults between hosts over sockets: membership, configuration, targets, keys. */
class EntryHostsTest {
    private class Host(val network: PeerNetwork, val settings: HostSettings, val job: Job) {
        val revision get() = network.state.configuration.value.inForce.revision
        val ready get() = network.state.configuration.value.ready
        val owner get() = KeyOwner(network.protocol.own.id.incarnation, settings.peer)
    }

    private object AcceptingKeyMessageHandler : KeyMessageHandler {
        override suspend fun run(request: RequestMessage) =
            OutcomeMessage("r", "owner", "complete", "ok", answer = request.input)

        override suspend fun takeOver(offer: KeyHandoverOffer) = offer.claims.isEmpty()
    }

    private object NoTargets : TargetClient {
        override suspend fun call(call: TargetCall, tokens: TokenSink): CallResult =
            error("the test sends no request")
    }

    private val platform = FakePlatform()
    private val client = HttpClient(CIO) { expectSuccess = false }
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)

    @Test
    fun `three hosts share configuration, targets and keys despite an outage of the platform`() {
        runBlocking {
            try {
                withTimeout(60.seconds) { scenario() }
            } finally {
                scope.cancel()
                client.close()
            }
        }
    }

    private suspend fun scenario() {
        platform.hosts = listOf(ListedHost("t1", "asystent", "krakow-a", "127.0.0.1", 1, false))
        val first = start("h1", emptyList())
        val second = start("h2", listOf(first.settings.peer))
        awaitUntil { second.network.state.membership.value.members.size == 2 }
        assertEquals("no peer and no platform has a configuration", reasonOf(first))
        assertEquals("""{"revision":1,"change":"one"}""", apply(first, "one"))
        awaitUntil { first.ready && second.ready && targetsOf(second) == listOf("t1") }

        platform.down = true
        val third = start("h3", listOf(second.settings.peer))
        awaitUntil {
            third.ready && third.revision == Revision(1) &&
                targetsOf(third) == listOf("t1")
        }
        first.network.protocol.report(
            first.network.state.targets.value.listed.single().id,
            dead = false
        )
        awaitUntil { third.network.state.targets.value.targets.values.single().leaving }

        platform.down = false
        val watched = scope.async { get(third, "/v1/resources/watch?after=1") }
        assertEquals("""{"revision":2,"change":"two"}""", apply(second, "two"))
        awaitUntil { listOf(first, second, third).all { it.revision == Revision(2) } }
        assertContains(watched.await(), "\"revision\":2")
        checkResourceApi(first, third)
        checkKeyMessages(first, second, third)
    }

    /** Cases of the resource API that no other test covers. */
    private suspend fun checkResourceApi(first: Host, third: Host) {
        assertContains(apply(first, "late", expected = 1), "won, written by change two")
        val invalid = """{"change":"x","dryRun":true,"resources":{"services":[
            {"name":"A","type":"unknown"}]}}"""
        assertContains(post(first, invalid), "type 'unknown' is not one of")
        assertContains(apply(first, "dry", dryRun = true), "\"valid\":true")
        assertContains(get(third, "/v1/resources/organisations/one"), "\"name\":\"one\"")
        val deleted = client.delete("${url(first)}/v1/resources/organisations/one?change=gone")
        assertEquals("""{"revision":3,"change":"gone"}""", deleted.bodyAsText())
        awaitUntil { third.revision == Revision(3) }
        assertContains(get(third, "/v1/resources/organisations/one"), "unknown-resource")
        awaitUntil { "\"revision\":3" in status(third) && "h1" in status(third) }
    }

    private suspend fun status(host: Host): String = get(host, "/v1/status")

    private suspend fun apply(
        host: Host,
        name: String,
        expected: Long? = null,
        dryRun: Boolean = false
    ): String = post(
        host,
        """{"change":"$name","expectedRevision":$expected,"dryRun":$dryRun,
            "resources":{"organisations":[{"name":"$name"}]}}"""
    )

    private suspend fun post(host: Host, body: String): String =
        client.post("${url(host)}/v1/resources/apply") { setBody(body) }.bodyAsText()

    private suspend fun get(host: Host, path: String): String =
        client.get("${url(host)}$path").bodyAsText()

    private fun url(host: Host): String = "http://${host.settings.http}"

    private suspend fun checkKeyMessages(first: Host, second: Host, third: Host) {
        second.network.keyMessageHandler = AcceptingKeyMessageHandler
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
        awaitUntil { statusOf(third, first) == "left" }
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
            http = Endpoint("127.0.0.1", freePort()),
            peer = Endpoint("127.0.0.1", freePort()),
            platform = Endpoint("127.0.0.1", 0),
            seeds = seeds
        )
        val host = EntryHost(settings, platform, NoTargets)
        return Host(host.network, settings, scope.launch { host.run() })
    }

    private fun freePort(): Int = ServerSocket(0).use { it.localPort }

    private suspend fun awaitUntil(condition: suspend () -> Boolean) {
        while (!condition()) delay(20)
    }
}
