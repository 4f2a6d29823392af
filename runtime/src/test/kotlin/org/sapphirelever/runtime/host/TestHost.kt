package org.sapphirelever.runtime.host

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import java.net.ServerSocket
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.encodeToString
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.ExitCode
import org.sapphirelever.core.HostId
import org.sapphirelever.core.Incarnation
import org.sapphirelever.core.resource.ServiceKind
import org.sapphirelever.core.resource.configuration
import org.sapphirelever.decisions.attempt.AnswerIdentity
import org.sapphirelever.decisions.attempt.AttemptResult
import org.sapphirelever.decisions.attempt.StageAnswer
import org.sapphirelever.runtime.feed.FakePlatform
import org.sapphirelever.runtime.store.ListedHost
import org.sapphirelever.runtime.store.StoredValue
import org.sapphirelever.runtime.target.CallResult
import org.sapphirelever.runtime.target.TargetCall
import org.sapphirelever.runtime.target.TargetClient
import org.sapphirelever.runtime.target.TokenSink
import org.sapphirelever.wire.MessageJson
import org.sapphirelever.wire.toMessage

/** A platform with one configuration and one target of each service. */
private fun platformWithTargets(): FakePlatform {
    val document =
        configuration {
            service("pool", ServiceKind.PLAIN)
            service("register", ServiceKind.PLAIN, idempotent = false)
            organisation("krakow")
            pipeline("chat") { listOf("a", "b", "c").forEach { stage(it, "pool") } }
            pipeline("booking") {
                listOf("a", "b").forEach { stage(it, "pool") }
                stage("c", "register")
            }
        }
    val stored = StoredValue(MessageJson.encodeToString(document.toMessage()), 1)
    return FakePlatform(initial = stored).apply {
        hosts = listOf("pool", "register").map {
            ListedHost(it, it, "here", "127.0.0.1", 1, leaving = false)
        }
    }
}

/** Answers each call with its input; calls whose input contains `hold` wait for [released]. */
internal class EchoClient : TargetClient {
    val held = CompletableDeferred<Unit>()
    val released = CompletableDeferred<Unit>()

    override suspend fun call(call: TargetCall, tokens: TokenSink): CallResult {
        if ("hold" in call.input) {
            held.complete(Unit)
            released.await()
        }
        val identity = AnswerIdentity(call.attempt, Incarnation("t"))
        return CallResult(AttemptResult.Answered(StageAnswer(identity, call.input, tokens = 0)))
    }
}

/** A running entry host with an HTTP client. */
internal class TestHost(
    scope: CoroutineScope,
    val targets: EchoClient = EchoClient(),
    balancerDelay: Duration = 200.milliseconds,
    steps: List<StopStep> = emptyList(),
    drainLimit: Duration = 20.seconds
) {
    private val port = ServerSocket(0).use { it.localPort }
    private val client = HttpClient(CIO) { expectSuccess = false }
    private val settings =
        HostSettings(
            host = HostId("h"),
            dataCentre = DataCentre("here"),
            http = Endpoint("127.0.0.1", port),
            peer = Endpoint("127.0.0.1", 0),
            platform = Endpoint("127.0.0.1", 0),
            balancerDelay = balancerDelay,
            drainLimit = drainLimit,
            bodyLimit = BODY_LIMIT
        )
    private val host = EntryHost(settings, platformWithTargets(), targets, stopSteps = steps)

    val exit: Deferred<ExitCode> = scope.async(Dispatchers.Default) { host.run() }

    fun signal() {
        host.signal()
    }

    suspend fun awaitStatus(path: String, status: Int) {
        while (runCatching { get(path).status.value }.getOrNull() != status) delay(10)
    }

    suspend fun get(path: String): HttpResponse = client.get("http://127.0.0.1:$port$path")

    suspend fun post(path: String, body: String): HttpResponse =
        client.post("http://127.0.0.1:$port$path") { setBody(body) }

    suspend fun chat(input: String): HttpResponse = post(
        "/v1/requests",
        """{"pipeline":"chat","organisation":"krakow","deadlineMillis":4000,"input":"$input"}"""
    )

    suspend fun answerTo(input: String): String = chat(input).bodyAsText()

    companion object {
        const val BODY_LIMIT = 4096
    }
}

/** Runs [test] against a ready host, with a timeout that only a hang exceeds. */
internal fun withHost(
    steps: List<StopStep> = emptyList(),
    balancerDelay: Duration = 200.milliseconds,
    drainLimit: Duration = 20.seconds,
    test: suspend CoroutineScope.(TestHost) -> Unit
) {
    runBlocking {
        withTimeout(30.seconds) {
            val host = TestHost(this, EchoClient(), balancerDelay, steps, drainLimit)
            host.awaitStatus("/readyz", 200)
            // A separate task reads the target list.
            while ("complete" !in host.answerTo("ready")) delay(10)
            test(host)
            host.exit.cancel()
        }
    }
}
