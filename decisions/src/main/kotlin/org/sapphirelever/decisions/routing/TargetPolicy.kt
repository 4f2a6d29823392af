/*
 * Choice of a target for one attempt. Policies are interchangeable, so that experiments compare
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

/** A target as the host list describes it. */
public data class Target(
    public val id: TargetId,
    public val service: ServiceName,
    public val dataCentre: DataCentre,
    public val endpoint: Endpoint,
    public val leaving: Boolean = false
)

/**
 * What a request asks of a service.
 *
 * @property prefix identity of the shared start of the input, empty for none
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
 * Known targets and what this host has measured of them.
 *
 * @property host name of this host, which selects its subset of targets
 * @property dataCentre data centre of this host, whose targets are preferred
 * @property granted calls granted so far for each service
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

/** Chooses a target; null if none may take the request. */
public interface TargetPolicy {
    public val name: String

    public fun choose(
        state: RoutingState,
        request: RoutingRequest,
        now: MonotonicTime,
        random: Random
    ): TargetId?
}

/**
 * Targets that may take [request]. Other data centres are used only while the own one has fewer
 * than [MINIMUM_LOCAL_TARGETS]: with one or two local targets, a straggler would leave no choice.
 */
public fun RoutingState.candidates(request: RoutingRequest): List<Target> {
    val groups = indexed().index.services[request.service] ?: return emptyList()
    val local = groups.local.filter { it.mayTake(request) }
    if (local.size >= MINIMUM_LOCAL_TARGETS) return local
    return local + groups.remote.filter { it.mayTake(request) }
}

private fun Target.mayTake(request: RoutingRequest): Boolean = !leaving &&
    id !in request.excluded &&
    (request.permitted.isEmpty() || dataCentre in request.permitted)

/** Local targets below which targets of other data centres are candidates too. */
public const val MINIMUM_LOCAL_TARGETS: Int = 8
