/*
 * Index of the bounded subset of targets that this host uses, by service. It is computed once for
 * each target list, so that the cost of a choice does not depend on the size of the fleet.
 */
package org.sapphirelever.decisions.routing

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.sapphirelever.core.HostId
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.TargetId
import org.sapphirelever.decisions.rendezvousRank

/** Greatest number of targets of one service that a host uses in one data centre. */
public const val SUBSET_SIZE: Int = 48

/** Targets of one service that this host uses, each list sorted by target id. */
public data class ServiceTargets(
    public val local: PersistentList<Target>,
    public val remote: PersistentList<Target>
)

/** Subsets computed from the target map [source]; stale once [RoutingState.targets] differs. */
public data class TargetIndex(
    public val source: PersistentMap<TargetId, Target> = persistentMapOf(),
    public val services: PersistentMap<ServiceName, ServiceTargets> = persistentMapOf()
)

/** Rebuilds the index if the targets changed, and drops statistics of removed, idle targets. */
public fun RoutingState.indexed(): RoutingState {
    if (index.source === targets) return this
    val services = targets.values.filter { !it.leaving }
        .groupBy { it.service }
        .mapValues { (_, list) -> serviceTargets(list) }
    val retained = statistics.filterKeys { it in targets || statistics(it).calls.isNotEmpty() }
    return copy(
        index = TargetIndex(targets, services.toPersistentMap()),
        statistics = retained.toPersistentMap()
    )
}

private fun RoutingState.serviceTargets(targets: List<Target>): ServiceTargets {
    val (local, remote) = targets.partition { it.dataCentre == dataCentre }
    val subsets = remote.groupBy { it.dataCentre }.values.flatMap { subset(host, it) }
    return ServiceTargets(subset(host, local).sortedById(), subsets.sortedById())
}

private fun List<Target>.sortedById(): PersistentList<Target> =
    sortedBy { it.id.value }.toPersistentList()

/** The [SUBSET_SIZE] targets that rank highest for [host] by rendezvous hashing. */
public fun subset(host: HostId, targets: List<Target>): List<Target> {
    if (targets.size <= SUBSET_SIZE) return targets
    return targets.sortedByDescending { rendezvousRank(host.value, it.id.value) }
        .take(SUBSET_SIZE)
}
