/*
 * Open-loop load over HTTP: requests are sent at their planned times whether or not earlier ones
 * have been answered, and latency counts from the planned time, so that delays of a slow system
 * are measured in full (no coordinated omission).
 */
package org.sapphirelever.load.http

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.contentType
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import org.HdrHistogram.Histogram
import org.sapphirelever.core.Endpoint
import org.sapphirelever.wire.ErrorMessage
import org.sapphirelever.wire.KeyMessage
import org.sapphirelever.wire.KeyRequestMessage
import org.sapphirelever.wire.MessageJson
import org.sapphirelever.wire.OutcomeMessage
import org.sapphirelever.wire.RequestMessage

/** A sent request with its reply; [latency] counts from the planned send time. */
public data class SentRequest(
    public val planned: PlannedRequest,
    public val reply: OutcomeMessage,
    public val latency: Duration
)

/** Sends the requests of [settings] to [hosts] in round-robin order, as a load balancer would. */
public class HttpLoad(private val hosts: List<Endpoint>, private val settings: LoadSettings) {
    /** Runs the load; [onReply] is called for each reply, from any coroutine. */
    public suspend fun run(onReply: (SentRequest) -> Unit = {}): LoadResult {
        val tally = LoadTally(settings.deadline)
        newClient().use { client ->
            coroutineScope {
                val start = TimeSource.Monotonic.markNow()
                for (planned in planLoad(settings)) {
                    delay(planned.intendedAt - start.elapsedNow())
                    launch {
                        val sent = send(client, planned, start + planned.intendedAt)
                        tally.count(sent)
                        onReply(sent)
                    }
                }
            }
        }
        return tally.result()
    }

    private suspend fun send(
        client: HttpClient,
        planned: PlannedRequest,
        intendedAt: TimeMark
    ): SentRequest {
        val host = hosts[planned.number % hosts.size]
        val reply =
            withTimeoutOrNull(settings.deadline + REPLY_GRACE) { exchange(client, host, planned) }
        return SentRequest(planned, reply ?: noOutcome("no reply"), intendedAt.elapsedNow())
    }

    private suspend fun exchange(
        client: HttpClient,
        host: Endpoint,
        planned: PlannedRequest
    ): OutcomeMessage = try {
        val key = if (planned.pipeline in settings.keyed) fetchKey(client, host, planned) else null
        val body =
            RequestMessage(
                pipeline = planned.pipeline,
                organisation = planned.organisation,
                deadlineMillis = settings.deadline.inWholeMilliseconds,
                input = planned.text,
                key = key
            )
        decode(post(client, host, "/v1/requests", MessageJson.encodeToString(body)))
    } catch (cancelled: CancellationException) {
        currentCoroutineContext().ensureActive()
        noOutcome(cancelled.toString())
    } catch (failure: Exception) {
        noOutcome(failure.toString())
    }

    private suspend fun fetchKey(
        client: HttpClient,
        host: Endpoint,
        planned: PlannedRequest
    ): String {
        val body = MessageJson.encodeToString(KeyRequestMessage(planned.organisation))
        return MessageJson.decodeFromString<KeyMessage>(post(client, host, "/v1/keys", body)).key
    }

    private suspend fun post(
        client: HttpClient,
        host: Endpoint,
        path: String,
        body: String
    ): String = client
        .post("http://$host$path") {
            contentType(ContentType.Application.Json)
            setBody(body)
        }.bodyAsText()

    private fun decode(text: String): OutcomeMessage = try {
        MessageJson.decodeFromString<OutcomeMessage>(text)
    } catch (_: SerializationException) {
        val error = MessageJson.decodeFromString<ErrorMessage>(text)
        noOutcome(error.detail).copy(outcome = error.outcome ?: "none", code = error.code)
    }

    private fun noOutcome(detail: String): OutcomeMessage =
        OutcomeMessage("", "", outcome = "none", code = "connection", detail = detail)

    private fun newClient(): HttpClient = HttpClient(CIO) {
        expectSuccess = false
        engine {
            requestTimeout = 0
            maxConnectionsCount = MAXIMUM_CONNECTIONS
            endpoint.maxConnectionsPerRoute = MAXIMUM_CONNECTIONS
            endpoint.connectAttempts = 1
        }
    }

    private companion object {
        /** Time after the deadline during which a reply counts as late instead of lost. */
        val REPLY_GRACE = 2.seconds
        const val MAXIMUM_CONNECTIONS = 10_000
    }
}

/** Counts outcomes and records latencies; safe for concurrent use. */
internal class LoadTally(private val deadline: Duration) {
    private val lock = Any()
    private val outcomes = mutableMapOf<String, Long>()
    private val latencies = sortedMapOf<String, Histogram>()
    private var sent = 0L
    private var foreign = 0L
    private var inTime = 0L

    fun count(request: SentRequest): Unit = synchronized(lock) {
        val reply = request.reply
        sent++
        outcomes.merge("${reply.outcome} ${reply.code}", 1, Long::plus)
        if (reply.outcome == "complete") countComplete(request)
        reply.stages.forEach { stage ->
            record("stage ${stage.stage}", stage.millis.milliseconds)
        }
    }

    fun result(): LoadResult = synchronized(lock) {
        LoadResult(
            sent = sent,
            outcomes = outcomes.toSortedMap(),
            foreign = foreign,
            inTime = inTime,
            latencies = latencies.map { (name, histogram) -> histogram.toMessage(name) }
        )
    }

    private fun countComplete(request: SentRequest) {
        val isOwn = request.planned.text in request.reply.answer.orEmpty()
        if (!isOwn) foreign++
        if (isOwn && request.latency <= deadline) inTime++
        record("pipeline ${request.planned.pipeline}", request.latency)
    }

    private fun record(name: String, latency: Duration) {
        latencies
            .getOrPut(name) { Histogram(SIGNIFICANT_DIGITS) }
            .recordValue(latency.inWholeMicroseconds.coerceAtLeast(0))
    }

    private companion object {
        const val SIGNIFICANT_DIGITS = 3
    }
}
