/*
 * HTTP routes for callers: requests, explanations and keys.
 */
package org.sapphirelever.runtime.request

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.install
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import java.util.UUID
import kotlinx.serialization.encodeToString
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.HostId
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.OrganisationName
import org.sapphirelever.core.RequestId
import org.sapphirelever.core.SapphireleverException
import org.sapphirelever.decisions.configuration.ConfigurationState
import org.sapphirelever.runtime.StateCell
import org.sapphirelever.runtime.http.Routes
import org.sapphirelever.runtime.http.answer
import org.sapphirelever.runtime.http.readText
import org.sapphirelever.runtime.http.respondJson
import org.sapphirelever.runtime.keys.KeyedRequests
import org.sapphirelever.runtime.keys.RequestRunner
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.runtime.metrics.NoRequestMetrics
import org.sapphirelever.runtime.metrics.RequestMetrics
import org.sapphirelever.runtime.target.TokenSink
import org.sapphirelever.wire.KeyRequestMessage
import org.sapphirelever.wire.MessageJson
import org.sapphirelever.wire.OutcomeMessage
import org.sapphirelever.wire.RequestMessage
import org.sapphirelever.wire.StageMessage
import org.sapphirelever.wire.outcomeMessage

/** Checks requests against the configuration in force and executes them. */
public class ConfiguredRunner(
    private val host: HostId,
    private val configuration: StateCell<ConfigurationState>,
    private val executor: RequestExecutor,
    private val explanations: Explanations,
    private val clock: MonotonicClock,
    private val metrics: RequestMetrics = NoRequestMetrics
) : RequestRunner {
    override suspend fun run(message: RequestMessage, tokens: TokenSink): OutcomeMessage {
        val arrived = clock.now()
        if (!configuration.value.ready) throw SapphireleverException(ErrorCode.NOT_READY)
        val inForce = configuration.value.inForce
        val id = RequestId(UUID.randomUUID().toString())
        val request = accept(message, id, inForce, clock.now())
        val executed = executor.execute(request, inForce, tokens)
        explanations.add(executed)
        log(executed)
        metrics.record(executed, clock.now() - arrived, request.deadline - arrived)
        return executed.toMessage(host)
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

/** Serves requests, explanations and keys; request bodies have at most [bodyLimit] bytes. */
public class RequestRoutes(
    private val bodyLimit: Int,
    private val runner: RequestRunner,
    private val keyed: KeyedRequests,
    private val explanations: Explanations
) {
    public val routes: Routes =
        Routes {
            route("/v1/requests") {
                // If the caller closes its connection, its request and stream are cancelled.
                install(HttpRequestLifecycle) { cancelCallOnClose = true }
                post { answer(call) { handle(call, call.readText(bodyLimit)) } }
            }
            get("/v1/requests/{request}/explanation") { answer(call) { explain(call) } }
            post("/v1/keys") { answer(call) { mint(call, call.readText(bodyLimit)) } }
        }

    private suspend fun handle(call: ApplicationCall, body: String) {
        val message = MessageJson.decodeFromString<RequestMessage>(body)
        if (message.deadlineMillis <= 0) throw SapphireleverException(ErrorCode.DEADLINE_PASSED)
        if (message.stream) {
            call.respondStream { tokens -> run(message, tokens) }
            return
        }
        val outcome = run(message, TokenSink.NONE)
        val status = HttpStatusCode.fromValue(ErrorCode.fromText(outcome.code).httpStatus)
        call.respondJson(MessageJson.encodeToString(outcome), status)
    }

    private suspend fun run(message: RequestMessage, tokens: TokenSink): OutcomeMessage =
        if (message.key == null) runner.run(message, tokens) else keyed.submit(message, tokens)

    private suspend fun explain(call: ApplicationCall) {
        val id = RequestId(call.parameters["request"].orEmpty())
        val explanation =
            explanations.find(id) ?: throw SapphireleverException(ErrorCode.NOT_FOUND)
        call.respondJson(MessageJson.encodeToString(explanation))
    }

    private suspend fun mint(call: ApplicationCall, body: String) {
        val message = MessageJson.decodeFromString<KeyRequestMessage>(body)
        val key = keyed.mint(OrganisationName(message.organisation))
        call.respondJson(MessageJson.encodeToString(key))
    }
}

/** Reply that [host] sends for this request. */
public fun ExecutedRequest.toMessage(host: HostId): OutcomeMessage = outcomeMessage(
    request = request.id.value,
    host = host.value,
    outcome = outcome,
    stages = stages.map { it.toMessage() }
)

private fun StageRecord.toMessage(): StageMessage = StageMessage(
    stage = stage.name.value,
    target = target?.value.orEmpty(),
    attempts = attempts.size,
    millis = took.inWholeMilliseconds
)
