/*
 * Links of a host: inside its data centre to the members at distance 1, 2, 4, ... on a hash ring,
 * and to one host in each of up to two other data centres. The number of links of a host grows
 * with the logarithm of the data centre's size, and the ring of data centres keeps the graph
 * connected.
 */
package org.sapphirelever.decisions.membership

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.toPersistentSet
import org.sapphirelever.core.DataCentre

/** Members that this host opens connections to. */
public fun MembershipState.desiredLinks(): PersistentSet<MemberId> =
    (ringLinks() + remoteLinks()).toPersistentSet()

private fun MembershipState.ringLinks(): List<MemberId> {
    val ring = live(own.dataCentre).map { it.id to rendezvousRank("ring", it.id) }
        .sortedWith(compareBy({ it.second }, { it.first }))
        .map { it.first }
    val position = ring.indexOf(own.id)
    if (position < 0) return emptyList()
    return generateSequence(1) { it * 2 }
        .takeWhile { it < ring.size }
        .map { ring[(position + it) % ring.size] }
        .toList()
}

private fun MembershipState.remoteLinks(): List<MemberId> =
    remoteDataCentres().mapNotNull { dataCentre ->
        val candidates = live(dataCentre).map { it.id }.sortedBy { contactRank(it) }
        val index = remoteContactIndexes[dataCentre] ?: 0
        if (candidates.isEmpty()) null else candidates[index % candidates.size]
    }

/** The next data centre in order of names, and another one by a rank that differs by host. */
private fun MembershipState.remoteDataCentres(): List<DataCentre> {
    val all = members.values.filter { it.member.isLive }.map { it.member.dataCentre.value }
        .plus(own.dataCentre.value).distinct().sorted()
    val others = all.filter { it != own.dataCentre.value }
    if (others.isEmpty()) return emptyList()
    val next = others.firstOrNull { it > own.dataCentre.value } ?: others.first()
    val further = others.filter { it != next }.minByOrNull { rendezvousRank("far/$it", own.id) }
    return listOfNotNull(next, further).map(::DataCentre)
}
