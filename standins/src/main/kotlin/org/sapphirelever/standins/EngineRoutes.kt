/*
 * Routes of engines only: streams, cache events, cache entries and orders.
 */
package org.sapphirelever.standins

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.routing.Routing
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.serialization.encodeToString
import org.sapphirelever.runtime.http.answer
import org.sapphirelever.runtime.http.readText
import org.sapphirelever.runtime.http.respondJson
import org.sapphirelever.standins.TargetBase.Companion.readRun
import org.sapphirelever.wire.MessageJson
import org.sapphirelever.wire.OrderMessage
import org.sapphirelever.wire.StreamDoneMessage
import org.sapphirelever.wire.TokenMessage

private const val STREAM_PATH = "/v1/streams/{request}/{stage}/{attempt}"

internal fun Routing.engineRoutes(
    engine: EngineStandIn,
    settings: EngineSettings,
    base: TargetBase
) {
    val streams = StreamWriter(engine, base)
    streamRoutes(engine, base, streams)
    cacheRoutes(engine, settings)
    orderRoutes(engine, settings.honoursFencing)
}

private fun Routing.streamRoutes(engine: EngineStandIn, base: TargetBase, streams: StreamWriter) {
    post("/v1/stream") {
        answer(call) {
            val message = call.readRun()
            if (!base.admitOrRefuse(call)) return@answer
            val arrival = base.enqueue(message)
            if (arrival is Arrival.Admitted) {
                engine.startStream(arrival.ticket, message)
                streams.write(call, message.streamKey, after = -1, base.faults)
            } else {
                base.refuse(call, "busy")
            }
        }
    }
    get(STREAM_PATH) {
        answer(call) {
            val after = call.parameters["after"]?.toInt() ?: -1
            val key = call.streamKey()
            if (key in engine.state.value.streams) {
                streams.write(call, key, after, TargetFaults())
            } else {
                call.respondJson("{}", HttpStatusCode.NotFound)
            }
        }
    }
    delete(STREAM_PATH) {
        answer(call) {
            val key = call.streamKey()
            engine.state.update { it.onStreamEnd(key, StreamPhase.CANCELLED) }
            call.respondJson("{}")
        }
    }
}

private fun ApplicationCall.streamKey(): StreamKey = StreamKey(
    parameters["request"].orEmpty(),
    parameters["stage"].orEmpty(),
    parameters["attempt"]?.toInt() ?: 0
)

/** Writes the recorded events of a stream to a connection. */
private class StreamWriter(private val engine: EngineStandIn, private val base: TargetBase) {
    /** Sends the tokens with an index above [after] as they are generated, and then `done`. */
    suspend fun write(call: ApplicationCall, key: StreamKey, after: Int, faults: TargetFaults) {
        call.respondBytesWriter(ContentType.Text.EventStream) {
            var next = after + 1
            while (true) {
                val record = engine.state.first { next < it.tokenCount(key) || !it.isOpen(key) }
                    .streams.getValue(key)
                if (next >= record.tokens.size) {
                    finish(key, record, faults)
                    return@respondBytesWriter
                }
                if (next >= faults.faultAfterTokens && interrupt(faults)) return@respondBytesWriter
                val token = TokenMessage(next, record.tokens[next])
                writeEvent("token", MessageJson.encodeToString(token), faults)
                next++
            }
        }
    }

    /** Applies connection faults; returns whether the stream must end without `done`. */
    private suspend fun interrupt(faults: TargetFaults): Boolean {
        if (faults.silent) delay(TargetBase.HANG_DURATION)
        if (faults.dropAfter) throw java.io.IOException("injected fault: connection broken")
        return faults.truncated
    }

    private suspend fun ByteWriteChannel.finish(
        key: StreamKey,
        record: StreamRecord,
        faults: TargetFaults
    ) {
        delay(faults.lateMillis)
        if (record.phase == StreamPhase.CANCELLED) return
        val request = if (faults.crossed) "${key.request}-other" else key.request
        val done =
            StreamDoneMessage(
                tokens = record.tokens.size,
                request = request,
                stage = key.stage,
                attempt = key.attempt,
                incarnation = base.incarnation,
                load = base.load
            )
        writeEvent("done", MessageJson.encodeToString(done), faults)
    }

    private suspend fun ByteWriteChannel.writeEvent(
        name: String,
        data: String,
        faults: TargetFaults
    ) {
        repeat(if (faults.doubled) 2 else 1) {
            writeStringUtf8("event: $name\ndata: $data\n\n")
        }
        flush()
    }

    private fun EngineStandInState.tokenCount(key: StreamKey): Int = streams[key]?.tokens?.size ?: 0

    private fun EngineStandInState.isOpen(key: StreamKey): Boolean =
        streams[key]?.phase == StreamPhase.OPEN
}

private fun Routing.cacheRoutes(engine: EngineStandIn, settings: EngineSettings) {
    val clock = settings.target.clock
    get("/v1/cache-events") {
        answer(call) {
            val after = call.parameters["after"]?.toLong() ?: 0
            val now = clock.now()
            val events =
                engine.state.value.cache.events
                    .filter { now - it.occurredAt >= settings.cacheEventLag }
                    .map { it.message }
                    .filter { it.sequence > after }
            call.respondJson(MessageJson.encodeToString(events))
        }
    }
    get("/v1/cache-entries") {
        answer(call) {
            val prefix = call.parameters["prefix"].orEmpty()
            if (prefix in engine.state.value.cache) {
                val entry = CacheEntryMessage(prefix, prefix.length)
                call.respondJson(MessageJson.encodeToString(entry))
            } else {
                call.respondJson("{}", HttpStatusCode.NotFound)
            }
        }
    }
    post("/v1/cache-entries") {
        answer(call) {
            val text = call.readText(TargetBase.MAXIMUM_BODY_BYTES)
            val entry = MessageJson.decodeFromString<CacheEntryMessage>(text)
            val now = clock.now()
            engine.state.update { it.copy(cache = it.cache.onUse(entry.prefix, now)) }
            call.respondJson("{}")
        }
    }
}

private fun Routing.orderRoutes(engine: EngineStandIn, honoursFencing: Boolean) {
    get("/v1/orders") {
        answer(call) { call.respondEngineState(engine, HttpStatusCode.OK) }
    }
    post("/v1/orders") {
        answer(call) {
            val text = call.readText(TargetBase.MAXIMUM_BODY_BYTES)
            val order = MessageJson.decodeFromString<OrderMessage>(text)
            val reply = engine.state.decide { it.onOrder(order, honoursFencing) }.single()
            if (reply is OrderReply.Taken && reply.mustLoad) engine.startLoad(order.desired)
            val outdated = reply == OrderReply.Outdated
            val status = if (outdated) HttpStatusCode.Conflict else HttpStatusCode.OK
            call.respondEngineState(engine, status)
        }
    }
}

private suspend fun ApplicationCall.respondEngineState(
    engine: EngineStandIn,
    status: HttpStatusCode
) {
    respondJson(MessageJson.encodeToString(engine.state.value.toMessage()), status)
}
