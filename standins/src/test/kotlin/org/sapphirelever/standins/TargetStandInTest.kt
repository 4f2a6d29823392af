package org.sapphirelever.standins

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.delete
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.encodeToString
import org.sapphirelever.core.Endpoint
import org.sapphirelever.runtime.store.WeightResult
import org.sapphirelever.wire.CacheEventMessage
import org.sapphirelever.wire.EngineState
import org.sapphirelever.wire.EngineStateMessage
import org.sapphirelever.wire.LoadMessage
import org.sapphirelever.wire.MessageJson
import org.sapphirelever.wire.OrderMessage
import org.sapphirelever.wire.RunAnswerMessage
import org.sapphirelever.wire.RunMessage

/** Guards against stand-ins that do not apply their faults, so that every fault test would pass. */
class TargetStandInTest {
    /** [isExpected] checks status and text of the reply; null if no complete reply may arrive. */
    private class FaultCase(
        val name: String,
        val faults: TargetFaults,
        val runs: Int,
        val isExpected: ((Int, String) -> Boolean)?
    )

    private val falseLoad = LoadMessage(7, 7, 7, 0)

    private val faultCases =
        listOf(
            FaultCase("none", TargetFaults(), 1) { status, text ->
                status == 200 && answer(text).run { request == "r1" && output == "pool(in)" }
            },
            FaultCase("refuse", TargetFaults(refuse = "leaving"), 0) { status, text ->
                status == 503 && "leaving" in text
            },
            FaultCase("crossed", TargetFaults(crossed = true), 1) { _, text ->
                answer(text).request != "r1"
            },
            FaultCase("doubled", TargetFaults(doubled = true), 1) { _, text ->
                text.split("\"request\"").size == 3
            },
            FaultCase("false load", TargetFaults(falseLoad = falseLoad), 1) { _, text ->
                answer(text).load == falseLoad
            },
            FaultCase("silent", TargetFaults(silent = true), 0, null),
            FaultCase("late", TargetFaults(lateMillis = 60_000), 1, null),
            FaultCase("slow", TargetFaults(slowFactor = 1e6), 1, null),
            FaultCase("drop before", TargetFaults(dropBefore = true), 0, null),
            FaultCase("drop after", TargetFaults(dropAfter = true), 1, null),
            FaultCase("truncated", TargetFaults(truncated = true), 1, null),
            FaultCase("crash", TargetFaults(crashText = "in"), 1, null)
        )

    @Test
    fun `each fault is visible on the connection and in the record of runs`() {
        faultCases.forEach { case ->
            val settings = TargetSettings(EPHEMERAL, "pool", 1, 1, faults = case.faults)
            val pool = PoolStandIn(settings, serviceTime = 1.milliseconds)
            withStandIns(pool) {
                val reply =
                    withTimeoutOrNull(NO_ANSWER_TIMEOUT) { tryRun(pool.boundEndpoint(), "r1") }
                val accepted =
                    reply?.let { (status, text) -> case.isExpected?.invoke(status, text) }
                assertEquals(case.isExpected?.let { true }, accepted, "case '${case.name}': $reply")
                assertEquals(case.runs, pool.runs.byRequest["r1/s"] ?: 0, "case '${case.name}'")
                assertEquals(case.runs, pool.runs.byKey["k"] ?: 0, "case '${case.name}'")
            }
        }
    }

    @Test
    fun `a crash closes the server and faults end after their duration`() {
        val clock = ManualClock()
        val settings = TargetSettings(EPHEMERAL, "pool", 1, 1, clock = clock)
        val pool = PoolStandIn(settings, serviceTime = 1.milliseconds)
        withStandIns(pool) {
            val endpoint = pool.boundEndpoint()
            pool.setFaults(TargetFaults(refuse = "busy", forMillis = 1_000))
            assertEquals(503, tryRun(endpoint, "r1")?.first)
            clock.advance(1.seconds)
            assertEquals(200, tryRun(endpoint, "r1")?.first)
            pool.setFaults(TargetFaults(crashText = "in"))
            assertEquals(null, tryRun(endpoint, "r2"))
            assertEquals(null, tryRun(endpoint, "r3"))
        }
    }

    @Test
    fun `slots and queue are bounded and urgent calls go first`() {
        val settings = TargetSettings(EPHEMERAL, "pool", slots = 1, queueLimit = 2)
        val pool = PoolStandIn(settings, serviceTime = 2.seconds)
        withStandIns(pool) {
            val endpoint = pool.boundEndpoint()
            val calls =
                listOf("a" to "standard", "b" to "batch", "c" to "interactive")
                    .mapIndexed { index, (request, priority) ->
                        val call = async { tryRun(endpoint, request, priority)?.first }
                        while (load(endpoint).run { running + queued } <= index) {
                            delay(1.milliseconds)
                        }
                        call
                    }
            assertEquals(503, tryRun(endpoint, "d")?.first)
            assertEquals(listOf(200, 200, 200), calls.awaitAll())
            assertEquals(listOf("a", "c", "b"), pool.runs.runs.map { it.request })
        }
    }

    @Test
    fun `a broken stream continues and can be resumed and cancelled`() {
        val engine = engine(TargetFaults(dropAfter = true, faultAfterTokens = 2))
        withStandIns(engine) {
            val base = "http://${engine.boundEndpoint()}/v1"
            val broken = runCatching { post("$base/stream", run("r1", maximumTokens = 5)) }
            assertTrue(broken.isFailure || "done" !in broken.getOrThrow().second)
            val resumed = get("$base/streams/r1/s/1?after=1")
            assertEquals(listOf(2, 3, 4), indices(resumed))
            assertTrue("event: done" in resumed)
            assertEquals(1, engine.runs.byRequest["r1/s"])
            engine.setFaults(TargetFaults())
            val long = async { post("$base/stream", run("r2", maximumTokens = 100_000)).second }
            while (engine.runs.byRequest["r2/s"] == null) delay(1.milliseconds)
            CLIENT.delete("$base/streams/r2/s/1")
            assertTrue("event: done" !in long.await())
        }
    }

    @Test
    fun `cache events come late, with gaps, and follow evictions`() {
        val clock = ManualClock()
        val engine = engine(clock = clock)
        withStandIns(engine) {
            val base = "http://${engine.boundEndpoint()}/v1"
            listOf("p1", "p2", "p3").forEach { post("$base/run", run(it, input = it)) }
            assertEquals("[]", get("$base/cache-events?after=0"))
            clock.advance(1.seconds)
            val text = get("$base/cache-events?after=1")
            val events = MessageJson.decodeFromString<List<CacheEventMessage>>(text)
            // Changes: +p1, +p2, +p3 (lost), -p1.
            assertEquals(listOf(2L to true, 4L to false), events.map { it.sequence to it.cached })
            assertNotEquals("{}", get("$base/cache-entries?prefix=p2"))
            assertEquals("{}", get("$base/cache-entries?prefix=p1"))
            post("$base/cache-entries", """{"prefix":"p1","length":2}""")
            assertNotEquals("{}", get("$base/cache-entries?prefix=p1"))
        }
    }

    @Test
    fun `orders load in the background and old fencing numbers are refused or taken`() {
        listOf(true, false).forEach { honoursFencing ->
            val engine = engine(honoursFencing = honoursFencing)
            withStandIns(engine) {
                val url = "http://${engine.boundEndpoint()}/v1/orders"
                assertEquals(200, order(url, 2, "m2").first)
                while (readBack(url).loading) delay(1.milliseconds)
                assertEquals("m2", readBack(url).actual.model)
                assertEquals(if (honoursFencing) 409 else 200, order(url, 1, "m1").first)
                assertEquals(if (honoursFencing) "m2" else "m1", readBack(url).desired.model)
            }
        }
    }

    private fun engine(
        faults: TargetFaults = TargetFaults(),
        honoursFencing: Boolean = true,
        clock: ManualClock = ManualClock()
    ): EngineStandIn {
        var fetches = 0
        return EngineStandIn(
            EngineSettings(
                TargetSettings(EPHEMERAL, "engine", 4, 4, faults = faults, clock = clock),
                tokenTime = 1.milliseconds,
                cacheEntries = 2,
                cacheEventGap = 3,
                honoursFencing = honoursFencing,
                loadTime = 1.milliseconds,
                weights = {
                    if (fetches++ == 0) WeightResult.Throttled else WeightResult.Fetched(1)
                }
            )
        )
    }

    private fun answer(text: String): RunAnswerMessage = MessageJson.decodeFromString(text)

    private fun indices(events: String): List<Int> =
        Regex("\"index\":(\\d+)").findAll(events).map { it.groupValues[1].toInt() }.toList()

    private suspend fun load(endpoint: Endpoint): LoadMessage =
        MessageJson.decodeFromString(get("http://$endpoint/v1/load"))

    private suspend fun readBack(url: String): EngineStateMessage =
        MessageJson.decodeFromString(get(url))

    private suspend fun order(url: String, fencing: Long, model: String): Pair<Int, String> =
        post(url, MessageJson.encodeToString(OrderMessage(fencing, EngineState(model))))

    private suspend fun tryRun(
        endpoint: Endpoint,
        request: String,
        priority: String = "standard"
    ): Pair<Int, String>? = try {
        post("http://$endpoint/v1/run", run(request, priority))
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (_: Exception) {
        // The client reports a body shorter than announced as an IllegalStateException.
        null
    }

    private fun run(
        request: String,
        priority: String = "standard",
        input: String = "in",
        maximumTokens: Int = 2
    ): String = MessageJson.encodeToString(
        RunMessage(request, "s", 1, 1_000, priority, input, maximumTokens, key = "k")
    )

    private suspend fun post(url: String, body: String): Pair<Int, String> {
        val response = CLIENT.post(url) { setBody(body) }
        return response.status.value to response.bodyAsText()
    }

    private suspend fun get(url: String): String = CLIENT.get(url).bodyAsText()

    private companion object {
        /** Time after which a call counts as unanswered. */
        val NO_ANSWER_TIMEOUT = 1.seconds

        val CLIENT =
            HttpClient(CIO) {
                expectSuccess = false
                engine { requestTimeout = 0 }
            }
    }
}
