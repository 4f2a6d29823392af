/*
 * Lookup of routes and organisations in one configuration.
 */
package org.sapphirelever.decisions.forwarding

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.forwarding.ForwardedService
import org.sapphirelever.core.forwarding.ForwardingConfiguration
import org.sapphirelever.core.forwarding.KeyedOrganisation
import org.sapphirelever.core.forwarding.Route
import org.sapphirelever.decisions.stableHash

/** Indexes of [configuration]. */
public class RouteTable(public val configuration: ForwardingConfiguration) {
    private val byHost: PersistentMap<String, PersistentList<Route>> =
        configuration.routes
            .groupBy { it.host.lowercase() }
            .mapValues { (_, routes) ->
                routes.sortedByDescending { it.prefix.length }.toPersistentList()
            }.toPersistentMap()

    private val byKey: PersistentMap<String, KeyedOrganisation> =
        configuration.organisations
            .flatMap { organisation -> organisation.keys.map { it to organisation } }
            .toMap()
            .toPersistentMap()

    private val services: PersistentMap<ServiceName, ForwardedService> =
        configuration.services.associateBy { it.name }.toPersistentMap()

    /** The route of [host] with the longest prefix of [path], or null. */
    public fun route(host: String, path: String): Route? =
        byHost[host.lowercase()]?.firstOrNull { path.startsWith(it.prefix) }

    /** The organisation that holds [key], or null. */
    public fun organisation(key: String): KeyedOrganisation? = byKey[key]

    public fun service(name: ServiceName): ForwardedService? = services[name]
}

/** The service for the request with this identity, chosen by hash in proportion to the weights. */
public fun Route.serviceFor(request: String): ServiceName {
    val total = services.sumOf { it.weight.coerceAtLeast(0) }
    if (total <= 0) return services.first().service
    var position = stableHash(request).mod(total.toLong())
    for (weighted in services) {
        position -= weighted.weight.coerceAtLeast(0)
        if (position < 0) return weighted.service
    }
    return services.last().service
}
