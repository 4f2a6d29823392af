/*
 * Choice of a target for one attempt. Policies are interchangeable, so that experiments can compare
 * them on the same requests.
 */
package org.sapphirelever.decisions.routing

import kotlin.random.Random
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.HostId
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.resource.Service

/** A target as described by the host list. */
public data class Target(
    public val id: TargetId,
    public val service: ServiceName,
    public val dataCentre: DataCentre,
    public val endpoint: Endpoint,
    public val leaving: Boolean = false
)

/**
 * Requirements of one call on its target.
 *
 * @property permitted data centres that may run the call, empty for all
 * @property excluded targets that earlier attempts at the stage have used
 * @property long whether the call is predicted to be long
 * @property prefix identity of the input prefix shared with other calls, empty for none
 * @property slots calls that one target of the service runs at once
 */
public data class RoutingRequest(
    public val service: ServiceName,
    public val permitted: PersistentSet<DataCentre> = persistentSetOf(),
    public val excluded: PersistentSet<TargetId> = persistentSetOf(),
    public val long: Boolean = false,
    public val prefix: String = "",
    public val slots: Int = Service.DEFAULT_SLOTS
)

/**
 * Known targets and the measurements that this host keeps of them.
 *
 * @property host identity of this host, which determines its subset of targets
 * @property dataCentre data centre of this host, whose targets are preferred
 * @property granted number of calls granted so far for each service
 */
public data class RoutingState(
    public val targets: PersistentMap<TargetId, Target> = persistentMapOf(),
    public val statistics: PersistentMap<TargetId, TargetStatistics> = persistentMapOf(),
    public val host: HostId = HostId(""),
    public val dataCentre: DataCentre = DataCentre(""),
    public val granted: PersistentMap<ServiceName, Long> = persistentMapOf(),
    public val index: TargetIndex = TargetIndex()
) {
    public fun statistics(id: TargetId): TargetStatistics = statistics[id] ?: TargetStatistics.NONE

    /** Calls of this host that run on [id]. */
    public fun outstanding(id: TargetId): Int = statistics(id).calls.size
}

/** Strategy that chooses the target of a call. */
public interface TargetPolicy {
    public val name: String

    /** The target for [request], or null if there is no candidate. */
    public fun choose(
        state: RoutingState,
        request: RoutingRequest,
        now: MonotonicTime,
        random: Random
    ): TargetId?
}

/**
 * Targets that may run [request]. Other data centres are used only while this one has fewer than
 * [MINIMUM_LOCAL_TARGETS]: with one or two local targets, a slow one would leave no alternative.
 */
public fun RoutingState.candidates(request: RoutingRequest): List<Target> {
    val groups = indexed().index.services[request.service] ?: return emptyList()
    val local = groups.local.filter { it.isEligibleFor(request) }
    if (local.size >= MINIMUM_LOCAL_TARGETS) return local
    return local + groups.remote.filter { it.isEligibleFor(request) }
}

private fun Target.isEligibleFor(request: RoutingRequest): Boolean = !leaving &&
    id !in request.excluded &&
    (request.permitted.isEmpty() || dataCentre in request.permitted)

/** Number of local candidates below which targets in other data centres are candidates too. */
public const val MINIMUM_LOCAL_TARGETS: Int = 8
