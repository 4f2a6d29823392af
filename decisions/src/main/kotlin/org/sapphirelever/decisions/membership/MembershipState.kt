/*
 * Membership as one host sees it: the table of members, the silence of its links and the updates
 * that it still has to pass on.
 */
package org.sapphirelever.decisions.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.decisions.stableHash

/**
 * Times and bounds of membership.
 *
 * @property suspectAfter silence of a link after which its member is suspected: 3 heartbeats
 * @property deadAfter time from suspicion to death, in which the member may refute
 * @property tombstone time for which a dead or left member is remembered
 * @property updates greatest number of updates on one heartbeat
 * @property repairs updates of those that a heartbeat may spend on repairing a differing table
 * @property burst further updates that a host may send in all while many members are news, as
 *   when a whole fleet starts: 24 copies of a table of 256 members
 * @property burstFrame greatest number of updates on one heartbeat within the burst
 * @property burstRepairs updates within the burst that repair a differing table
 * @property refill updates by which the burst grows again each second
 * @property contacts live members that are kept of each other data centre
 */
public data class MembershipTerms(
    public val heartbeat: Duration = 2.seconds,
    public val suspectAfter: Duration = 6.seconds,
    public val deadAfter: Duration = 10.seconds,
    public val tombstone: Duration = 10.minutes,
    public val updates: Int = 8,
    public val repairs: Int = 2,
    public val burst: Int = 6_144,
    public val burstFrame: Int = 256,
    public val burstRepairs: Int = 32,
    public val refill: Int = 4,
    public val contacts: Int = 8
)

/** The links depend only on these, so they are computed again only when one of them changes. */
public data class LinkInputs(
    public val tableHash: Long,
    public val contactsHash: Long,
    public val own: MemberId,
    public val turns: PersistentMap<DataCentre, Int>
)

/** A record, the local time of its last change of status, and how often to pass it on. */
public data class MemberEntry(
    public val member: Member,
    public val since: MonotonicTime,
    public val spreadsLeft: Int
)

/**
 * State of membership of one host.
 *
 * @property own the record of this host
 * @property members all records, that of this host among them
 * @property heard time of the last message on each link, or of its first attempt
 * @property unreachable data centres whose linked hosts are silent
 * @property remoteTurns number of the host that is linked in each other data centre
 * @property repairCursor last member sent for repair
 * @property tableHash hash of the records of the own data centre that are not final; equal tables
 *   have equal hashes. Final records are left out because each host forgets them at its own time
 * @property contactsHash the same for the contacts in other data centres, which differ by host
 * @property linkedFor what the present links were computed from
 * @property burstLeft further updates that heartbeats may carry
 * @property refilledAt time up to which [burstLeft] has grown
 */
public data class MembershipState(
    public val own: Member,
    public val terms: MembershipTerms = MembershipTerms(),
    public val members: PersistentMap<MemberId, MemberEntry> = persistentMapOf(),
    public val heard: PersistentMap<MemberId, MonotonicTime> = persistentMapOf(),
    public val unreachable: PersistentSet<DataCentre> = persistentSetOf(),
    public val remoteTurns: PersistentMap<DataCentre, Int> = persistentMapOf(),
    public val repairCursor: MemberId? = null,
    public val tableHash: Long = 0,
    public val contactsHash: Long = 0,
    public val linkedFor: LinkInputs? = null,
    public val burstLeft: Int = terms.burst,
    public val refilledAt: MonotonicTime = MonotonicTime.ZERO
) {
    /** Members of [dataCentre] that are not known to be dead or gone. */
    public fun live(dataCentre: DataCentre): List<Member> = members.values
        .map { it.member }
        .filter { it.dataCentre == dataCentre && it.isLive }

    public companion object {
        /** State of a host that knows only itself. */
        public fun starting(
            own: Member,
            now: MonotonicTime,
            terms: MembershipTerms = MembershipTerms()
        ): MembershipState = MembershipState(own, terms, refilledAt = now).record(own, now)
    }
}

/** Merges [member] into the table; a record that is news is passed on again. */
internal fun MembershipState.record(
    member: Member,
    now: MonotonicTime,
    passOn: Boolean = true
): MembershipState {
    val known = members[member.id]
    if (known == null && !isWanted(member)) return this
    val merged = known?.member?.merge(member) ?: member
    if (merged == known?.member) return this
    val since = if (known?.member?.status == merged.status) known.since else now
    val entry = MemberEntry(merged, since, if (passOn) spreads() else 0)
    return copy(members = members.put(member.id, entry))
        .share(known?.member, merged)
        .dropExcessContact(merged.dataCentre)
}

/**
 * The own data centre is known in full. Of another one, a host keeps the contacts of lowest rank
 * for itself, so that the table does not grow with the fleet, and who took over the keys of whom.
 */
private fun MembershipState.isWanted(member: Member): Boolean = when {
    member.dataCentre == own.dataCentre || member.successor != null -> true
    !member.isLive -> false
    else -> isContact(member)
}

private fun MembershipState.isContact(member: Member): Boolean {
    val contacts = live(member.dataCentre)
    val rank = contactRank(member.id)
    return contacts.size < terms.contacts || contacts.any { contactRank(it.id) > rank }
}

private fun MembershipState.dropExcessContact(dataCentre: DataCentre): MembershipState {
    if (dataCentre == own.dataCentre) return this
    val contacts = live(dataCentre)
    if (contacts.size <= terms.contacts) return this
    val last = contacts.maxBy { contactRank(it.id) }
    return copy(members = members.remove(last.id), heard = heard.remove(last.id)).share(last, null)
}

/** Order in which this host uses [member] of another data centre; it differs by host. */
internal fun MembershipState.contactRank(member: MemberId): Long =
    rendezvousRank("remote/${own.id.incarnation}", member)

private fun MembershipState.share(before: Member?, after: Member?): MembershipState {
    val change = (after?.tableShare() ?: 0) - (before?.tableShare() ?: 0)
    return if ((after ?: before)?.dataCentre == own.dataCentre) {
        copy(tableHash = tableHash + change)
    } else {
        copy(contactsHash = contactsHash + change)
    }
}

/** Share of one record in the hash, which is their sum and so does not depend on their order. */
private fun Member.tableShare(): Long =
    if (isLive) stableHash("$id/$version/${status.ordinal}") else 0

/** Each host passes an update on once over each link, counting links in both directions. */
private fun MembershipState.spreads(): Int {
    val size = members.size + 1
    return 2 * (Int.SIZE_BITS - size.countLeadingZeroBits()) + REMOTE_SPREADS
}

private const val REMOTE_SPREADS = 4
