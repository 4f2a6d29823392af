/*
 * HTTP client of targets. Each call opens its own connection, so that no call is sent over an idle
 * connection that has failed unnoticed; this costs one more round trip for each call.
 */
package org.sapphirelever.runtime.target

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.request.delete
import io.ktor.client.request.get
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import java.io.Closeable
import java.net.ConnectException
import kotlin.time.Duration
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.encodeToString
import org.sapphirelever.decisions.attempt.AttemptEvent
import org.sapphirelever.decisions.attempt.AttemptState
import org.sapphirelever.decisions.routing.Target
import org.sapphirelever.wire.MessageJson
import org.sapphirelever.wire.RunAnswerMessage

/** Calls targets over HTTP. */
public class HttpTargetClient(private val settings: TargetSettings = TargetSettings()) :
    TargetClient,
    Closeable {
    private val client: HttpClient =
        HttpClient(CIO) {
            expectSuccess = false
            engine {
                requestTimeout = 0
                maxConnectionsCount = MAXIMUM_CONNECTIONS
                endpoint.maxConnectionsPerRoute = MAXIMUM_CONNECTIONS
                endpoint.connectAttempts = 1
                endpoint.connectTimeout = settings.connectTimeout.inWholeMilliseconds
            }
        }

    /** Scope of the calls that cancel streams; they must not delay the reply to the caller. */
    private val cancellations = CoroutineScope(SupervisorJob() + Dispatchers.Default)

    override suspend fun call(call: TargetCall, tokens: TokenSink): CallResult {
        val progress = CallProgress(AttemptState.Prepared(call.attempt))
        progress.on(AttemptEvent.ConnectStarted)
        try {
            val completed = withTimeoutOrNull(call.remaining) { exchange(call, progress, tokens) }
            if (completed == null) {
                // The deadline may have passed before or after sending; the request counts as sent.
                progress.on(AttemptEvent.SendStarted)
                progress.on(AttemptEvent.DeadlinePassed)
            }
        } finally {
            if (call.stream && progress.mayStillRun) cancelStream(call)
        }
        return progress.result()
    }

    /** A target that accepts the connection but does not answer counts as reachable. */
    override suspend fun reachable(target: Target): Boolean = try {
        withTimeoutOrNull(settings.connectTimeout * 2) {
            client.get("http://${target.endpoint}/healthz")
        }
        true
    } catch (refused: ConnectException) {
        false
    } catch (timeout: ConnectTimeoutException) {
        false
    } catch (failure: Exception) {
        currentCoroutineContext().ensureActive()
        true
    }

    override fun close() {
        cancellations.cancel()
        client.close()
    }

    private suspend fun exchange(call: TargetCall, progress: CallProgress, tokens: TokenSink) {
        if (call.stream) {
            StreamExchange(client, call, progress, tokens, settings).run()
        } else {
            runWithTimeout(call.answerTimeout, call, progress)
        }
    }

    private suspend fun runWithTimeout(
        timeout: Duration,
        call: TargetCall,
        progress: CallProgress
    ) {
        withTimeoutOrNull(timeout) { run(call, progress) } ?: run {
            progress.on(AttemptEvent.SendStarted)
            progress.on(AttemptEvent.ConnectionLost)
        }
    }

    private suspend fun run(call: TargetCall, progress: CallProgress) {
        try {
            client
                .preparePost("http://${call.target.endpoint}/v1/run") {
                    contentType(ContentType.Application.Json)
                    setBody(MessageJson.encodeToString(call.toMessage()))
                }.execute { response ->
                    progress.on(AttemptEvent.SendStarted)
                    onResponse(response, progress)
                }
        } catch (cancelled: CancellationException) {
            currentCoroutineContext().ensureActive()
            progress.onFailure(cancelled)
        } catch (failure: Exception) {
            progress.onFailure(failure)
        }
    }

    private suspend fun onResponse(response: HttpResponse, progress: CallProgress) {
        val body = response.bodyAsText()
        when (response.status) {
            HttpStatusCode.OK -> {
                val message = MessageJson.decodeFromString<RunAnswerMessage>(body)
                progress.onLoad(message.load)
                progress.on(AttemptEvent.Answer(message.toAnswer()))
                // If the answer belongs to another attempt, no answer to this one can follow. A
                // finished attempt ignores the event.
                progress.on(AttemptEvent.ConnectionLost)
            }

            HttpStatusCode.ServiceUnavailable -> progress.onRefusal(body)

            else -> progress.on(AttemptEvent.Failure("status ${response.status.value}"))
        }
    }

    private fun cancelStream(call: TargetCall) {
        cancellations.launch {
            try {
                withTimeoutOrNull(settings.cancelTimeout) { client.delete(call.streamPath) }
            } catch (failure: Exception) {
                // Ignored: the target has stopped or ends the stream itself, and no caller waits.
                currentCoroutineContext().ensureActive()
            }
        }
    }

    private companion object {
        const val MAXIMUM_CONNECTIONS = 10_000
    }
}
