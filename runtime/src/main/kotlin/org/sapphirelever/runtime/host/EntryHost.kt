/*
 * The entry host: one supervisor tree over the configuration feed, the target list and the HTTP
 * front end.
 */
package org.sapphirelever.runtime.host

import java.util.UUID
import kotlin.random.Random
import org.sapphirelever.core.Incarnation
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.SystemMonotonicClock
import org.sapphirelever.decisions.configuration.ConfigurationState
import org.sapphirelever.decisions.routing.LeastOutstandingPolicy
import org.sapphirelever.decisions.routing.RoutingState
import org.sapphirelever.decisions.routing.TargetPolicy
import org.sapphirelever.decisions.supervision.RestartPolicy
import org.sapphirelever.decisions.supervision.Strategy
import org.sapphirelever.platform.Platform
import org.sapphirelever.runtime.StateCell
import org.sapphirelever.runtime.capacity.CapacityController
import org.sapphirelever.runtime.capacity.CapacitySettings
import org.sapphirelever.runtime.capacity.HttpEngineOrders
import org.sapphirelever.runtime.capacity.engineGroups
import org.sapphirelever.runtime.dispatch.ImmediateDispatcher
import org.sapphirelever.runtime.feed.ConfigurationFeed
import org.sapphirelever.runtime.feed.ConfigurationWriter
import org.sapphirelever.runtime.feed.TargetListFeed
import org.sapphirelever.runtime.http.HttpFrontEnd
import org.sapphirelever.runtime.http.Routes
import org.sapphirelever.runtime.http.healthRoutes
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.runtime.request.RequestExecutor
import org.sapphirelever.runtime.request.RequestRoutes
import org.sapphirelever.runtime.resource.ResourceRoutes
import org.sapphirelever.runtime.supervision.Supervisor
import org.sapphirelever.runtime.supervision.supervisor
import org.sapphirelever.runtime.target.TargetClient

/** One entry host. [run] serves until it is cancelled. */
public class EntryHost(
    private val settings: HostSettings,
    private val platform: Platform,
    client: TargetClient,
    policy: TargetPolicy = LeastOutstandingPolicy,
    private val clock: MonotonicClock = SystemMonotonicClock,
    random: Random = Random(settings.randomSeed)
) {
    public val incarnation: Incarnation = Incarnation(UUID.randomUUID().toString())

    private val configuration = StateCell(ConfigurationState())
    private val routing = StateCell(RoutingState())
    private val dispatcher = ImmediateDispatcher(routing, policy, clock, random)
    private val executor = RequestExecutor(dispatcher, client, clock)
    private val requests =
        RequestRoutes(settings.host, settings.bodyLimit, configuration, executor, clock)
    private val capacity =
        CapacitySettings(
            dataCentre = settings.dataCentre,
            holder = incarnation.value,
            groups = { engineGroups(settings.dataCentre, configuration.value, routing.value) }
        )
    private val resources =
        ResourceRoutes(settings.bodyLimit, configuration, ConfigurationWriter(platform))

    public suspend fun run() {
        logEvent("host-started") {
            "host" to settings.host
            "incarnation" to incarnation
            "dataCentre" to settings.dataCentre
            "http" to settings.http
        }
        tree().run()
    }

    private fun tree(): Supervisor =
        supervisor("entry-host", RestartPolicy(Strategy.REST_FOR_ONE)) {
            supervisor("configuration", RestartPolicy(Strategy.ONE_FOR_ONE)) {
                child("document") { ConfigurationFeed(platform, configuration).run() }
                child("target-list") { TargetListFeed(platform, routing).run() }
            }
            supervisor("capacity", RestartPolicy(Strategy.ONE_FOR_ONE)) {
                child("controller") {
                    HttpEngineOrders().use { orders ->
                        CapacityController(capacity, platform, orders, clock).run()
                    }
                }
            }
            supervisor("front-end", RestartPolicy(Strategy.ONE_FOR_ONE)) {
                child("http") { HttpFrontEnd(settings.http, routes()).run() }
            }
        }

    private fun routes(): List<Routes> = listOf(
        healthRoutes { configuration.value.ready },
        requests.routes,
        resources.routes
    )
}
