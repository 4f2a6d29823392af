package org.sapphirelever.runtime.request

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO as ClientCIO
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.routing.routing
import java.net.Socket
import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.HostId
import org.sapphirelever.core.Incarnation
import org.sapphirelever.core.SapphireleverException
import org.sapphirelever.core.SystemMonotonicClock
import org.sapphirelever.runtime.keys.ForwardResult
import org.sapphirelever.runtime.keys.KeyForwarder
import org.sapphirelever.runtime.keys.KeyOwner
import org.sapphirelever.runtime.keys.KeyedRequests
import org.sapphirelever.runtime.keys.RequestRunner
import org.sapphirelever.wire.KeyMessage
import org.sapphirelever.wire.MessageJson
import org.sapphirelever.wire.OutcomeMessage

/** Guards against work for disconnected callers and against streams without an outcome event. */
class RequestRoutesTest {
    private val started = CompletableDeferred<Unit>()
    private val cancelled = CompletableDeferred<Unit>()
    private val runner =
        RequestRunner { message, tokens ->
            when (message.input) {
                "wait" -> {
                    try {
                        started.complete(Unit)
                        awaitCancellation()
                    } finally {
                        cancelled.complete(Unit)
                    }
                }

                "refuse" -> throw SapphireleverException(ErrorCode.UNKNOWN_PIPELINE)

                else -> {
                    tokens.accept(0, "a")
                    tokens.accept(1, "b")
                    OutcomeMessage("r", "h", "complete", "ok", answer = "ab")
                }
            }
        }
    private val owner = KeyOwner(Incarnation("i"), Endpoint("127.0.0.1", 1))
    private val forwarder = KeyForwarder { _, _, _ -> ForwardResult.OwnerGone }
    private val keyed =
        KeyedRequests(HostId("h"), owner, forwarder, runner, SystemMonotonicClock, Random(1))
    private val routes = RequestRoutes(BODY_LIMIT, runner, keyed, Explanations())
    private val server: EmbeddedServer<*, *> =
        embeddedServer(CIO, port = 0, host = "127.0.0.1") {
            routing { with(routes.routes) { install() } }
        }
    private val client = HttpClient(ClientCIO)

    @AfterTest
    fun stop() {
        client.close()
        server.stop(0, 0)
    }

    private data class Case(val name: String, val path: String, val body: String, val reply: String)

    private val cases =
        listOf(
            Case("plain", REQUESTS, body(), """"answer":"ab""""),
            Case("unknown pipeline", REQUESTS, body("refuse"), """"code":"unknown-pipeline""""),
            Case("malformed key", REQUESTS, body(key = "x"), """"code":"key-malformed""""),
            Case("no time", REQUESTS, body(deadline = 0), """"code":"deadline-passed""""),
            Case("no JSON", REQUESTS, "{", """"code":"malformed-request""""),
            Case("too long", REQUESTS, "x".repeat(BODY_LIMIT + 1), """"code":"body-too-large""""),
            Case("no organisation", "/v1/keys", "{}", """"code":"malformed-request"""")
        )

    @Test
    fun `each call is answered with its outcome or a coded error`() = runBlocking {
        val url = start()
        for (case in cases) {
            assertContains(send(url + case.path, case.body), case.reply, message = case.name)
        }
        assertContains(client.get("$url$REQUESTS/none/explanation").bodyAsText(), "not-found")
        val minted = send("$url/v1/keys", """{"organisation":"o"}""")
        val key = MessageJson.decodeFromString<KeyMessage>(minted).key
        assertContains(send(url + REQUESTS, body(key = key)), """"answer":"ab"""")
        assertContains(send(url + REQUESTS, body("other", key)), """"code":"key-mismatch"""")
    }

    @Test
    fun `a stream has each token once and one outcome as its last event`() = runBlocking {
        val url = start()
        val streamed = send(url + REQUESTS, body(stream = true)).trim().split("\n\n")
        assertEquals(listOf("token", "token", "outcome"), streamed.map { it.name() })
        assertEquals("""data: {"index":0,"text":"a"}""", streamed[0].lines()[1])
        val refused = send(url + REQUESTS, body("refuse", stream = true)).trim()
        assertContains(refused, """"outcome":"not-run","code":"unknown-pipeline"""")
    }

    @Test
    fun `a request whose caller closes the connection is cancelled`() = runBlocking {
        val url = start()
        val text = body("wait")
        Socket("127.0.0.1", url.substringAfterLast(':').toInt()).use { socket ->
            val length = "Content-Length: ${text.length}"
            val head = "POST $REQUESTS HTTP/1.1\r\nHost: h\r\n$length\r\n\r\n"
            socket.getOutputStream().write((head + text).encodeToByteArray())
            withTimeout(TIMEOUT) { started.await() }
        }
        withTimeout(TIMEOUT) { cancelled.await() }
    }

    private suspend fun start(): String {
        server.startSuspend(wait = false)
        return "http://127.0.0.1:${server.engine.resolvedConnectors().single().port}"
    }

    private suspend fun send(url: String, body: String): String =
        client.post(url) { setBody(body) }.bodyAsText()

    private fun String.name(): String = lines().first().removePrefix("event: ")

    private fun body(
        input: String = "input",
        key: String? = null,
        deadline: Long = 4_000,
        stream: Boolean = false
    ): String {
        val field = key?.let { ""","key":"$it"""" }.orEmpty()
        return """{"pipeline":"p","organisation":"o","deadlineMillis":$deadline,""" +
            """"input":"$input","stream":$stream$field}"""
    }

    private companion object {
        const val REQUESTS = "/v1/requests"
        const val BODY_LIMIT = 1_000
        val TIMEOUT = 30.seconds
    }
}
