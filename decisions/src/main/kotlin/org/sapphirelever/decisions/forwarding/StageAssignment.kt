/*
 * Assigns the stage calls of each service to one host. All hosts compute the same order, so that
 * those that cannot reach the first host agree on the next.
 */
package org.sapphirelever.decisions.forwarding

import org.sapphirelever.core.HostId
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.forwarding.HostAnnouncement
import org.sapphirelever.decisions.rendezvousRank

/**
 * The [hosts] in the order in which [service] is assigned to them; the first one makes its calls.
 * Hosts with too little CPU or network capacity for all calls of a service come last.
 */
public fun assignmentOrder(
    service: ServiceName,
    hosts: Map<HostId, HostAnnouncement>
): List<HostId> = hosts.inOrder(service.value)

/** The hosts by capacity and then by their rendezvous rank for [purpose]. */
internal fun Map<HostId, HostAnnouncement>.inOrder(purpose: String): List<HostId> = entries
    .sortedWith(
        compareByDescending<Map.Entry<HostId, HostAnnouncement>> { it.value.capacityPercent }
            .thenByDescending { rendezvousRank(purpose, it.key.value) }
    ).map { it.key }

/**
 * Number of hosts expected to call the targets of [service] at the same time, as seen by [self]. A
 * host other than the first one has work only while some hosts cannot reach the first.
 */
public fun expectedCallingHosts(
    service: ServiceName,
    hosts: Map<HostId, HostAnnouncement>,
    self: HostId
): Int = if (assignmentOrder(service, hosts).firstOrNull() == self) 1 else CALLERS_IN_PARTITION

/** A partition is assumed to split the hosts into two groups, each with one calling host. */
private const val CALLERS_IN_PARTITION = 2
