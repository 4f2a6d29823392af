/*
 * Tasks that read the configuration document and the host list from the platform.
 */
package org.sapphirelever.runtime.feed

import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.coroutines.delay
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.TargetId
import org.sapphirelever.decisions.configuration.ConfigurationAction
import org.sapphirelever.decisions.configuration.ConfigurationEvent
import org.sapphirelever.decisions.configuration.ConfigurationState
import org.sapphirelever.decisions.configuration.on
import org.sapphirelever.decisions.routing.RoutingState
import org.sapphirelever.decisions.routing.Target
import org.sapphirelever.platform.ListedHost
import org.sapphirelever.platform.Platform
import org.sapphirelever.platform.StoredValue
import org.sapphirelever.runtime.StateCell
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.wire.ConfigurationMessage
import org.sapphirelever.wire.MessageJson
import org.sapphirelever.wire.toConfiguration

/** Key of the configuration document on the platform. */
public const val CONFIGURATION_KEY: String = "sapphirelever/configuration"

/** Follows the configuration document. */
public class ConfigurationFeed(
    private val platform: Platform,
    private val state: StateCell<ConfigurationState>
) {
    public suspend fun run() {
        var seen = 0L
        while (true) {
            val value = platform.watch(CONFIGURATION_KEY, seen, WATCH_WAIT)
            if (value == null) {
                delay(RETRY_DELAY)
                continue
            }
            seen = value.revision
            receive(value)
        }
    }

    private fun receive(value: StoredValue) {
        val message = MessageJson.decodeFromString<ConfigurationMessage>(value.value)
        val event = ConfigurationEvent.Received(message.toConfiguration())
        state.decide { it.on(event) }.forEach { action ->
            if (action is ConfigurationAction.Adopted) {
                logEvent("configuration-adopted") {
                    "revision" to action.configuration.revision
                }
            }
        }
    }

    private companion object {
        val WATCH_WAIT = 20.seconds
        val RETRY_DELAY = 1.seconds
    }
}

/** Reads the host list and makes its targets known to routing. */
public class TargetListFeed(
    private val platform: Platform,
    private val routing: StateCell<RoutingState>
) {
    public suspend fun run() {
        while (true) {
            platform.hosts()?.let { hosts -> adopt(hosts) }
            delay(READ_INTERVAL)
        }
    }

    private fun adopt(hosts: List<ListedHost>) {
        val targets = hosts.map { it.toTarget() }.associateBy { it.id }.toPersistentMap()
        routing.update { it.copy(targets = targets) }
    }

    private fun ListedHost.toTarget(): Target = Target(
        id = TargetId(id),
        service = ServiceName(service),
        dataCentre = DataCentre(dataCentre),
        endpoint = Endpoint(address, port),
        leaving = leaving
    )

    private companion object {
        val READ_INTERVAL = 1.seconds
    }
}
