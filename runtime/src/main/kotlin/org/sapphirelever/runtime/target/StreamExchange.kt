/*
 * One streaming call: its first connection, and those that resume it after a timeout or a failure.
 */
package org.sapphirelever.runtime.target

import io.ktor.client.HttpClient
import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.request.prepareGet
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpStatement
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import java.net.ConnectException
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.encodeToString
import org.sapphirelever.decisions.attempt.AttemptEvent
import org.sapphirelever.decisions.attempt.StreamEnding
import org.sapphirelever.decisions.attempt.StreamProgress
import org.sapphirelever.decisions.attempt.TokenAction
import org.sapphirelever.decisions.attempt.onDone
import org.sapphirelever.decisions.attempt.onToken
import org.sapphirelever.wire.MessageJson
import org.sapphirelever.wire.StreamDoneMessage
import org.sapphirelever.wire.TokenMessage

/** URL of the stream of this call, for resuming and cancelling it. */
internal val TargetCall.streamPath: String
    get() = "http://${target.endpoint}/v1/streams/" +
        "${attempt.request}/${attempt.stage}/${attempt.number}"

/** Runs the stream of [call] and drives [progress] to its end. */
internal class StreamExchange(
    private val client: HttpClient,
    private val call: TargetCall,
    private val progress: CallProgress,
    private val tokens: TokenSink,
    private val settings: TargetSettings
) {
    private enum class ConnectionEnd {
        /** The attempt is finished. */
        FINISHED,

        /** No event arrived within the idle timeout. */
        SILENT,
        BROKEN,

        /** The reply was closed normally without its last event, or tokens are missing. */
        TRUNCATED,

        /** The target does not know the stream, or it belongs to another attempt. */
        LOST
    }

    private var stream = StreamProgress()
    private val output = StringBuilder()

    suspend fun run() {
        var end = runConnection(first = true)
        var idleResumes = 0
        while (end.resumable && idleResumes < settings.maximumIdleResumes) {
            delay(settings.resumeDelay)
            progress.onResumed()
            val before = stream.next
            end = runConnection(first = false)
            idleResumes = if (stream.next > before) 0 else idleResumes + 1
        }
        if (end == ConnectionEnd.BROKEN) progress.onConnectionBroken()
        val lastEvent =
            if (end == ConnectionEnd.TRUNCATED) {
                AttemptEvent.StreamTruncated
            } else {
                AttemptEvent.ConnectionLost
            }
        progress.on(lastEvent)
    }

    private val ConnectionEnd.resumable: Boolean
        get() = this != ConnectionEnd.FINISHED && this != ConnectionEnd.LOST

    private suspend fun runConnection(first: Boolean): ConnectionEnd = coroutineScope {
        val events = openStream(if (first) start() else resume())
        try {
            receiveEvents(events, first)
        } finally {
            events.cancel()
        }
    }

    private suspend fun receiveEvents(
        events: ReceiveChannel<StreamEvent>,
        first: Boolean
    ): ConnectionEnd {
        var end: ConnectionEnd? = null
        while (end == null) {
            val event = withTimeoutOrNull(settings.idleTimeout) { events.receive() }
            end = if (event == null) onSilence() else onEvent(event, first)
        }
        return end
    }

    /** The timeout may have expired after the request was sent, so it counts as sent. */
    private fun onSilence(): ConnectionEnd {
        progress.on(AttemptEvent.SendStarted)
        return ConnectionEnd.SILENT
    }

    /** Handles [event]; returns how the connection ended, or null if it continues. */
    private suspend fun onEvent(event: StreamEvent, first: Boolean): ConnectionEnd? = when (event) {
        StreamEvent.Opened -> {
            progress.on(AttemptEvent.SendStarted)
            progress.on(AttemptEvent.AnswerStarted)
            null
        }

        is StreamEvent.Token -> onToken(event.message)

        is StreamEvent.Done -> onDone(event.message)

        is StreamEvent.Rejected -> if (first) onRefusal(event) else ConnectionEnd.LOST

        is StreamEvent.Broken -> onBroken(event.cause, first)

        StreamEvent.Closed -> ConnectionEnd.TRUNCATED
    }

    private suspend fun onToken(message: TokenMessage): ConnectionEnd? {
        val decision = stream.onToken(message.index)
        stream = decision.state
        return when (decision.actions.single()) {
            TokenAction.DELIVER -> {
                output.append(message.text)
                tokens.accept(message.index, message.text)
                null
            }

            TokenAction.DROP_DUPLICATE -> null

            TokenAction.RESUME -> ConnectionEnd.TRUNCATED
        }
    }

    private fun onDone(message: StreamDoneMessage): ConnectionEnd {
        val answer = message.toAnswer(output.toString())
        val isOwnAnswer = answer.identity.attempt == call.attempt
        if (isOwnAnswer && stream.onDone(message.tokens) == StreamEnding.TOKENS_MISSING) {
            return ConnectionEnd.TRUNCATED
        }
        if (isOwnAnswer && stream.onDone(message.tokens) == StreamEnding.TOKENS_IN_EXCESS) {
            progress.on(AttemptEvent.StreamTruncated)
            return ConnectionEnd.FINISHED
        }
        progress.onLoad(message.load)
        progress.on(AttemptEvent.Answer(answer))
        // The tokens may belong to the foreign answer as well, so resuming could mix two answers.
        return if (progress.finished) ConnectionEnd.FINISHED else ConnectionEnd.LOST
    }

    private fun onRefusal(event: StreamEvent.Rejected): ConnectionEnd {
        progress.on(AttemptEvent.SendStarted)
        if (event.status == HttpStatusCode.ServiceUnavailable) {
            progress.onRefusal(event.body)
        } else {
            progress.on(AttemptEvent.Failure("status ${event.status.value}"))
        }
        return ConnectionEnd.FINISHED
    }

    private fun onBroken(cause: Exception, first: Boolean): ConnectionEnd {
        val connectFailed = cause is ConnectException || cause is ConnectTimeoutException
        if (first && connectFailed) {
            progress.on(AttemptEvent.ConnectFailed)
            return ConnectionEnd.FINISHED
        }
        progress.on(AttemptEvent.SendStarted)
        return ConnectionEnd.BROKEN
    }

    private suspend fun start(): HttpStatement =
        client.preparePost("http://${call.target.endpoint}/v1/stream") {
            contentType(ContentType.Application.Json)
            setBody(MessageJson.encodeToString(call.toMessage()))
        }

    private suspend fun resume(): HttpStatement =
        client.prepareGet("${call.streamPath}?after=${stream.last}")
}
