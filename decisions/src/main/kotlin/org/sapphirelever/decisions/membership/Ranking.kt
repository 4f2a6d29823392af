/*
 * Rendezvous ranks of members, and the members that contend for the reader lease.
 */
package org.sapphirelever.decisions.membership

import org.sapphirelever.core.DataCentre
import org.sapphirelever.decisions.rendezvousRank

/** Rendezvous rank of a member for [purpose]; the lowest rank is chosen. */
public fun rendezvousRank(purpose: String, member: MemberId): Long =
    rendezvousRank(purpose, "${member.incarnation}/${member.generation}")

/** Members that contend for the reader lease of [dataCentre]: two, so that one may fail. */
public fun MembershipState.readerCandidates(dataCentre: DataCentre): List<MemberId> =
    live(dataCentre)
        .filter { it.status == MemberStatus.ALIVE }
        .sortedBy { rendezvousRank("reader/$dataCentre", it.id) }
        .take(READER_CANDIDATES)
        .map { it.id }

private const val READER_CANDIDATES = 2

/** Whether this host may ask for the leases of its data centre. */
public fun MembershipState.ownIsReaderCandidate(): Boolean =
    own.isLive && own.id in readerCandidates(own.dataCentre)
