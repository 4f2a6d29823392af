/*
 * Resource API for operators: reads the configuration in force, writes the desired configuration
 * and reports on which hosts it has taken effect.
 */
package org.sapphirelever.runtime.resource

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respond
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import java.util.UUID
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.encodeToString
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.Finding
import org.sapphirelever.core.Revision
import org.sapphirelever.core.SapphireleverException
import org.sapphirelever.core.resource.Configuration
import org.sapphirelever.core.resource.ResourceKind
import org.sapphirelever.core.resource.validate
import org.sapphirelever.runtime.feed.Change
import org.sapphirelever.runtime.feed.ConfigurationWriter
import org.sapphirelever.runtime.http.Routes
import org.sapphirelever.runtime.http.answer
import org.sapphirelever.runtime.http.readText
import org.sapphirelever.runtime.http.respondJson
import org.sapphirelever.runtime.peer.PeerProtocol
import org.sapphirelever.wire.AppliedMessage
import org.sapphirelever.wire.ApplyMessage
import org.sapphirelever.wire.CheckedMessage
import org.sapphirelever.wire.MessageJson
import org.sapphirelever.wire.findings
import org.sapphirelever.wire.toMessage
import org.sapphirelever.wire.toResources

/** Serves the resource API; bodies are at most [bodyLimit] bytes. */
public class ResourceRoutes(
    private val bodyLimit: Int,
    private val protocol: PeerProtocol,
    private val writer: ConfigurationWriter
) {
    private val inForce: Configuration get() = protocol.state.configuration.value.inForce

    public val routes: Routes =
        Routes {
            get("/v1/resources") { answer(call) { respond(call, inForce) } }
            get("/v1/resources/watch") { answer(call) { watch(call) } }
            get("/v1/resources/{kind}/{name}") { answer(call) { find(call) } }
            post("/v1/resources/apply") { answer(call) { apply(call) } }
            delete("/v1/resources/{kind}/{name}") { answer(call) { delete(call) } }
            get("/v1/status") {
                answer(call) {
                    call.respondJson(MessageJson.encodeToString(protocol.state.toStatus()))
                }
            }
        }

    private suspend fun respond(call: ApplicationCall, configuration: Configuration) {
        call.respondJson(MessageJson.encodeToString(configuration.toMessage()))
    }

    /** Responds with a document that contains only the requested resource. */
    private suspend fun find(call: ApplicationCall) {
        val current = inForce
        val found = current.find(call.kindParameter(), call.nameParameter())
            ?: throw SapphireleverException(ErrorCode.UNKNOWN_RESOURCE)
        respond(call, Configuration(current.revision).with(found))
    }

    /** Waits for a revision later than `after`; responds with 204 if none takes effect in time. */
    private suspend fun watch(call: ApplicationCall) {
        val after = Revision(call.number("after") ?: 0)
        val wait = call.number("waitMillis")?.milliseconds ?: MAXIMUM_WAIT
        val newer = withTimeoutOrNull(wait.coerceIn(Duration.ZERO, MAXIMUM_WAIT)) {
            protocol.changeCount.first { inForce.revision > after }
        }
        if (newer == null) call.respond(HttpStatusCode.NoContent) else respond(call, inForce)
    }

    private suspend fun apply(call: ApplicationCall) {
        val message = MessageJson.decodeFromString<ApplyMessage>(call.readText(bodyLimit))
        requireNoFindings(message.resources.findings(SOURCE))
        val resources = message.resources.toResources()
        val change = Change(message.change, message.expectedRevision?.let(::Revision)) { current ->
            resources.fold(current) { changed, resource -> changed.with(resource) }
        }
        if (message.dryRun) check(call, change) else write(call, change)
    }

    private suspend fun check(call: ApplicationCall, change: Change) {
        val current = inForce
        requireNoFindings(validate(change.apply(current)))
        val checked = CheckedMessage(valid = true, current.revision.value)
        call.respondJson(MessageJson.encodeToString(checked))
    }

    private suspend fun delete(call: ApplicationCall) {
        val kind = call.kindParameter()
        val name = call.nameParameter()
        val identity = call.parameters["change"] ?: UUID.randomUUID().toString()
        val change = Change(identity, call.number("expectedRevision")?.let(::Revision)) { current ->
            current.find(kind, name) ?: throw SapphireleverException(ErrorCode.UNKNOWN_RESOURCE)
            current.without(kind, name)
        }
        write(call, change)
    }

    private suspend fun write(call: ApplicationCall, change: Change) {
        val accepted = writer.write(change)
        val applied = AppliedMessage(accepted.value, change.identity)
        call.respondJson(MessageJson.encodeToString(applied))
    }

    private fun requireNoFindings(findings: List<Finding>) {
        if (findings.isEmpty()) return
        throw SapphireleverException(
            ErrorCode.INVALID_RESOURCE,
            findings = findings.toPersistentList()
        )
    }

    private fun ApplicationCall.kindParameter(): ResourceKind =
        ResourceKind.fromText(parameters["kind"].orEmpty())
            ?: throw SapphireleverException(ErrorCode.UNKNOWN_RESOURCE)

    private fun ApplicationCall.nameParameter(): String = parameters["name"].orEmpty()

    private fun ApplicationCall.number(name: String): Long? {
        val text = parameters[name] ?: return null
        return text.toLongOrNull()
            ?: throw SapphireleverException(ErrorCode.MALFORMED_REQUEST, "$name is not a number")
    }

    private companion object {
        const val SOURCE = "request"
        val MAXIMUM_WAIT = 30.seconds
    }
}
