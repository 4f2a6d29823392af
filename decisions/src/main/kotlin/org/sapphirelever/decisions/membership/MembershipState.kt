/*
 * Membership state of one host: the table of members, the time of the last message on each link
 * and the updates still to be sent to peers.
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
 * Durations and bounds of membership.
 *
 * @property suspectAfter silence on a link after which its member is suspected: 3 heartbeats
 * @property deadAfter time from suspicion until the member is declared dead, in which it may refute
 * @property tombstoneRetention time for which the record of a dead or left member is kept
 * @property updatesPerHeartbeat greatest number of updates on one heartbeat outside a burst
 * @property repairsPerHeartbeat how many of [updatesPerHeartbeat] may repair a differing table
 * @property burst size of the token bucket for updates beyond [updatesPerHeartbeat], used
 *   while many records are new, as when a whole fleet starts: 24 copies of a table of 256 members
 * @property burstUpdatesPerHeartbeat greatest number of updates on one heartbeat within a burst
 * @property burstRepairsPerHeartbeat how many of these may repair a differing table
 * @property refillPerSecond tokens that the bucket regains each second
 * @property contactsPerDataCentre live members that are kept of each other data centre
 */
public data class MembershipSettings(
    public val heartbeat: Duration = 2.seconds,
    public val suspectAfter: Duration = 6.seconds,
    public val deadAfter: Duration = 10.seconds,
    public val tombstoneRetention: Duration = 10.minutes,
    public val updatesPerHeartbeat: Int = 8,
    public val repairsPerHeartbeat: Int = 2,
    public val burst: Int = 6_144,
    public val burstUpdatesPerHeartbeat: Int = 256,
    public val burstRepairsPerHeartbeat: Int = 32,
    public val refillPerSecond: Int = 4,
    public val contactsPerDataCentre: Int = 8
)

/** Inputs of the link computation; links are computed again only when one of them changes. */
public data class LinkInputs(
    public val tableHash: Long,
    public val contactsHash: Long,
    public val own: MemberId,
    public val remoteContactIndexes: PersistentMap<DataCentre, Int>
)

/** A record, the local time of its last status change, and how often it is still sent to peers. */
public data class MemberEntry(
    public val member: Member,
    public val since: MonotonicTime,
    public val transmissionsLeft: Int
)

/**
 * State of membership of one host.
 *
 * @property own the record of this host
 * @property members all records, including that of this host
 * @property lastHeardAt time of the last message on each link; before the first one, the time
 *   at which the link was added
 * @property unreachable data centres whose linked hosts are silent
 * @property remoteContactIndexes index of the linked host among the contacts of each other data
 *   centre
 * @property repairCursor member that was last sent to repair a table
 * @property tableHash hash of the records of the own data centre that are not final; equal tables
 *   have equal hashes. Final records are left out because each host evicts them at its own time
 * @property contactsHash such a hash of the contacts in other data centres, which differ by host
 * @property linkInputs inputs from which the present links were computed
 * @property burstLeft tokens left in the bucket of burst updates
 * @property refilledAt time up to which [burstLeft] was refilled
 */
public data class MembershipState(
    public val own: Member,
    public val settings: MembershipSettings = MembershipSettings(),
    public val members: PersistentMap<MemberId, MemberEntry> = persistentMapOf(),
    public val lastHeardAt: PersistentMap<MemberId, MonotonicTime> = persistentMapOf(),
    public val unreachable: PersistentSet<DataCentre> = persistentSetOf(),
    public val remoteContactIndexes: PersistentMap<DataCentre, Int> = persistentMapOf(),
    public val repairCursor: MemberId? = null,
    public val tableHash: Long = 0,
    public val contactsHash: Long = 0,
    public val linkInputs: LinkInputs? = null,
    public val burstLeft: Int = settings.burst,
    public val refilledAt: MonotonicTime = MonotonicTime.ZERO
) {
    /** Members of [dataCentre] that are neither dead nor left. */
    public fun live(dataCentre: DataCentre): List<Member> = members.values
        .map { it.member }
        .filter { it.dataCentre == dataCentre && it.isLive }

    public companion object {
        /** State of a host that knows only itself. */
        public fun starting(
            own: Member,
            now: MonotonicTime,
            settings: MembershipSettings = MembershipSettings()
        ): MembershipState = MembershipState(own, settings, refilledAt = now).mergeRecord(own, now)
    }
}

/** Merges [member] into the table; changed records are sent to peers if [propagate] is true. */
internal fun MembershipState.mergeRecord(
    member: Member,
    now: MonotonicTime,
    propagate: Boolean = true
): MembershipState {
    val known = members[member.id]
    if (known == null && !shouldKeep(member)) return this
    val merged = known?.member?.merge(member) ?: member
    if (merged == known?.member) return this
    val since = if (known?.member?.status == merged.status) known.since else now
    val entry = MemberEntry(merged, since, if (propagate) transmissionLimit() else 0)
    return copy(members = members.put(member.id, entry))
        .updateHashes(known?.member, merged)
        .dropExcessContact(merged.dataCentre)
}

/**
 * Whether a record of an unknown [member] is stored. The table holds all members of the own data
 * centre. Of another one it holds the contacts of lowest rank, so that it does not grow with the
 * fleet, and the members that left and name the process that took over their keys.
 */
private fun MembershipState.shouldKeep(member: Member): Boolean = when {
    member.dataCentre == own.dataCentre || member.successor != null -> true
    !member.isLive -> false
    else -> isContact(member)
}

private fun MembershipState.isContact(member: Member): Boolean {
    val contacts = live(member.dataCentre)
    val rank = contactRank(member.id)
    return contacts.size < settings.contactsPerDataCentre ||
        contacts.any { contactRank(it.id) > rank }
}

private fun MembershipState.dropExcessContact(dataCentre: DataCentre): MembershipState {
    if (dataCentre == own.dataCentre) return this
    val contacts = live(dataCentre)
    if (contacts.size <= settings.contactsPerDataCentre) return this
    val last = contacts.maxBy { contactRank(it.id) }
    return copy(members = members.remove(last.id), lastHeardAt = lastHeardAt.remove(last.id))
        .updateHashes(last, null)
}

/** Rank of [member] among the contacts in another data centre; it differs by host. */
internal fun MembershipState.contactRank(member: MemberId): Long =
    rendezvousRank("remote/${own.id.incarnation}", member)

private fun MembershipState.updateHashes(before: Member?, after: Member?): MembershipState {
    val change = (after?.hashContribution() ?: 0) - (before?.hashContribution() ?: 0)
    return if ((after ?: before)?.dataCentre == own.dataCentre) {
        copy(tableHash = tableHash + change)
    } else {
        copy(contactsHash = contactsHash + change)
    }
}

/** Share of one record in the table hash, which is a sum, so that their order is irrelevant. */
private fun Member.hashContribution(): Long =
    if (isLive) stableHash("$id/$version/${status.ordinal}") else 0

/** Each host sends a new record once over each link, counting links in both directions. */
private fun MembershipState.transmissionLimit(): Int {
    val size = members.size + 1
    return 2 * (Int.SIZE_BITS - size.countLeadingZeroBits()) + REMOTE_TRANSMISSIONS
}

private const val REMOTE_TRANSMISSIONS = 4
