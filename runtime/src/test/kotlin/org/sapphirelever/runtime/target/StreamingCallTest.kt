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

/** Guards against lost, doubled or foreign tokens, and against a short answer passed as whole. */
class StreamingCallTest {
    /** What the engine does on one connection. */
    private sealed interface Act {
        data class Token(val index: Int) : Act

        data class Done(val tokens: Int, val request: String = REQUEST) : Act

        /** Sends nothing more and keeps the connection open. */
        data object Silence : Act

        data object Break : Act

        data class Status(val code: Int, val body: String) : Act
    }

    private data class Case(
        val name: String,
        val connections: List<List<Act>>,
        val expected: AttemptResult?,
        val tokens: Int = 3,
        val resumedAfter: List<Int> = emptyList(),
        val cancelled: Boolean = expected != null
    )

    private val whole = tokens(0..2) + Act.Done(3)
    private val lost = AttemptResult.MayHaveRun(ErrorCode.TARGET_LOST)
    private val truncated = AttemptResult.MayHaveRun(ErrorCode.TRUNCATED)
    private val busy = MessageJson.encodeToString(RefusalMessage("busy", "p"))

    // An expected result of null stands for the whole answer "t0t1t2".
    private val cases =
        listOf(
            Case("whole", listOf(whole), null),
            Case("doubled tokens", listOf(tokens(0..1) + whole), null),
            Case(
                "late tokens on resume",
                listOf(tokens(0..1) + Act.Silence, whole),
                null,
                3,
                listOf(1)
            ),
            Case(
                "silent before the first token",
                listOf(listOf(Act.Silence), whole),
                null,
                3,
                listOf(-1)
            ),
            Case("broken", listOf(tokens(0..0) + Act.Break, whole), null, 3, listOf(0)),
            Case("gap", listOf(listOf(Act.Token(0), Act.Token(2)), whole), null, 3, listOf(0)),
            Case("end without done", listOf(tokens(0..1), whole), null, 3, listOf(1)),
            Case("done too early", listOf(tokens(0..1) + Act.Done(3), whole), null, 3, listOf(1)),
            Case("always truncated", List(4) { tokens(0..1) }, truncated, 2, listOf(1, 1, 1)),
            Case("count too small", listOf(tokens(0..2) + Act.Done(2)), truncated),
            Case("always silent", List(4) { listOf(Act.Silence) }, lost, 0, listOf(-1, -1, -1)),
            Case("crossed", listOf(tokens(0..2) + Act.Done(3, "other")), lost),
            Case(
                "stream unknown on resume",
                listOf(tokens(0..0) + Act.Break, listOf(Act.Status(404, "{}"))),
                lost,
                1,
                listOf(0)
            ),
            Case(
                "refused",
                listOf(listOf(Act.Status(503, busy))),
                AttemptResult.NotRun(ErrorCode.OVERLOADED, RefusalReason.BUSY),
                0,
                cancelled = false
            ),
            Case(
                "not a refusal",
                listOf(listOf(Act.Status(503, "<html>"))),
                AttemptResult.Failed(ErrorCode.TARGET_FAILED, "malformed answer"),
                0,
                cancelled = false
            )
        )

    private val connections = AtomicInteger()
    private val resumedAfter = mutableListOf<Int>()
    private val cancels = Channel<Unit>(Channel.UNLIMITED)
    private var script: List<List<Act>> = emptyList()

    /** Request that the answer names, or null for a target that falls silent. */
    private var runAnswer: String? = null
    private val client = HttpTargetClient(TargetSettings(progressBound = LIMIT))

    /** Only cases with silence end by the progress bound, so that a busy machine passes the rest. */
    private val impatient = HttpTargetClient(TargetSettings(progressBound = SILENCE_BOUND))

    /** Index of the last token that the client has passed on. */
    private val lastSeen = MutableStateFlow(-1)
    private val server: EmbeddedServer<*, *> =
        embeddedServer(CIO, port = 0, host = "127.0.0.1") {
            routing {
                post("/v1/stream") { play(call) }
                post("/v1/run") {
                    val request = runAnswer ?: awaitCancellation()
                    val answer = RunAnswerMessage(request, "s", 1, "p", "output")
                    call.respondText(MessageJson.encodeToString(answer))
                }
                get("/v1/streams/{request}/{stage}/{attempt}") {
                    resumedAfter.add(call.parameters["after"]!!.toInt())
                    play(call)
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
        impatient.close()
        server.stop(0, 0)
    }

    @Test
    fun `each stream ends with the whole answer or a stated failure`() = runBlocking {
        server.startSuspend(wait = false)
        val port = server.engine.resolvedConnectors().single().port
        for (case in cases) {
            script = case.connections
            connections.set(0)
            resumedAfter.clear()
            val seen = mutableListOf<String>()
            lastSeen.value = -1
            val silent = case.connections.any { Act.Silence in it }
            val called =
                (if (silent) impatient else client).call(call(port)) { index, text ->
                    seen.add("$index:$text")
                    lastSeen.value = index
                }
            check(case, called, seen)
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
    fun `a call without a stream takes only its own answer within the bound`() = runBlocking {
        server.startSuspend(wait = false)
        val port = server.engine.resolvedConnectors().single().port
        for (case in runCases) {
            runAnswer = case.request
            val bound = if (case.request == null) SILENCE_BOUND else LIMIT
            val call = call(port).copy(stream = false, progressBound = bound)
            val called = client.call(call)
            assertEquals(case.answered, called.result is AttemptResult.Answered, case.name)
            if (!case.answered) assertEquals<AttemptResult>(lost, called.result, case.name)
            assertEquals(if (case.request == "other") 1 else 0, called.droppedAnswers, case.name)
        }
    }

    @Test
    fun `a stream at its deadline is cancelled on the engine`() = runBlocking {
        server.startSuspend(wait = false)
        val port = server.engine.resolvedConnectors().single().port
        script = List(9) { tokens(0..0) + Act.Silence }
        val called = client.call(call(port, 200.milliseconds))
        assertEquals(AttemptResult.MayHaveRun(ErrorCode.DEADLINE_EXCEEDED), called.result)
        withTimeout(LIMIT) { cancels.receive() }
    }

    @Test
    fun `a target without a listener did not run the call and is not reachable`() = runBlocking {
        server.startSuspend(wait = false)
        val port = server.engine.resolvedConnectors().single().port
        assertTrue(client.reachable(call(port).target))
        server.stop(0, 0)
        val called = client.call(call(port))
        assertEquals(AttemptResult.NotRun(ErrorCode.TARGET_LOST), called.result)
        assertEquals(false, client.reachable(call(port).target))
    }

    private suspend fun check(case: Case, called: CallResult, seen: List<String>) {
        val expected = case.expected
        if (expected == null) {
            val answered = assertIs<AttemptResult.Answered>(called.result, case.name)
            assertEquals("t0t1t2", answered.answer.output, case.name)
        } else {
            assertEquals(expected, called.result, case.name)
        }
        assertEquals(List(case.tokens) { "$it:t$it" }, seen, case.name)
        assertEquals(case.resumedAfter, resumedAfter, case.name)
        assertEquals(if (case.name == "crossed") 1 else 0, called.droppedAnswers, case.name)
        if (case.cancelled) withTimeout(LIMIT) { cancels.receive() }
    }

    private suspend fun play(call: ApplicationCall) {
        val acts = script[connections.getAndIncrement()]
        (acts.firstOrNull() as? Act.Status)?.let {
            call.respondText(it.body, status = HttpStatusCode.fromValue(it.code))
            return
        }
        call.respondBytesWriter(ContentType.Text.EventStream) {
            for (act in acts) {
                when (act) {
                    is Act.Token -> {
                        val token = MessageJson.encodeToString(
                            TokenMessage(act.index, "t${act.index}")
                        )
                        writeStringUtf8("event: token\ndata: $token\n\n")
                    }

                    is Act.Done -> {
                        val done = StreamDoneMessage(act.tokens, act.request, "s", 1, "p")
                        writeStringUtf8(
                            "event: done\ndata: ${MessageJson.encodeToString(done)}\n\n"
                        )
                    }

                    Act.Silence -> awaitCancellation()

                    // A reset can drop bytes that the client has not read.
                    Act.Break -> {
                        val sent = acts.filterIsInstance<Act.Token>().maxOf { it.index }
                        lastSeen.first { it >= sent }
                        throw IOException("broken by the test")
                    }

                    is Act.Status -> error("a status stands alone")
                }
                flush()
            }
        }
    }

    private fun call(port: Int, remaining: Duration = LIMIT) = TargetCall(
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

    private fun tokens(indices: IntRange): List<Act> = indices.map { Act.Token(it) }

    private companion object {
        const val REQUEST = "r"
        val LIMIT = 30.seconds
        val SILENCE_BOUND = 1.seconds
    }
}
