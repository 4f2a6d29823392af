/*
 * Reading of resource files. All findings of a file are reported together, with line and field.
 */
package org.sapphirelever.wire.resource

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonElement
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.Finding
import org.sapphirelever.core.FindingCollector
import org.sapphirelever.core.Place
import org.sapphirelever.core.Priority
import org.sapphirelever.core.SapphireleverException
import org.sapphirelever.core.collectFindings
import org.sapphirelever.core.resource.Configuration
import org.sapphirelever.core.resource.PlaceResolver
import org.sapphirelever.core.resource.Resource
import org.sapphirelever.core.resource.ResourceKind
import org.sapphirelever.core.resource.ServiceKind
import org.sapphirelever.core.resource.validate
import org.sapphirelever.wire.MessageJson
import org.sapphirelever.wire.ResourcesMessage
import org.sapphirelever.wire.toOrganisation
import org.sapphirelever.wire.toPipeline
import org.sapphirelever.wire.toService

/** Result of [readResourceFile]; [resources] is null if the text cannot be decoded. */
public data class ResourceFile(
    public val resources: ResourcesMessage?,
    public val findings: PersistentList<Finding>
) {
    /**
     * Returns the resources if the file has no findings.
     *
     * @throws SapphireleverException with [ErrorCode.INVALID_RESOURCE] and all findings
     */
    public fun validOrThrow(): ResourcesMessage {
        if (resources != null && findings.isEmpty()) return resources
        throw SapphireleverException(ErrorCode.INVALID_RESOURCE, findings = findings)
    }
}

/**
 * Reads the resource file [name] with content [text]. Pipelines of the file may also use services
 * of the configuration [inForce].
 */
public fun readResourceFile(
    name: String,
    text: String,
    inForce: Configuration = Configuration()
): ResourceFile {
    val element =
        try {
            MessageJson.parseToJsonElement(text)
        } catch (failure: SerializationException) {
            return ResourceFile(null, persistentListOf(syntaxError(name, text, failure)))
        }
    val positions = JsonPositions.of(text)
    val placeOf = { path: String -> Place(name, positions.lineOf(path), path) }
    val structural = checkStructure(element, placeOf)
    val resources =
        try {
            MessageJson.decodeFromJsonElement(ResourcesMessage.serializer(), element)
        } catch (_: IllegalArgumentException) {
            return ResourceFile(null, structural.sortedByLine())
        }
    val conversion =
        collectFindings {
            checkConstants(resources, placeOf)
            checkDuplicates(resources, placeOf)
        }
    val semantic = validate(inForce.with(resources), FilePlaceResolver(resources, placeOf))
    return ResourceFile(resources, (structural + conversion + semantic).sortedByLine())
}

/** This configuration with all of [resources]. */
public fun Configuration.with(resources: ResourcesMessage): Configuration {
    val declared =
        resources.services.map { it.toService() } +
            resources.pipelines.map { it.toPipeline() } +
            resources.organisations.map { it.toOrganisation() }
    return declared.fold(this) { configuration, resource -> configuration.with(resource) }
}

private fun checkStructure(element: JsonElement, placeOf: (String) -> Place): List<Finding> =
    collectFindings {
        checkFields(element, ResourcesMessage.serializer().descriptor, "") { path, message ->
            report(placeOf(path), message)
        }
    }

/** Reports service types and priorities that are none of the defined ones. */
private fun FindingCollector.checkConstants(
    resources: ResourcesMessage,
    placeOf: (String) -> Place
) {
    resources.services.forEachIndexed { index, service ->
        val types = ServiceKind.entries.joinToString { it.text }
        require(ServiceKind.fromText(service.type) != null, placeOf("services[$index].type")) {
            "unknown type '${service.type}'; expected one of $types"
        }
    }
    resources.organisations.forEachIndexed { index, organisation ->
        val priorities = Priority.entries.joinToString { it.text }
        val place = placeOf("organisations[$index].priority")
        require(Priority.fromText(organisation.priority) != null, place) {
            "unknown priority '${organisation.priority}'; expected one of $priorities"
        }
    }
}

private fun FindingCollector.checkDuplicates(
    resources: ResourcesMessage,
    placeOf: (String) -> Place
) {
    for (kind in ResourceKind.entries) {
        val names = resources.names(kind)
        names.forEachIndexed { index, name ->
            require(names.indexOf(name) == index, placeOf("${kind.text}[$index].name")) {
                "'$name' is declared twice"
            }
        }
    }
}

private fun ResourcesMessage.names(kind: ResourceKind): List<String> = when (kind) {
    ResourceKind.SERVICE -> services.map { it.name }
    ResourceKind.PIPELINE -> pipelines.map { it.name }
    ResourceKind.ORGANISATION -> organisations.map { it.name }
}

private class FilePlaceResolver(
    private val resources: ResourcesMessage,
    private val placeOf: (String) -> Place
) : PlaceResolver {
    override fun of(resource: Resource, field: String): Place {
        val index = resources.names(resource.kind).lastIndexOf(resource.key)
        return if (index < 0) {
            PlaceResolver.named("configuration").of(resource, field)
        } else {
            placeOf("${resource.kind.text}[$index].$field")
        }
    }
}

private fun syntaxError(name: String, text: String, failure: SerializationException): Finding {
    val message = failure.message.orEmpty().lineSequence().first()
    val offset = ERROR_OFFSET.find(message)?.groupValues?.get(1)?.toIntOrNull() ?: 0
    return Finding(Place(name, lineAt(text, offset)), "not valid JSON: $message")
}

private fun List<Finding>.sortedByLine(): PersistentList<Finding> =
    sortedBy { it.place.line }.toPersistentList()

/** kotlinx.serialization reports the offset of a syntax error only in its message. */
private val ERROR_OFFSET = Regex("offset (\\d+)")
