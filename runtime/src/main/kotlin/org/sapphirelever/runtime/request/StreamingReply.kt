/*
 * Streaming replies to callers: server-sent events `token`, then one event `outcome`.
 */
package org.sapphirelever.runtime.request

import io.ktor.http.ContentType
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respondBytesWriter
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.serialization.encodeToString
import org.sapphirelever.core.Outcome
import org.sapphirelever.core.RetryAdvice
import org.sapphirelever.core.SapphireleverException
import org.sapphirelever.runtime.target.TokenSink
import org.sapphirelever.wire.MessageJson
import org.sapphirelever.wire.OutcomeMessage
import org.sapphirelever.wire.TokenMessage
import org.sapphirelever.wire.outcomeMessage

/**
 * Streams the tokens of [run] and then its outcome. If the caller disconnects, the next write
 * fails, which ends the request and cancels its stream on the engine.
 */
internal suspend fun ApplicationCall.respondStream(run: suspend (TokenSink) -> OutcomeMessage) {
    respondBytesWriter(ContentType.Text.EventStream) {
        val outcome =
            try {
                run { index, text ->
                    event("token", MessageJson.encodeToString(TokenMessage(index, text)))
                }
            } catch (refused: SapphireleverException) {
                // An exception with a code is thrown only by the checks before the first stage.
                val notRun = Outcome.NotRun(refused.code, RetryAdvice.NEVER)
                outcomeMessage("", "", notRun, emptyList())
            }
        event("outcome", MessageJson.encodeToString(outcome))
    }
}

private suspend fun ByteWriteChannel.event(name: String, data: String) {
    writeStringUtf8("event: $name\ndata: $data\n\n")
    flush()
}
