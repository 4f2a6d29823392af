/*
 * Resources that operators declare. They are immutable; a change makes a new Configuration with
 * the next revision.
 */
package org.sapphirelever.core.resource

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.OrganisationName
import org.sapphirelever.core.PipelineName
import org.sapphirelever.core.Priority
import org.sapphirelever.core.Revision
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.StageName

/** Kind of a resource; [text] is its name in files and URL paths. */
public enum class ResourceKind(public val text: String) {
    SERVICE("services"),
    PIPELINE("pipelines"),
    ORGANISATION("organisations")
    ;

    public companion object {
        public fun fromText(text: String): ResourceKind? = entries.firstOrNull { it.text == text }
    }
}

/** Kind of the targets of a service; [text] is its name in files. */
public enum class ServiceKind(public val text: String) {
    ENGINE("engine"),
    ENCODER("encoder"),
    RETRIEVER("retriever"),
    RERANKER("reranker"),
    PLAIN("plain")
    ;

    public companion object {
        public fun fromText(text: String): ServiceKind? = entries.firstOrNull { it.text == text }
    }
}

/** A declared resource, identified by its [kind] and [key]. */
public sealed interface Resource {
    public val kind: ResourceKind
    public val key: String
}

/**
 * A set of targets that answer the same calls.
 *
 * @property idempotent whether a call may be repeated
 * @property slots calls that one target runs concurrently
 * @property honoursFencing whether its engines reject an order with an outdated fencing number
 * @property model model that its engines serve; empty for other kinds
 * @property minimumTargets fewest engines that the capacity controller keeps serving
 */
public data class Service(
    public val name: ServiceName,
    public val type: ServiceKind,
    public val idempotent: Boolean = true,
    public val slots: Int = DEFAULT_SLOTS,
    public val honoursFencing: Boolean = false,
    public val model: String = "",
    public val minimumTargets: Int = 1
) : Resource {
    override val kind: ResourceKind get() = ResourceKind.SERVICE
    override val key: String get() = name.value

    public companion object {
        public const val DEFAULT_SLOTS: Int = 8
    }
}

/**
 * One stage of a pipeline.
 *
 * @property dataCentres data centres whose targets the stage may use; empty permits all
 * @property maximumTokens most tokens that the stage may generate; 0 if it generates none
 */
public data class Stage(
    public val name: StageName,
    public val service: ServiceName,
    public val dataCentres: PersistentList<DataCentre> = persistentListOf(),
    public val maximumTokens: Int = 0
)

/** A pipeline of three to six stages under one deadline. */
public data class Pipeline(
    public val name: PipelineName,
    public val deadline: Duration = DEFAULT_DEADLINE,
    public val stages: PersistentList<Stage>
) : Resource {
    override val kind: ResourceKind get() = ResourceKind.PIPELINE
    override val key: String get() = name.value

    public companion object {
        public val DEFAULT_DEADLINE: Duration = 4000.milliseconds
    }
}

/**
 * An organisation that sends requests.
 *
 * @property weight share of a contended service relative to other organisations
 * @property requestsPerSecond rate limit at each entry host; 0 for no limit
 */
public data class Organisation(
    public val name: OrganisationName,
    public val weight: Int = 1,
    public val priority: Priority = Priority.STANDARD,
    public val requestsPerSecond: Int = 0
) : Resource {
    override val kind: ResourceKind get() = ResourceKind.ORGANISATION
    override val key: String get() = name.value
}

/** Record of an accepted change, by which a writer that lost the reply recognises its own write. */
public data class ChangeRecord(public val change: String, public val revision: Revision)

/** All resources at one revision. */
public data class Configuration(
    public val revision: Revision = Revision.NONE,
    public val services: PersistentMap<ServiceName, Service> = persistentMapOf(),
    public val pipelines: PersistentMap<PipelineName, Pipeline> = persistentMapOf(),
    public val organisations: PersistentMap<OrganisationName, Organisation> = persistentMapOf(),
    public val recentChanges: PersistentList<ChangeRecord> = persistentListOf()
) {
    /** All services, then pipelines, then organisations, each sorted by name. */
    public val resources: List<Resource>
        get() =
            services.values.sortedBy { it.key } +
                pipelines.values.sortedBy { it.key } +
                organisations.values.sortedBy { it.key }

    public fun with(resource: Resource): Configuration = when (resource) {
        is Service -> copy(services = services.put(resource.name, resource))
        is Pipeline -> copy(pipelines = pipelines.put(resource.name, resource))
        is Organisation -> copy(organisations = organisations.put(resource.name, resource))
    }

    public fun without(kind: ResourceKind, key: String): Configuration = when (kind) {
        ResourceKind.SERVICE -> copy(services = services.remove(ServiceName(key)))

        ResourceKind.PIPELINE -> copy(pipelines = pipelines.remove(PipelineName(key)))

        ResourceKind.ORGANISATION ->
            copy(organisations = organisations.remove(OrganisationName(key)))
    }

    public fun find(kind: ResourceKind, key: String): Resource? = when (kind) {
        ResourceKind.SERVICE -> services[ServiceName(key)]
        ResourceKind.PIPELINE -> pipelines[PipelineName(key)]
        ResourceKind.ORGANISATION -> organisations[OrganisationName(key)]
    }
}
