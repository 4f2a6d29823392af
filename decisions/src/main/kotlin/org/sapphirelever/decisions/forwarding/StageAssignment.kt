/*
 * Which host makes the calls for the stage work of a service. All hosts compute the same order, so
 * that those which cannot reach the first one agree on the next.
 */
package org.sapphirelever.decisions.forwarding

import org.sapphirelever.core.HostId
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.forwarding.HostAnnouncement
import org.sapphirelever.decisions.rendezvousRank

/**
 * The hosts that [service] may be assigned to, of [hosts]; the first one makes its calls. Hosts
 * with too little processor or network for all calls of a service come last.
 */
public fun assignmentOrder(
    service: ServiceName,
    hosts: Map<HostId, HostAnnouncement>
): List<HostId> = hosts.entries
    .sortedWith(
        compareByDescending<Map.Entry<HostId, HostAnnouncement>> { it.value.capacityPercent }
            .thenByDescending { rendezvousRank(service.value, it.key.value) }
    ).map { it.key }

/**
 * Hosts that are expected to make calls to [service] at the same time, as seen by [self]. A host
 * that is not the first in order has work only while a part of the hosts cannot reach the first.
 */
public fun expectedSharers(
    service: ServiceName,
    hosts: Map<HostId, HostAnnouncement>,
    self: HostId
): Int = if (assignmentOrder(service, hosts).firstOrNull() == self) 1 else SHARERS_WHEN_SPLIT

/** The hosts are taken to be split in two parts, each with a host that makes calls. */
private const val SHARERS_WHEN_SPLIT = 2
