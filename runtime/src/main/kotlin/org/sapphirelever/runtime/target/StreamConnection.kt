/*
 * One connection of a stream: the status of its reply, then its server-sent events as they arrive.
 */
package org.sapphirelever.runtime.target

import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.HttpStatement
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpStatusCode
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readUTF8Line
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ProducerScope
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.channels.produce
import kotlinx.coroutines.ensureActive
import org.sapphirelever.wire.MessageJson
import org.sapphirelever.wire.StreamDoneMessage
import org.sapphirelever.wire.TokenMessage

/** Event of a stream connection, including its end. */
internal sealed interface StreamEvent {
    data object Opened : StreamEvent

    data class Token(val message: TokenMessage) : StreamEvent

    data class Done(val message: StreamDoneMessage) : StreamEvent

    /** The reply has another status than 200. */
    data class Rejected(val status: HttpStatusCode, val body: String) : StreamEvent

    data class Broken(val cause: Exception) : StreamEvent

    /** The reply was closed normally. */
    data object Closed : StreamEvent
}

/** Opens a connection and sends its events; a failure is sent as [StreamEvent.Broken]. */
internal fun CoroutineScope.openStream(statement: HttpStatement): ReceiveChannel<StreamEvent> =
    produce(capacity = Channel.RENDEZVOUS) {
        try {
            statement.execute { response -> sendEvents(response) }
            send(StreamEvent.Closed)
        } catch (cancelled: CancellationException) {
            ensureActive()
            send(StreamEvent.Broken(cancelled))
        } catch (failure: Exception) {
            send(StreamEvent.Broken(failure))
        }
    }

private suspend fun ProducerScope<StreamEvent>.sendEvents(response: HttpResponse) {
    if (response.status != HttpStatusCode.OK) {
        send(StreamEvent.Rejected(response.status, response.bodyAsText()))
        return
    }
    send(StreamEvent.Opened)
    readEvents(response.bodyAsChannel()) { send(it) }
}

/** Reads server-sent events; an event without its terminating empty line is dropped. */
private suspend fun readEvents(body: ByteReadChannel, accept: suspend (StreamEvent) -> Unit) {
    var name = ""
    var data = ""
    while (true) {
        val line = body.readUTF8Line(MAXIMUM_LINE_LENGTH) ?: return
        when {
            line.startsWith("event:") -> name = line.removePrefix("event:").trim()

            line.startsWith("data:") -> data += line.removePrefix("data:").trim()

            line.isEmpty() -> {
                decode(name, data)?.let { accept(it) }
                name = ""
                data = ""
            }
        }
    }
}

private fun decode(name: String, data: String): StreamEvent? = when (name) {
    "token" -> StreamEvent.Token(MessageJson.decodeFromString<TokenMessage>(data))
    "done" -> StreamEvent.Done(MessageJson.decodeFromString<StreamDoneMessage>(data))
    else -> null
}

// Limit in characters. A line holds one token as JSON; a longer line is a fault of the target.
private const val MAXIMUM_LINE_LENGTH = 1024 * 1024
