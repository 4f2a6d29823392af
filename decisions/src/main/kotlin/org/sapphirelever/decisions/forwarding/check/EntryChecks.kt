/*
 * Rules of the check for limits of callers, services, organisations, and routes as a list.
 */
package org.sapphirelever.decisions.forwarding.check

import org.sapphirelever.core.CheckCode
import org.sapphirelever.core.forwarding.BatchLimits
import org.sapphirelever.core.forwarding.CallerLimits
import org.sapphirelever.core.forwarding.ForwardingConfiguration
import org.sapphirelever.core.forwarding.KeyedOrganisation
import org.sapphirelever.core.forwarding.Route

internal fun CheckScope.callerLimits(limits: CallerLimits, messageBytes: Long) {
    requirePositive("limits.headerBytes", limits.headerBytes.toLong())
    requirePositive("limits.bodyBytes", limits.bodyBytes.toLong())
    requirePositive("limits.headerTimeout", limits.headerTimeout)
    requirePositive("limits.idleTimeout", limits.idleTimeout)
    if (limits.bodyBytes > messageBytes) {
        report(
            CheckCode.BODY_BEYOND_MEMORY,
            "limits.bodyBytes",
            "a host keeps $messageBytes bytes of messages, a body may have ${limits.bodyBytes}",
            "lower the limit, or give hosts a larger heap"
        )
    }
    if (limits.headerTimeout > limits.idleTimeout) {
        report(
            CheckCode.HEADER_TIMEOUT_BEYOND_IDLE,
            "limits.headerTimeout",
            "${limits.headerTimeout} exceeds the idle timeout of ${limits.idleTimeout}",
            "set it to the idle timeout or less"
        )
    }
}

internal fun CheckScope.services(configuration: ForwardingConfiguration) {
    val used =
        configuration.routes
            .flatMap { route ->
                route.services.map { it.service } + route.stages.map { it.service }
            }
            .toSet()
    names("services", configuration.services.map { it.name.value })
    configuration.services.forEachIndexed { index, service ->
        val field = "services[$index]"
        requirePositive("$field.maximumConnections", service.maximumConnections.toLong())
        service.engine?.let {
            requirePositive("$field.engine.slots", it.slots.toLong())
            requirePositive("$field.engine.cacheTokens", it.cacheTokens)
        }
        service.batching?.let { batching("$field.batching", it) }
        if (service.name in used) return@forEachIndexed
        report(
            CheckCode.SERVICE_UNUSED,
            field,
            "no route uses the service '${service.name}'",
            "remove it, or add a route"
        )
    }
}

private fun CheckScope.batching(field: String, limits: BatchLimits) {
    requirePositive("$field.slots", limits.slots.toLong())
    requirePositive("$field.batch", limits.batch.toLong())
    requirePositive("$field.resultCapacityBytes", limits.resultCapacityBytes)
    requirePositive("$field.resultLifetime", limits.resultLifetime)
    requirePositive("$field.baseCallTime", limits.baseCallTime + limits.pieceTime)
}

internal fun CheckScope.organisations(organisations: List<KeyedOrganisation>) {
    names("organisations", organisations.map { it.name.value })
    val holders = mutableMapOf<String, String>()
    organisations.forEachIndexed { index, organisation ->
        val field = "organisations[$index]"
        sendableName("$field.name", organisation.name.value)
        if (organisation.keys.isEmpty()) {
            report(
                CheckCode.ORGANISATION_WITHOUT_KEYS,
                field,
                "the organisation '${organisation.name}' has no key",
                "add a key, or remove the organisation"
            )
        }
        organisation.keys.forEachIndexed { keyIndex, key ->
            val holder = holders.putIfAbsent(key, organisation.name.value)
            if (holder == null || holder == organisation.name.value) return@forEachIndexed
            report(
                CheckCode.KEY_SHARED,
                "$field.keys[$keyIndex]",
                "'$holder' holds this key, too; requests count for one of the two",
                "give each organisation its own key"
            )
        }
    }
}

/** Reports a [name] that cannot be a value in the head of a request to a target. */
private fun CheckScope.sendableName(field: String, name: String) {
    if (name.isNotBlank() && name == name.trim() && name.none { it.isISOControl() }) return
    report(
        CheckCode.VALUE_OUT_OF_RANGE,
        field,
        "the name is blank, has spaces around it or holds a control character",
        "choose a name that targets can be told"
    )
}

/** Reports routes whose host and prefix occurred before: the first one gets all requests. */
internal fun CheckScope.shadowedRoutes(routes: List<Route>) {
    val first = mutableMapOf<Pair<String, String>, Route>()
    routes.forEachIndexed { index, route ->
        val earlier = first.putIfAbsent(route.host.lowercase() to route.prefix, route)
            ?: return@forEachIndexed
        report(
            CheckCode.ROUTE_SHADOWED,
            "routes[$index].prefix",
            "the route '${earlier.name}' gets all requests of ${route.host}${route.prefix}",
            "remove one of the two routes, or change its prefix"
        )
    }
}
