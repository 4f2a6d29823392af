/*
 * Streaming replies to callers: server-sent events `token` and one last `outcome`.
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
 * Streams the tokens of [run] and then its outcome. A caller that goes away makes the next write
 * fail, which ends the request and cancels its stream on the engine.
 */
internal suspend fun ApplicationCall.respondStream(run: suspend (TokenSink) -> OutcomeMessage) {
    respondBytesWriter(ContentType.Text.EventStream) {
        val outcome =
            try {
                run { index, text ->
                    event("token", MessageJson.encodeToString(TokenMessage(index, text)))
                }
            } catch (refused: SapphireleverException) {
                // A coded exception is thrown only by a check before the first stage.
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
