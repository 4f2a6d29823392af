/*
 * Route that takes the requests of callers.
 */
package org.sapphirelever.runtime.request

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.routing.post
import java.util.UUID
import kotlinx.serialization.encodeToString
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.HostId
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.RequestId
import org.sapphirelever.core.SapphireleverException
import org.sapphirelever.decisions.configuration.ConfigurationState
import org.sapphirelever.runtime.StateCell
import org.sapphirelever.runtime.http.Routes
import org.sapphirelever.runtime.http.answer
import org.sapphirelever.runtime.http.readText
import org.sapphirelever.runtime.http.respondJson
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.runtime.metrics.NoRequestMetrics
import org.sapphirelever.runtime.metrics.RequestMetrics
import org.sapphirelever.wire.MessageJson
import org.sapphirelever.wire.OutcomeMessage
import org.sapphirelever.wire.RequestMessage
import org.sapphirelever.wire.StageMessage
import org.sapphirelever.wire.outcomeMessage

/** Takes requests of at most [bodyLimit] bytes and answers with their outcomes. */
public class RequestRoutes(
    private val host: HostId,
    private val bodyLimit: Int,
    private val configuration: StateCell<ConfigurationState>,
    private val executor: RequestExecutor,
    private val clock: MonotonicClock,
    private val metrics: RequestMetrics = NoRequestMetrics
) {
    public val routes: Routes =
        Routes {
            post("/v1/requests") { answer(call) { handle(call, call.readText(bodyLimit)) } }
        }

    private suspend fun handle(call: ApplicationCall, body: String) {
        val arrived = clock.now()
        val message = MessageJson.decodeFromString<RequestMessage>(body)
        if (!configuration.value.ready) throw SapphireleverException(ErrorCode.NOT_READY)
        val inForce = configuration.value.inForce
        val id = RequestId(UUID.randomUUID().toString())
        val request = accept(message, id, inForce, clock.now())
        val executed = executor.execute(request, inForce)
        log(executed)
        metrics.record(executed, clock.now() - arrived, request.deadline - arrived)
        val status = HttpStatusCode.fromValue(executed.outcome.code.httpStatus)
        call.respondJson(MessageJson.encodeToString(executed.toMessage(host)), status)
    }

    private fun log(executed: ExecutedRequest) {
        logEvent("request-finished") {
            "request" to executed.request.id
            "pipeline" to executed.request.pipeline.name
            "organisation" to executed.request.organisation
            "outcome" to executed.outcome.text
            "code" to executed.outcome.code.text
        }
    }
}

/** Reply of [host] for this request. */
public fun ExecutedRequest.toMessage(host: HostId): OutcomeMessage = outcomeMessage(
    request = request.id.value,
    host = host.value,
    outcome = outcome,
    stages = stages.map { it.toMessage() }
)

private fun StageRecord.toMessage(): StageMessage = StageMessage(
    stage = stage.name.value,
    target = target?.value.orEmpty(),
    attempts = attempts,
    millis = took.inWholeMilliseconds
)
