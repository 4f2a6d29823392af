/*
 * Resource files: all findings of a file with line and field, at once.
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
import org.sapphirelever.core.resource.Places
import org.sapphirelever.core.resource.Resource
import org.sapphirelever.core.resource.ResourceKind
import org.sapphirelever.core.resource.ServiceKind
import org.sapphirelever.core.resource.validate
import org.sapphirelever.wire.MessageJson
import org.sapphirelever.wire.ResourcesMessage
import org.sapphirelever.wire.toOrganisation
import org.sapphirelever.wire.toPipeline
import org.sapphirelever.wire.toService

/** A resource file that was read; [resources] is null if the text does not have its form. */
public data class ResourceFile(
    public val resources: ResourcesMessage?,
    public val findings: PersistentList<Finding>
) {
    /**
     * The resources of a file without findings.
     *
     * @throws SapphireleverException with [ErrorCode.INVALID_RESOURCE] and all findings
     */
    public fun valid(): ResourcesMessage {
        if (resources != null && findings.isEmpty()) return resources
        throw SapphireleverException(ErrorCode.INVALID_RESOURCE, findings = findings)
    }
}

/**
 * Reads the resource file [name] with this [text]. With [inForce], services that the file does not
 * declare may come from there.
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
            return ResourceFile(null, persistentListOf(malformed(name, text, failure)))
        }
    val positions = JsonPositions.of(text)
    val places = { path: String -> Place(name, positions.lineOf(path), path) }
    val form = checkForm(element, places)
    val resources =
        try {
            MessageJson.decodeFromJsonElement(ResourcesMessage.serializer(), element)
        } catch (_: IllegalArgumentException) {
            return ResourceFile(null, form.inOrderOfLines())
        }
    val more =
        collectFindings {
            checkWords(resources, places)
            checkRepeated(resources, places)
        }
    val meaning = validate(inForce.with(resources), FilePlaces(resources, places))
    return ResourceFile(resources, (form + more + meaning).inOrderOfLines())
}

/** This configuration with all of [resources]. */
public fun Configuration.with(resources: ResourcesMessage): Configuration {
    val declared =
        resources.services.map { it.toService() } +
            resources.pipelines.map { it.toPipeline() } +
            resources.organisations.map { it.toOrganisation() }
    return declared.fold(this) { configuration, resource -> configuration.with(resource) }
}

private fun checkForm(element: JsonElement, places: (String) -> Place): List<Finding> =
    collectFindings {
        checkFields(element, ResourcesMessage.serializer().descriptor, "") { path, message ->
            report(places(path), message)
        }
    }

private fun FindingCollector.checkWords(resources: ResourcesMessage, places: (String) -> Place) {
    resources.services.forEachIndexed { index, service ->
        val words = ServiceKind.entries.joinToString { it.text }
        require(ServiceKind.fromText(service.type) != null, places("services[$index].type")) {
            "unknown type '${service.type}'; expected one of $words"
        }
    }
    resources.organisations.forEachIndexed { index, organisation ->
        val words = Priority.entries.joinToString { it.text }
        val place = places("organisations[$index].priority")
        require(Priority.fromText(organisation.priority) != null, place) {
            "unknown priority '${organisation.priority}'; expected one of $words"
        }
    }
}

private fun FindingCollector.checkRepeated(resources: ResourcesMessage, places: (String) -> Place) {
    for (kind in ResourceKind.entries) {
        val names = resources.names(kind)
        names.forEachIndexed { index, name ->
            require(names.indexOf(name) == index, places("${kind.text}[$index].name")) {
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

private class FilePlaces(
    private val resources: ResourcesMessage,
    private val places: (String) -> Place
) : Places {
    override fun of(resource: Resource, field: String): Place {
        val index = resources.names(resource.kind).lastIndexOf(resource.key)
        return if (index < 0) {
            Places.named("configuration").of(resource, field)
        } else {
            places("${resource.kind.text}[$index].$field")
        }
    }
}

private fun malformed(name: String, text: String, failure: SerializationException): Finding {
    val message = failure.message.orEmpty().lineSequence().first()
    val offset = OFFSET.find(message)?.groupValues?.get(1)?.toIntOrNull() ?: 0
    return Finding(Place(name, lineAt(text, offset)), "not valid JSON: $message")
}

private fun List<Finding>.inOrderOfLines(): PersistentList<Finding> =
    sortedBy { it.place.line }.toPersistentList()

/** kotlinx.serialization tells the position of a syntax error in its message. */
private val OFFSET = Regex("offset (\\d+)")
