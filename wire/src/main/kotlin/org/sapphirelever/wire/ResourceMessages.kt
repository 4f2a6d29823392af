/*
 * Resources as JSON: the format of resource files, of the resource API and of the configuration
 * document in the platform's store.
 */
package org.sapphirelever.wire

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.Serializable
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Finding
import org.sapphirelever.core.OrganisationName
import org.sapphirelever.core.PipelineName
import org.sapphirelever.core.Place
import org.sapphirelever.core.Priority
import org.sapphirelever.core.Revision
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.StageName
import org.sapphirelever.core.collectFindings
import org.sapphirelever.core.resource.ChangeRecord
import org.sapphirelever.core.resource.Configuration
import org.sapphirelever.core.resource.Organisation
import org.sapphirelever.core.resource.Pipeline
import org.sapphirelever.core.resource.Resource
import org.sapphirelever.core.resource.Service
import org.sapphirelever.core.resource.ServiceKind
import org.sapphirelever.core.resource.Stage

@Serializable
public data class ServiceMessage(
    public val name: String,
    public val type: String,
    public val idempotent: Boolean = true,
    public val slots: Int = Service.DEFAULT_SLOTS,
    public val honoursFencing: Boolean = false,
    public val model: String = "",
    public val minimumTargets: Int = 1
)

@Serializable
public data class StageDeclaration(
    public val name: String,
    public val service: String,
    public val dataCentres: List<String> = emptyList(),
    public val maximumTokens: Int = 0
)

@Serializable
public data class PipelineMessage(
    public val name: String,
    public val deadlineMillis: Long = Pipeline.DEFAULT_DEADLINE.inWholeMilliseconds,
    public val stages: List<StageDeclaration>
)

@Serializable
public data class OrganisationMessage(
    public val name: String,
    public val weight: Int = 1,
    public val priority: String = Priority.STANDARD.text,
    public val requestsPerSecond: Int = 0
)

/** Content of a resource file, or the resources of a [ConfigurationMessage]. */
@Serializable
public data class ResourcesMessage(
    public val services: List<ServiceMessage> = emptyList(),
    public val pipelines: List<PipelineMessage> = emptyList(),
    public val organisations: List<OrganisationMessage> = emptyList()
)

@Serializable
public data class ChangeMessage(public val change: String, public val revision: Long)

/** Configuration document in the platform's store. */
@Serializable
public data class ConfigurationMessage(
    public val revision: Long,
    public val resources: ResourcesMessage,
    public val recentChanges: List<ChangeMessage> = emptyList()
)

/**
 * Requests that [resources] are applied. [change] identifies this write across retries. With
 * [dryRun] the resources are only validated against the configuration in force.
 */
@Serializable
public data class ApplyMessage(
    public val change: String,
    public val resources: ResourcesMessage,
    public val expectedRevision: Long? = null,
    public val dryRun: Boolean = false
)

/** Reply to a dry run without findings, validated against [revision]. */
@Serializable
public data class CheckedMessage(public val valid: Boolean, public val revision: Long)

/**
 * Status of one entry host. [revision] and [ready] are known only from its own heartbeats, so they
 * are null if the replying host has no connection to it.
 */
@Serializable
public data class HostStatusMessage(
    public val host: String,
    public val dataCentre: String,
    public val incarnation: String,
    public val status: String,
    public val revision: Long? = null,
    public val ready: Boolean? = null
)

/**
 * Status of the system from the view of [host].
 *
 * @property desiredRevision greatest revision that is known to exist
 * @property reason reason why [host] is not ready; empty if it is ready
 */
@Serializable
public data class StatusMessage(
    public val host: String,
    public val revision: Long,
    public val desiredRevision: Long,
    public val ready: Boolean,
    public val reason: String,
    public val unreachable: List<String>,
    public val hosts: List<HostStatusMessage>
)

/** Reply to an accepted change. */
@Serializable
public data class AppliedMessage(public val revision: Long, public val change: String)

public fun Configuration.toMessage(): ConfigurationMessage = ConfigurationMessage(
    revision = revision.value,
    resources =
        ResourcesMessage(
            services = services.values.sortedBy { it.key }.map { it.toMessage() },
            pipelines = pipelines.values.sortedBy { it.key }.map { it.toMessage() },
            organisations = organisations.values.sortedBy { it.key }.map { it.toMessage() }
        ),
    recentChanges = recentChanges.map { ChangeMessage(it.change, it.revision.value) }
)

public fun ConfigurationMessage.toConfiguration(): Configuration = Configuration(
    revision = Revision(revision),
    services = resources.services.map {
        it.toService()
    }.associateBy { it.name }.toPersistentMap(),
    pipelines =
        resources.pipelines.map { it.toPipeline() }.associateBy { it.name }.toPersistentMap(),
    organisations =
        resources.organisations
            .map { it.toOrganisation() }
            .associateBy { it.name }
            .toPersistentMap(),
    recentChanges =
        recentChanges
            .map { ChangeRecord(it.change, Revision(it.revision)) }
            .toPersistentList()
)

public fun Service.toMessage(): ServiceMessage = ServiceMessage(
    name = name.value,
    type = type.text,
    idempotent = idempotent,
    slots = slots,
    honoursFencing = honoursFencing,
    model = model,
    minimumTargets = minimumTargets
)

/** Converts to a service. An unknown type becomes plain, since validation reports it separately. */
public fun ServiceMessage.toService(): Service = Service(
    name = ServiceName(name),
    type = ServiceKind.fromText(type) ?: ServiceKind.PLAIN,
    idempotent = idempotent,
    slots = slots,
    honoursFencing = honoursFencing,
    model = model,
    minimumTargets = minimumTargets
)

public fun Pipeline.toMessage(): PipelineMessage = PipelineMessage(
    name = name.value,
    deadlineMillis = deadline.inWholeMilliseconds,
    stages = stages.map { it.toMessage() }
)

public fun PipelineMessage.toPipeline(): Pipeline = Pipeline(
    name = PipelineName(name),
    deadline = deadlineMillis.milliseconds,
    stages = stages.map { it.toStage() }.toPersistentList()
)

private fun Stage.toMessage(): StageDeclaration =
    StageDeclaration(name.value, service.value, dataCentres.map { it.value }, maximumTokens)

private fun StageDeclaration.toStage(): Stage = Stage(
    name = StageName(name),
    service = ServiceName(service),
    dataCentres = dataCentres.map(::DataCentre).toPersistentList(),
    maximumTokens = maximumTokens
)

public fun Organisation.toMessage(): OrganisationMessage =
    OrganisationMessage(name.value, weight, priority.text, requestsPerSecond)

public fun OrganisationMessage.toOrganisation(): Organisation = Organisation(
    name = OrganisationName(name),
    weight = weight,
    priority = Priority.fromText(priority) ?: Priority.STANDARD,
    requestsPerSecond = requestsPerSecond
)

public fun ResourcesMessage.toResources(): List<Resource> = services.map { it.toService() } +
    pipelines.map { it.toPipeline() } +
    organisations.map { it.toOrganisation() }

/** Errors that the conversion to resources would hide: unknown constants and duplicate names. */
public fun ResourcesMessage.findings(source: String): List<Finding> = collectFindings {
    services.forEach { service ->
        val place = Place(source, field = "services/${service.name}.type")
        require(ServiceKind.fromText(service.type) != null, place) {
            "type '${service.type}' is not one of ${ServiceKind.entries.map { it.text }}"
        }
    }
    organisations.forEach { organisation ->
        val place = Place(source, field = "organisations/${organisation.name}.priority")
        require(Priority.fromText(organisation.priority) != null, place) {
            "priority '${organisation.priority}' is not one of ${Priority.entries.map { it.text }}"
        }
    }
    toResources().groupBy { it.kind to it.key }.filterValues { it.size > 1 }.keys
        .forEach { (kind, name) ->
            report(Place(source, field = "${kind.text}/$name"), "the name is declared twice")
        }
}
