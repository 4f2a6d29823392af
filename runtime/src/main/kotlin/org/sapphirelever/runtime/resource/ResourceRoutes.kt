/*
 * Resource API of operators: reads what is in force and writes desired state.
 */
package org.sapphirelever.runtime.resource

import io.ktor.server.application.ApplicationCall
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.serialization.encodeToString
import org.sapphirelever.core.Revision
import org.sapphirelever.core.resource.Configuration
import org.sapphirelever.decisions.configuration.ConfigurationState
import org.sapphirelever.runtime.StateCell
import org.sapphirelever.runtime.feed.Change
import org.sapphirelever.runtime.feed.ConfigurationWriter
import org.sapphirelever.runtime.http.Routes
import org.sapphirelever.runtime.http.answer
import org.sapphirelever.runtime.http.readText
import org.sapphirelever.runtime.http.respondJson
import org.sapphirelever.wire.AppliedMessage
import org.sapphirelever.wire.ApplyMessage
import org.sapphirelever.wire.MessageJson
import org.sapphirelever.wire.ResourcesMessage
import org.sapphirelever.wire.toMessage
import org.sapphirelever.wire.toOrganisation
import org.sapphirelever.wire.toPipeline
import org.sapphirelever.wire.toService

/** Serves the resource API; bodies are at most [bodyLimit] bytes. */
public class ResourceRoutes(
    private val bodyLimit: Int,
    private val configuration: StateCell<ConfigurationState>,
    private val writer: ConfigurationWriter
) {
    public val routes: Routes =
        Routes {
            get("/v1/resources") {
                answer(call) {
                    val inForce = configuration.value.inForce
                    call.respondJson(MessageJson.encodeToString(inForce.toMessage()))
                }
            }
            post("/v1/resources/apply") {
                answer(call) { apply(call) }
            }
        }

    private suspend fun apply(call: ApplicationCall) {
        val message = MessageJson.decodeFromString<ApplyMessage>(call.readText(bodyLimit))
        val change =
            Change(message.change, message.expectedRevision?.let(::Revision)) { current ->
                current.withAll(message.resources)
            }
        val accepted = writer.write(change)
        val applied = AppliedMessage(accepted.revision.value, message.change)
        call.respondJson(MessageJson.encodeToString(applied))
    }

    private fun Configuration.withAll(resources: ResourcesMessage): Configuration {
        val declared =
            resources.services.map { it.toService() } +
                resources.pipelines.map { it.toPipeline() } +
                resources.organisations.map { it.toOrganisation() }
        return declared.fold(this) { configuration, resource -> configuration.with(resource) }
    }
}
