/*
 * Whether a request may be forwarded, and for whom.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.sapphirelever.core.OrganisationName
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.forwarding.Route

/** What the admission of a request depends on. */
public data class RequestIdentity(
    public val request: String,
    public val host: String,
    public val path: String,
    public val key: String?
)

/** Result of the admission. */
public sealed interface Admission {
    /** The request may run at [service] on behalf of [organisation]. */
    public data class Granted(
        public val route: Route,
        public val service: ServiceName,
        public val organisation: OrganisationName?,
        public val rank: Int
    ) : Admission

    /** No configuration is known yet. */
    public data object NotReady : Admission

    /** The configuration is too old to accept keys; the organisation may have lost its key. */
    public data class Unconfirmed(public val age: Duration) : Admission

    public data object UnknownRoute : Admission

    public data object UnknownKey : Admission
}

/**
 * Decides about [identity] at [now]. [greatestAge] is the age of the belief up to which keys are
 * accepted.
 */
public fun ConfigurationBelief.admit(
    identity: RequestIdentity,
    now: Moment,
    greatestAge: Duration
): Admission {
    val table = table ?: return Admission.NotReady
    val age = age(now) ?: return Admission.NotReady
    val route = table.route(identity.host, identity.path)
    if (age > greatestAge && route?.anonymous != true) return Admission.Unconfirmed(age)
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
 * Age of the belief up to which keys are accepted. The margin covers the time between the check
 * and the start of the request at a target.
 */
public fun greatestBeliefAge(revocationLimit: Duration): Duration =
    (revocationLimit - REVOCATION_MARGIN).coerceAtLeast(Duration.ZERO)

private val REVOCATION_MARGIN = 1_000.milliseconds
