/*
 * Stand-in for a target of a pool or plain service: runs calls on a bounded number of slots.
 */
package org.sapphirelever.standins

import io.ktor.http.HttpStatusCode
import io.ktor.server.routing.post
import java.util.UUID
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import kotlinx.serialization.encodeToString
import org.sapphirelever.core.Endpoint
import org.sapphirelever.runtime.http.HttpFrontEnd
import org.sapphirelever.runtime.http.Routes
import org.sapphirelever.runtime.http.answer
import org.sapphirelever.runtime.http.readText
import org.sapphirelever.runtime.http.respondJson
import org.sapphirelever.wire.LoadMessage
import org.sapphirelever.wire.MessageJson
import org.sapphirelever.wire.RefusalMessage
import org.sapphirelever.wire.RunAnswerMessage
import org.sapphirelever.wire.RunMessage

/** Serves calls of a service at [endpoint]; each takes [serviceTime] on one of [slots] slots. */
public class PoolStandIn(
    private val endpoint: Endpoint,
    private val service: String,
    private val slots: Int,
    private val queueLimit: Int,
    private val serviceTime: Duration
) {
    private val incarnation: String = UUID.randomUUID().toString()
    private val room = Semaphore(slots)
    private val admitted = AtomicInteger()

    public suspend fun run() {
        HttpFrontEnd(endpoint, listOf(runRoutes())).run()
    }

    private fun runRoutes(): Routes = Routes {
        post("/v1/run") {
            answer(call) {
                val message = MessageJson.decodeFromString<RunMessage>(call.readText(LIMIT))
                if (admitted.incrementAndGet() > slots + queueLimit) {
                    admitted.decrementAndGet()
                    val refusal = RefusalMessage("busy", incarnation, load())
                    call.respondJson(
                        MessageJson.encodeToString(refusal),
                        HttpStatusCode.ServiceUnavailable
                    )
                } else {
                    val answer =
                        try {
                            serve(message)
                        } finally {
                            admitted.decrementAndGet()
                        }
                    call.respondJson(MessageJson.encodeToString(answer))
                }
            }
        }
    }

    private suspend fun serve(message: RunMessage): RunAnswerMessage = room.withPermit {
        delay(serviceTime)
        RunAnswerMessage(
            request = message.request,
            stage = message.stage,
            attempt = message.attempt,
            incarnation = incarnation,
            output = "$service(${message.input})",
            load = load()
        )
    }

    private fun load(): LoadMessage {
        val count = admitted.get()
        val running = minOf(count, slots)
        return LoadMessage(running, count - running, slots, ageMillis = 0)
    }

    private companion object {
        const val LIMIT = 8 * 1024 * 1024
    }
}
