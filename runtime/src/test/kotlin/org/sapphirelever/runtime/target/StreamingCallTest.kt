package org.sapphirelever.runtime.target

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import io.ktor.utils.io.writeStringUtf8
import java.io.IOException
import java.net.ConnectException
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.encodeToString
import org.sapphirelever.core.AttemptId
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.Priority
import org.sapphirelever.core.RequestId
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.StageName
import org.sapphirelever.core.TargetId
import org.sapphirelever.decisions.attempt.AttemptResult
import org.sapphirelever.decisions.attempt.RefusalReason
import org.sapphirelever.decisions.routing.Target
import org.sapphirelever.wire.MessageJson
import org.sapphirelever.wire.RefusalMessage
import org.sapphirelever.wire.RunAnswerMessage
import org.sapphirelever.wire.StreamDoneMessage
import org.sapphirelever.wire.TokenMessage

/** Guards against lost, duplicate or foreign tokens, and truncated answers taken as complete. */
class StreamingCallTest {
    /** One action of the engine on a connection. */
    private sealed interface Action {
        data class Token(val index: Int) : Action

        data class Done(val tokens: Int, val request: String = REQUEST) : Action

        /** Sends nothing more and keeps the connection open. */
        data object Silence : Action

        data object Break : Action

        data class Status(val code: Int, val body: String) : Action
    }

    private data class Case(
        val name: String,
        val connections: List<List<Action>>,
        val expected: AttemptResult?,
        val tokens: Int = 3,
        val resumedAfter: List<Int> = emptyList(),
        val cancelled: Boolean = expected != null
    )

    private val complete = tokens(0..2) + Action.Done(3)
    private val lost = AttemptResult.MayHaveRun(ErrorCode.TARGET_LOST)
    private val truncated = AttemptResult.MayHaveRun(ErrorCode.TRUNCATED)
    private val busy = MessageJson.encodeToString(RefusalMessage("busy", "p"))

    // An expected result of null stands for the complete answer "t0t1t2".
    private val cases =
        listOf(
            Case("whole", listOf(complete), null),
            Case("duplicate tokens", listOf(tokens(0..1) + complete), null),
            Case(
                "silent after two tokens",
                listOf(tokens(0..1) + Action.Silence, complete),
                null,
                3,
                listOf(1)
            ),
            Case(
                "silent before the first token",
                listOf(listOf(Action.Silence), complete),
                null,
                3,
                listOf(-1)
            ),
            Case("broken", listOf(tokens(0..0) + Action.Break, complete), null, 3, listOf(0)),
            Case(
                "gap",
                listOf(listOf(Action.Token(0), Action.Token(2)), complete),
                null,
                3,
                listOf(0)
            ),
            Case("end without done", listOf(tokens(0..1), complete), null, 3, listOf(1)),
            Case(
                "done too early",
                listOf(tokens(0..1) + Action.Done(3), complete),
                null,
                3,
                listOf(1)
            ),
            Case("always truncated", List(4) { tokens(0..1) }, truncated, 2, listOf(1, 1, 1)),
            Case("count too small", listOf(tokens(0..2) + Action.Done(2)), truncated),
            Case("always silent", List(4) { listOf(Action.Silence) }, lost, 0, listOf(-1, -1, -1)),
            Case("crossed", listOf(tokens(0..2) + Action.Done(3, "other")), lost),
            Case(
                "stream unknown on resume",
                listOf(tokens(0..0) + Action.Break, listOf(Action.Status(404, "{}"))),
                lost,
                1,
                listOf(0)
            ),
            Case(
                "refused",
                listOf(listOf(Action.Status(503, busy))),
                AttemptResult.NotRun(ErrorCode.OVERLOADED, RefusalReason.BUSY),
                0,
                cancelled = false
            ),
            Case(
                "not a refusal",
                listOf(listOf(Action.Status(503, "<html>"))),
                AttemptResult.Failed(ErrorCode.TARGET_FAILED, "malformed answer"),
                0,
                cancelled = false
            )
        )

    private val connections = AtomicInteger()
    private val resumedAfter = mutableListOf<Int>()
    private val cancels = Channel<Unit>(Channel.UNLIMITED)
    private var script: List<List<Action>> = emptyList()

    /** Request that the answer names, or null for a target that does not answer. */
    private var runAnswer: String? = null
    private val client = HttpTargetClient(TargetSettings(idleTimeout = TIMEOUT))

    /** Only for cases with silence; other cases could exceed its idle timeout on a busy machine. */
    private val shortTimeoutClient = HttpTargetClient(TargetSettings(idleTimeout = SHORT_TIMEOUT))

    /** Index of the last token that the client has delivered. */
    private val lastSeen = MutableStateFlow(-1)
    private val server: EmbeddedServer<*, *> =
        embeddedServer(CIO, port = 0, host = "127.0.0.1") {
            routing {
                post("/v1/stream") { replay(call) }
                post("/v1/run") {
                    val request = runAnswer ?: awaitCancellation()
                    val answer = RunAnswerMessage(request, "s", 1, "p", "output")
                    call.respondText(MessageJson.encodeToString(answer))
                }
                get("/v1/streams/{request}/{stage}/{attempt}") {
                    resumedAfter.add(call.parameters["after"]!!.toInt())
                    replay(call)
                }
                delete("/v1/streams/{request}/{stage}/{attempt}") {
                    cancels.send(Unit)
                    call.respondText("{}")
                }
            }
        }

    @AfterTest
    fun stop() {
        client.close()
        shortTimeoutClient.close()
        server.stop(0, 0)
    }

    @Test
    fun `each stream ends with the complete answer or the expected failure`() = runBlocking {
        server.startSuspend(wait = false)
        val port = server.engine.resolvedConnectors().single().port
        for (case in cases) {
            script = case.connections
            connections.set(0)
            resumedAfter.clear()
            val seen = mutableListOf<String>()
            lastSeen.value = -1
            val silent = case.connections.any { Action.Silence in it }
            val result =
                (if (silent) shortTimeoutClient else client).call(call(port)) { index, text ->
                    seen.add("$index:$text")
                    lastSeen.value = index
                }
            check(case, result, seen)
        }
    }

    private data class RunCase(val name: String, val request: String?, val answered: Boolean)

    private val runCases =
        listOf(
            RunCase("own answer", REQUEST, true),
            RunCase("crossed answer", "other", false),
            RunCase("silent target", null, false)
        )

    @Test
    fun `a call without a stream takes only its own answer within the timeout`() = runBlocking {
        server.startSuspend(wait = false)
        val port = server.engine.resolvedConnectors().single().port
        for (case in runCases) {
            runAnswer = case.request
            val timeout = if (case.request == null) SHORT_TIMEOUT else TIMEOUT
            val call = call(port).copy(stream = false, answerTimeout = timeout)
            val result = client.call(call)
            assertEquals(case.answered, result.result is AttemptResult.Answered, case.name)
            if (!case.answered) assertEquals<AttemptResult>(lost, result.result, case.name)
            assertEquals(if (case.request == "other") 1 else 0, result.droppedAnswers, case.name)
        }
    }

    @Test
    fun `a stream at its deadline is cancelled on the engine`() = runBlocking {
        server.startSuspend(wait = false)
        val port = server.engine.resolvedConnectors().single().port
        script = List(9) { tokens(0..0) + Action.Silence }
        val result = client.call(call(port, 200.milliseconds))
        assertEquals(AttemptResult.MayHaveRun(ErrorCode.DEADLINE_EXCEEDED), result.result)
        withTimeout(TIMEOUT) { cancels.receive() }
    }

    @Test
    fun `a target without a listener did not run the call and is not reachable`() = runBlocking {
        server.startSuspend(wait = false)
        val port = server.engine.resolvedConnectors().single().port
        assertTrue(client.reachable(call(port).target))
        server.stop(0, 0)
        awaitRefusal(port)
        val result = client.call(call(port))
        assertEquals(AttemptResult.NotRun(ErrorCode.TARGET_LOST), result.result)
        assertEquals(false, client.reachable(call(port).target))
    }

    /** Waits until [port] has no listener; a connection that it still accepts may carry a call. */
    private suspend fun awaitRefusal(port: Int) {
        while (true) {
            try {
                Socket("127.0.0.1", port).close()
            } catch (_: ConnectException) {
                return
            }
            delay(1)
        }
    }

    private suspend fun check(case: Case, result: CallResult, seen: List<String>) {
        val expected = case.expected
        if (expected == null) {
            val answered = assertIs<AttemptResult.Answered>(result.result, case.name)
            assertEquals("t0t1t2", answered.answer.output, case.name)
        } else {
            assertEquals(expected, result.result, case.name)
        }
        assertEquals(List(case.tokens) { "$it:t$it" }, seen, case.name)
        assertEquals(case.resumedAfter, resumedAfter, case.name)
        assertEquals(if (case.name == "crossed") 1 else 0, result.droppedAnswers, case.name)
        if (case.cancelled) withTimeout(TIMEOUT) { cancels.receive() }
    }

    private suspend fun replay(call: ApplicationCall) {
        val actions = script[connections.getAndIncrement()]
        (actions.firstOrNull() as? Action.Status)?.let {
            call.respondText(it.body, status = HttpStatusCode.fromValue(it.code))
            return
        }
        call.respondBytesWriter(ContentType.Text.EventStream) {
            for (action in actions) {
                when (action) {
                    is Action.Token -> {
                        val token = MessageJson.encodeToString(
                            TokenMessage(action.index, "t${action.index}")
                        )
                        writeStringUtf8("event: token\ndata: $token\n\n")
                    }

                    is Action.Done -> {
                        val done = StreamDoneMessage(action.tokens, action.request, "s", 1, "p")
                        writeStringUtf8(
                            "event: done\ndata: ${MessageJson.encodeToString(done)}\n\n"
                        )
                    }

                    Action.Silence -> awaitCancellation()

                    // Waits for the client, since a reset can drop bytes that it has not read.
                    Action.Break -> {
                        val sent = actions.filterIsInstance<Action.Token>().maxOf { it.index }
                        lastSeen.first { it >= sent }
                        throw IOException("broken by the test")
                    }

                    is Action.Status -> error("a status must be the only action")
                }
                flush()
            }
        }
    }

    private fun call(port: Int, remaining: Duration = TIMEOUT) = TargetCall(
        attempt = AttemptId(RequestId(REQUEST), StageName("s"), 1),
        target =
            Target(
                TargetId("t"),
                ServiceName("v"),
                DataCentre("d"),
                Endpoint("127.0.0.1", port)
            ),
        input = "input",
        remaining = remaining,
        priority = Priority.STANDARD,
        maximumTokens = 8,
        stream = true
    )

    private fun tokens(indices: IntRange): List<Action> = indices.map { Action.Token(it) }

    private companion object {
        const val REQUEST = "r"
        val TIMEOUT = 30.seconds
        val SHORT_TIMEOUT = 1.seconds
    }
}
