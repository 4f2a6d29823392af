/*
 * Hashes that every host computes alike, for the ring of links and for rendezvous ranks.
 */
package org.sapphirelever.decisions.membership

import org.sapphirelever.core.DataCentre

private const val FNV_OFFSET = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L
private const val MIX_SHIFT = 33
private const val MIX_FIRST = -0xae502812aa7333L
private const val MIX_SECOND = -0x3b314601e57a13adL

/** 64-bit FNV-1a of [text] with a final mix, since the plain sum is weak in its high bits. */
public fun stableHash(text: String): Long {
    val sum = text.fold(FNV_OFFSET) { hash, char -> (hash xor char.code.toLong()) * FNV_PRIME }
    var mixed = (sum xor (sum ushr MIX_SHIFT)) * MIX_FIRST
    mixed = (mixed xor (mixed ushr MIX_SHIFT)) * MIX_SECOND
    return mixed xor (mixed ushr MIX_SHIFT)
}

/** Rendezvous rank of a member for [purpose]; the lowest rank is chosen. */
public fun rendezvousRank(purpose: String, member: MemberId): Long =
    stableHash("$purpose/${member.incarnation}/${member.generation}")

/** Members that contend for the reader lease of [dataCentre]: two, so that one may fail. */
public fun MembershipState.readerCandidates(dataCentre: DataCentre): List<MemberId> =
    live(dataCentre)
        .filter { it.status == MemberStatus.ALIVE }
        .sortedBy { rendezvousRank("reader/$dataCentre", it.id) }
        .take(READER_CANDIDATES)
        .map { it.id }

private const val READER_CANDIDATES = 2
