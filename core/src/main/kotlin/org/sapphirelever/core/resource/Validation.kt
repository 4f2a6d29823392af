/*
 * Validation of a whole configuration, including references between resources. It reports every
 * error with its location.
 */
package org.sapphirelever.core.resource

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlinx.collections.immutable.PersistentList
import org.sapphirelever.core.Finding
import org.sapphirelever.core.FindingCollector
import org.sapphirelever.core.Place
import org.sapphirelever.core.collectFindings

/** Maps a field of a resource to its location, for example in the file that declares it. */
public fun interface PlaceResolver {
    public fun of(resource: Resource, field: String): Place

    public companion object {
        /** Resolver for resources without a file; its places name the kind, name and field. */
        public fun named(source: String): PlaceResolver = PlaceResolver { resource, field ->
            Place(source, field = "${resource.kind.text}/${resource.key}.$field")
        }
    }
}

/** Permitted values of the fields of resources. */
public object ResourceLimits {
    public val STAGES: IntRange = 3..6
    public val SLOTS: IntRange = 1..1024
    public val WEIGHT: IntRange = 1..1000
    public val REQUESTS_PER_SECOND: IntRange = 0..1_000_000
    public val MAXIMUM_TOKENS: IntRange = 0..32_768
    public val DEADLINE_MINIMUM: Duration = 10.milliseconds
    public val DEADLINE_MAXIMUM: Duration = 10.minutes
    public val NAME: Regex = Regex("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
}

/** Returns all findings of [configuration], none if it is valid; [places] resolves locations. */
public fun validate(
    configuration: Configuration,
    places: PlaceResolver = PlaceResolver.named("configuration")
): PersistentList<Finding> = collectFindings {
    configuration.resources.forEach { validateName(it, places) }
    configuration.services.values.forEach { validateService(it, places) }
    configuration.organisations.values.forEach { validateOrganisation(it, places) }
    configuration.pipelines.values.forEach { validatePipeline(it, configuration, places) }
}

private fun FindingCollector.validateName(resource: Resource, places: PlaceResolver) {
    require(ResourceLimits.NAME.matches(resource.key), places.of(resource, "name")) {
        "name '${resource.key}' must be lower-case letters, digits and hyphens, at most 63"
    }
}

private fun FindingCollector.validateService(service: Service, places: PlaceResolver) {
    require(service.slots in ResourceLimits.SLOTS, places.of(service, "slots")) {
        "slots ${service.slots} is outside ${ResourceLimits.SLOTS}"
    }
}

private fun FindingCollector.validateOrganisation(
    organisation: Organisation,
    places: PlaceResolver
) {
    require(organisation.weight in ResourceLimits.WEIGHT, places.of(organisation, "weight")) {
        "weight ${organisation.weight} is outside ${ResourceLimits.WEIGHT}"
    }
    val limit = organisation.requestsPerSecond
    require(
        limit in ResourceLimits.REQUESTS_PER_SECOND,
        places.of(organisation, "requestsPerSecond")
    ) { "requestsPerSecond $limit is outside ${ResourceLimits.REQUESTS_PER_SECOND}" }
}

private fun FindingCollector.validatePipeline(
    pipeline: Pipeline,
    configuration: Configuration,
    places: PlaceResolver
) {
    require(pipeline.stages.size in ResourceLimits.STAGES, places.of(pipeline, "stages")) {
        "a pipeline has three to six stages, this one has ${pipeline.stages.size}"
    }
    val limits = ResourceLimits.DEADLINE_MINIMUM..ResourceLimits.DEADLINE_MAXIMUM
    require(pipeline.deadline in limits, places.of(pipeline, "deadlineMillis")) {
        "deadline ${pipeline.deadline} is outside $limits"
    }
    val repeated = pipeline.stages.groupBy { it.name }.filterValues { it.size > 1 }.keys
    require(repeated.isEmpty(), places.of(pipeline, "stages")) {
        "stage names must differ, repeated: ${repeated.joinToString()}"
    }
    pipeline.stages.forEachIndexed { index, stage ->
        validateStage(pipeline, index, stage, configuration, places)
    }
}

private fun FindingCollector.validateStage(
    pipeline: Pipeline,
    index: Int,
    stage: Stage,
    configuration: Configuration,
    places: PlaceResolver
) {
    val field = "stages[$index]"
    require(stage.service in configuration.services, places.of(pipeline, "$field.service")) {
        "service '${stage.service}' is not declared"
    }
    val limits = ResourceLimits.MAXIMUM_TOKENS
    require(stage.maximumTokens in limits, places.of(pipeline, "$field.maximumTokens")) {
        "maximumTokens ${stage.maximumTokens} is outside $limits"
    }
}
