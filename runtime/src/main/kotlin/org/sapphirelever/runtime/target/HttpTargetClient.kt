/*
 * HTTP client of targets. Each call opens its own connection: a connection that fell silent while
 * idle is then never used, at the price of one round trip for each call.
 */
package org.sapphirelever.runtime.target

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import java.io.Closeable
import java.net.ConnectException
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import org.sapphirelever.core.AttemptId
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.Incarnation
import org.sapphirelever.core.RequestId
import org.sapphirelever.core.StageName
import org.sapphirelever.decisions.attempt.AnswerIdentity
import org.sapphirelever.decisions.attempt.AttemptAction
import org.sapphirelever.decisions.attempt.AttemptEvent
import org.sapphirelever.decisions.attempt.AttemptResult
import org.sapphirelever.decisions.attempt.AttemptState
import org.sapphirelever.decisions.attempt.RefusalReason
import org.sapphirelever.decisions.attempt.StageAnswer
import org.sapphirelever.decisions.attempt.on
import org.sapphirelever.wire.LoadMessage
import org.sapphirelever.wire.MessageJson
import org.sapphirelever.wire.RefusalMessage
import org.sapphirelever.wire.RunAnswerMessage
import org.sapphirelever.wire.RunMessage

/** Calls targets by HTTP. */
public class HttpTargetClient :
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
                endpoint.connectTimeout = CONNECT_TIMEOUT_MILLIS
            }
        }

    override suspend fun call(call: TargetCall, tokens: TokenSink): CallResult {
        val progress = CallProgress(AttemptState.Prepared(call.attempt))
        progress.on(AttemptEvent.ConnectStarted)
        val inTime =
            withTimeoutOrNull(call.remaining) {
                exchange(call, progress)
                true
            }
        if (inTime == null) {
            // The limit can strike while connecting or later; the later case is assumed.
            progress.on(AttemptEvent.SendStarted)
            progress.on(AttemptEvent.DeadlinePassed)
        }
        return progress.result()
    }

    override fun close() {
        client.close()
    }

    private suspend fun exchange(call: TargetCall, progress: CallProgress) {
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
            progress.lost(cancelled)
        } catch (failure: Exception) {
            progress.lost(failure)
        }
    }

    private suspend fun onResponse(response: HttpResponse, progress: CallProgress) {
        val body = response.bodyAsText()
        when (response.status) {
            HttpStatusCode.OK -> {
                val message = MessageJson.decodeFromString<RunAnswerMessage>(body)
                progress.load(message.load)
                progress.on(AttemptEvent.Answer(message.toAnswer()))
                // A foreign answer ends the connection without an answer of its own.
                progress.on(AttemptEvent.ConnectionLost)
            }

            HttpStatusCode.ServiceUnavailable -> {
                val message = MessageJson.decodeFromString<RefusalMessage>(body)
                progress.load(message.load)
                progress.on(refusalEvent(message))
            }

            else -> progress.on(AttemptEvent.Failure("status ${response.status.value}"))
        }
    }

    private fun refusalEvent(message: RefusalMessage): AttemptEvent =
        RefusalReason.fromText(message.refused)?.let { AttemptEvent.Refused(it) }
            ?: AttemptEvent.Failure("unknown refusal ${message.refused}")

    private companion object {
        const val MAXIMUM_CONNECTIONS = 10_000
        const val CONNECT_TIMEOUT_MILLIS = 1_000L
    }
}

/** State of one call while it is in progress. */
internal class CallProgress(private var state: AttemptState) {
    private var load: ReportedLoad? = null
    private var dropped: Int = 0

    fun on(event: AttemptEvent) {
        val decision = state.on(event)
        state = decision.state
        dropped +=
            decision.actions.count {
                it is AttemptAction.DropForeignAnswer
            }
    }

    fun load(message: LoadMessage?) {
        if (message == null) return
        load =
            ReportedLoad(
                running = message.running,
                queued = message.queued,
                slots = message.slots,
                age = message.ageMillis.milliseconds
            )
    }

    /** Records a failure; only a failed connect proves that no byte was sent. */
    fun lost(failure: Exception) {
        when (failure) {
            is ConnectException, is ConnectTimeoutException -> on(AttemptEvent.ConnectFailed)

            is SerializationException -> on(AttemptEvent.Failure("malformed answer"))

            else -> {
                on(AttemptEvent.SendStarted)
                on(AttemptEvent.ConnectionLost)
            }
        }
    }

    fun result(): CallResult {
        val finished = state as? AttemptState.Finished
        val result =
            finished?.result
                ?: AttemptResult.MayHaveRun(ErrorCode.TARGET_LOST)
        return CallResult(result, load, dropped)
    }
}

internal fun TargetCall.toMessage(): RunMessage = RunMessage(
    request = attempt.request.value,
    stage = attempt.stage.value,
    attempt = attempt.number,
    deadlineMillis = remaining.inWholeMilliseconds,
    priority = priority.text,
    input = input,
    maximumTokens = maximumTokens,
    key = key
)

internal fun RunAnswerMessage.toAnswer(): StageAnswer = StageAnswer(
    identity =
        AnswerIdentity(
            AttemptId(RequestId(request), StageName(stage), attempt),
            Incarnation(incarnation)
        ),
    output = output,
    tokens = tokens
)
