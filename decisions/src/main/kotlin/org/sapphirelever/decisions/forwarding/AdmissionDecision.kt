/*
 * Decides whether a request may be forwarded, and on behalf of which organisation.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.sapphirelever.core.OrganisationName
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.forwarding.Route

/** Fields of a request that its admission depends on; [key] is the API key, if any. */
public data class RequestIdentity(
    public val request: String,
    public val host: String,
    public val path: String,
    public val key: String?
)

/** Outcome of the admission check of a request. */
public sealed interface Admission {
    /** The request may run at [service] on behalf of [organisation]. */
    public data class Granted(
        public val route: Route,
        public val service: ServiceName,
        public val organisation: OrganisationName?,
        public val rank: Int
    ) : Admission

    /** No configuration has been loaded yet. */
    public data object NotReady : Admission

    /** The store has not confirmed the configuration for [age]; its keys may have been revoked. */
    public data class Unconfirmed(public val age: Duration) : Admission

    public data object UnknownRoute : Admission

    public data object UnknownKey : Admission
}

/**
 * Bounds on the use of a configuration.
 *
 * @property age time since its confirmation up to which keys are accepted
 * @property delay time for which it applies, on any route, while the store sends changes that may
 *   replace it
 */
public data class ConfigurationBounds(public val age: Duration, public val delay: Duration)

/** Admits or rejects a request that arrives at [now]; an old configuration applies in [bounds]. */
public fun CachedConfiguration.admit(
    identity: RequestIdentity,
    now: ClockReading,
    bounds: ConfigurationBounds
): Admission {
    val table = table ?: return Admission.NotReady
    val age = age(now) ?: return Admission.NotReady
    if (isSuperseded(now, bounds.delay)) return Admission.Unconfirmed(age)
    val route = table.route(identity.host, identity.path)
    if (age > bounds.age && route?.anonymous != true) return Admission.Unconfirmed(age)
    if (route == null) return Admission.UnknownRoute
    val service = route.serviceFor(identity.request)
    if (route.anonymous || table.configuration.organisations.isEmpty()) {
        return Admission.Granted(route, service, null, route.rank)
    }
    val organisation = identity.key?.let(table::organisation) ?: return Admission.UnknownKey
    val rank = organisation.rank ?: route.rank
    return Admission.Granted(route, service, organisation.name, rank)
}

/**
 * Age of the cached configuration up to which keys are accepted, so that none is used later than
 * [maximumRevocationDelay] after its revocation. The margin covers the time between the check and
 * the start of the request at a target.
 */
public fun maximumConfigurationAge(maximumRevocationDelay: Duration): Duration =
    (maximumRevocationDelay - REVOCATION_MARGIN).coerceAtLeast(Duration.ZERO)

/**
 * Time for which a configuration applies while the store sends changes, so that each change is in
 * force within [maximumDelay]. The margin covers the pause before the call for changes.
 */
public fun maximumSupersededTime(maximumDelay: Duration): Duration =
    (maximumDelay - CALL_MARGIN).coerceAtLeast(Duration.ZERO)

private fun CachedConfiguration.isSuperseded(now: ClockReading, maximumTime: Duration): Boolean =
    supersededSince?.let { now.since(it) > maximumTime } == true

private val REVOCATION_MARGIN = 1_000.milliseconds
private val CALL_MARGIN = 1_000.milliseconds
