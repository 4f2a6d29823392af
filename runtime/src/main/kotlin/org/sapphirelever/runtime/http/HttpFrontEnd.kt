/*
 * HTTP front end of an entry host: requests of callers, the resource API, health and metrics.
 * Each request runs in the task of its connection.
 */
package org.sapphirelever.runtime.http

import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.request.receiveChannel
import io.ktor.server.response.respondText
import io.ktor.server.routing.Routing
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.CancellationException
import kotlinx.io.readByteArray
import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.SapphireleverException
import org.sapphirelever.core.SystemMonotonicClock
import org.sapphirelever.runtime.log.logWarning
import org.sapphirelever.runtime.transport.CallerRegistry
import org.sapphirelever.runtime.transport.MessageMemory
import org.sapphirelever.runtime.transport.Sockets
import org.sapphirelever.wire.ErrorMessage
import org.sapphirelever.wire.FindingMessage
import org.sapphirelever.wire.MessageJson

/** A group of related routes. */
public fun interface Routes {
    public fun Routing.install()
}

/**
 * Serves [routes] at [endpoint] until cancelled, within [limits]; passes the bound address to
 * [onBound]. A request is read completely before it is routed.
 */
public class HttpFrontEnd(
    private val endpoint: Endpoint,
    private val routes: List<Routes>,
    private val limits: FrontEndLimits = FrontEndLimits(),
    private val clock: MonotonicClock = SystemMonotonicClock,
    private val onBound: (Endpoint) -> Unit = {}
) {
    public suspend fun run() {
        val server =
            embeddedServer(PipelineEngine, host = endpoint.address, port = endpoint.port) {
                routing { routes.forEach { with(it) { install() } } }
            }
        server.startSuspend(wait = false)
        try {
            Sockets().use { serve(it, server.engine) }
        } finally {
            server.stop(0, 0)
        }
    }

    private suspend fun serve(sockets: Sockets, engine: PipelineEngine) {
        val registry = CallerRegistry(limits.connections, MessageMemory(), clock, limits.counts)
        sockets.listen(endpoint, registry).use { listener ->
            val bound = endpoint.copy(port = listener.port)
            onBound(bound)
            listener.run { FrontEndConnection(it, bound, limits, engine).serve() }
        }
    }
}

/** Runs [handle], which answers [call]; answers with a coded error if it throws. */
public suspend fun answer(call: ApplicationCall, handle: suspend () -> Unit) {
    try {
        handle()
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (failure: SapphireleverException) {
        // An error must never follow the bytes of a response that has begun.
        if (call.response.isCommitted) throw failure
        call.respondError(failure.code, failure.message.orEmpty(), failure.toFindings())
    } catch (failure: SerializationException) {
        call.respondError(ErrorCode.MALFORMED_REQUEST, failure.message.orEmpty())
    } catch (failure: Exception) {
        logWarning("handler-failed") {
            "path" to call.request.local.uri
            "failure" to failure
        }
        call.respondError(ErrorCode.INTERNAL, ErrorCode.INTERNAL.meaning)
    }
}

/** Reads the body as text; fails with [ErrorCode.BODY_TOO_LARGE] beyond [limit] bytes. */
public suspend fun ApplicationCall.readText(limit: Int): String {
    val bytes = receiveChannel().readRemaining(limit + 1L).readByteArray()
    if (bytes.size > limit) {
        throw SapphireleverException(ErrorCode.BODY_TOO_LARGE, "the limit is $limit bytes")
    }
    return bytes.decodeToString()
}

public suspend fun ApplicationCall.respondJson(
    text: String,
    status: HttpStatusCode = HttpStatusCode.OK
) {
    respondText(text, ContentType.Application.Json, status)
}

private suspend fun ApplicationCall.respondError(
    code: ErrorCode,
    detail: String,
    findings: List<FindingMessage> = emptyList()
) {
    val message = ErrorMessage(code.text, detail, findings, requestOutcome(code))
    respondJson(MessageJson.encodeToString(message), HttpStatusCode.fromValue(code.httpStatus))
}

/** Outcome that a request error with [code] reports to its caller; null for other calls. */
private fun ApplicationCall.requestOutcome(code: ErrorCode): String? {
    if (request.httpMethod != HttpMethod.Post || request.path() != REQUESTS_PATH) return null
    return outcomeOf(code)
}

internal const val REQUESTS_PATH: String = "/v1/requests"

/** `not-run` only for the codes that prove it; any other error may follow a stage that ran. */
internal fun outcomeOf(code: ErrorCode): String =
    if (code in BEFORE_ANY_STAGE) "not-run" else "outcome-unknown"

/** Codes of the checks that precede the first stage of a request. */
private val BEFORE_ANY_STAGE: Set<ErrorCode> =
    setOf(
        ErrorCode.MALFORMED_REQUEST,
        ErrorCode.BODY_TOO_LARGE,
        ErrorCode.UNKNOWN_PIPELINE,
        ErrorCode.UNKNOWN_ORGANISATION,
        ErrorCode.DEADLINE_PASSED,
        ErrorCode.DEADLINE_UNREACHABLE,
        ErrorCode.OVER_LIMIT,
        ErrorCode.KEY_REQUIRED,
        ErrorCode.KEY_MALFORMED,
        ErrorCode.KEY_MISMATCH,
        ErrorCode.SUSPECTED_CRASH,
        ErrorCode.STOPPING,
        ErrorCode.NOT_READY
    )

private fun SapphireleverException.toFindings(): List<FindingMessage> = findings.map {
    FindingMessage(it.place.source, it.place.line, it.place.field, it.message)
}

/** Liveness and readiness probes for the load balancer. */
internal fun healthRoutes(ready: () -> Boolean): Routes = Routes {
    get("/healthz") { call.respondText("up\n") }
    get("/readyz") {
        if (ready()) {
            call.respondText("ready\n")
        } else {
            call.respondText("not ready\n", status = HttpStatusCode.ServiceUnavailable)
        }
    }
}
