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
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.TargetId

/** A target as the host list describes it. */
public data class Target(
    public val id: TargetId,
    public val service: ServiceName,
    public val dataCentre: DataCentre,
    public val endpoint: Endpoint,
    public val leaving: Boolean = false
)

/** What a request asks of a service. */
public data class RoutingRequest(
    public val service: ServiceName,
    public val permitted: PersistentSet<DataCentre> = persistentSetOf(),
    public val excluded: PersistentSet<TargetId> = persistentSetOf(),
    public val long: Boolean = false
)

/** Known targets and this host's own outstanding work on each. */
public data class RoutingState(
    public val targets: PersistentMap<TargetId, Target> = persistentMapOf(),
    public val outstanding: PersistentMap<TargetId, Int> = persistentMapOf()
)

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

/** Targets that may take [request], in order of their names. */
public fun RoutingState.candidates(request: RoutingRequest): List<Target> = targets.values
    .filter { it.service == request.service && !it.leaving }
    .filter { request.permitted.isEmpty() || it.dataCentre in request.permitted }
    .filter { it.id !in request.excluded }
    .sortedBy { it.id.value }

/** Chooses the candidate with the least outstanding work of this host, at random among equals. */
public object LeastOutstandingPolicy : TargetPolicy {
    override val name: String = "least-outstanding"

    override fun choose(
        state: RoutingState,
        request: RoutingRequest,
        now: MonotonicTime,
        random: Random
    ): TargetId? {
        val candidates = state.candidates(request)
        val least = candidates.minOfOrNull { state.outstanding[it.id] ?: 0 } ?: return null
        return candidates.filter { (state.outstanding[it.id] ?: 0) == least }.random(random).id
    }
}
