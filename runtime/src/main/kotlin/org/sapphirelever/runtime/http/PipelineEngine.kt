/*
 * Engine of Ktor's routing without a server of its own: the front end reads the requests, within
 * its limits, and passes them to the pipeline of the engine.
 */
package org.sapphirelever.runtime.http

import io.ktor.events.Events
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationEnvironment
import io.ktor.server.engine.ApplicationEngine
import io.ktor.server.engine.ApplicationEngineFactory
import io.ktor.server.engine.BaseApplicationEngine

internal class PipelineEngine(
    environment: ApplicationEnvironment,
    monitor: Events,
    developmentMode: Boolean,
    val application: () -> Application
) : BaseApplicationEngine(environment, monitor, developmentMode) {
    override fun start(wait: Boolean): ApplicationEngine {
        resolvedConnectorsDeferred.complete(emptyList())
        return this
    }

    override fun stop(gracePeriodMillis: Long, timeoutMillis: Long) {
        // The front end owns the connections.
    }

    companion object Factory :
        ApplicationEngineFactory<PipelineEngine, ApplicationEngine.Configuration> {
        override fun configuration(
            configure: ApplicationEngine.Configuration.() -> Unit
        ): ApplicationEngine.Configuration = ApplicationEngine.Configuration().apply(configure)

        override fun create(
            environment: ApplicationEnvironment,
            monitor: Events,
            developmentMode: Boolean,
            configuration: ApplicationEngine.Configuration,
            applicationProvider: () -> Application
        ): PipelineEngine =
            PipelineEngine(environment, monitor, developmentMode, applicationProvider)
    }
}
