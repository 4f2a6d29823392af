/*
 * Type-safe builders for configurations, used by tests and tools.
 */
package org.sapphirelever.core.resource

import kotlin.time.Duration
import kotlinx.collections.immutable.toPersistentList
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.OrganisationName
import org.sapphirelever.core.PipelineName
import org.sapphirelever.core.Priority
import org.sapphirelever.core.Revision
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.StageName

@DslMarker
public annotation class ResourceDsl

/** Builds the configuration that [declare] describes, at [revision]. */
public fun configuration(
    revision: Long = 1,
    declare: ConfigurationBuilder.() -> Unit
): Configuration = ConfigurationBuilder().apply(declare).build(Revision(revision))

/** Receiver of the lambda of [configuration]. */
@ResourceDsl
public class ConfigurationBuilder internal constructor() {
    private var configuration: Configuration = Configuration()

    public fun service(
        name: String,
        type: ServiceKind,
        idempotent: Boolean = true,
        slots: Int = Service.DEFAULT_SLOTS,
        honoursFencing: Boolean = false
    ) {
        val service =
            Service(
                name = ServiceName(name),
                type = type,
                idempotent = idempotent,
                slots = slots,
                honoursFencing = honoursFencing
            )
        configuration = configuration.with(service)
    }

    public fun organisation(
        name: String,
        weight: Int = 1,
        priority: Priority = Priority.STANDARD,
        requestsPerSecond: Int = 0
    ) {
        val organisation =
            Organisation(OrganisationName(name), weight, priority, requestsPerSecond)
        configuration = configuration.with(organisation)
    }

    public fun pipeline(
        name: String,
        deadline: Duration = Pipeline.DEFAULT_DEADLINE,
        declare: PipelineBuilder.() -> Unit
    ) {
        val stages = PipelineBuilder().apply(declare).stages
        configuration =
            configuration.with(
                Pipeline(PipelineName(name), deadline, stages.toPersistentList())
            )
    }

    internal fun build(revision: Revision): Configuration = configuration.copy(revision = revision)
}

/** Collects the stages of one pipeline, in order. */
@ResourceDsl
public class PipelineBuilder internal constructor() {
    internal var stages: List<Stage> = emptyList()

    public fun stage(
        name: String,
        service: String,
        maximumTokens: Int = 0,
        dataCentres: List<String> = emptyList()
    ) {
        val permitted = dataCentres.map(::DataCentre).toPersistentList()
        stages = stages + Stage(StageName(name), ServiceName(service), permitted, maximumTokens)
    }
}
