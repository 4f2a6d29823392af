/*
 * Decisions of membership: merging updates, refuting suspicions, detecting failures by silence
 * and choosing the updates of a heartbeat.
 */
package org.sapphirelever.decisions.membership

import java.util.PriorityQueue
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Incarnation
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.decisions.Decision

/** Event that membership reacts to. */
public sealed interface MembershipEvent {
    /**
     * A message of [from] arrived with [updates]. New records are sent to peers unless [propagate]
     * is false, as for the table that a starting host receives, which its peers know already.
     */
    public data class Received(
        public val from: MemberId?,
        public val updates: List<Member>,
        public val now: MonotonicTime,
        public val propagate: Boolean = true
    ) : MembershipEvent

    /** Time has passed. */
    public data class Tick(public val now: MonotonicTime) : MembershipEvent

    /** This host stops as planned; [successor] took over its keys. */
    public data class Leave(
        public val now: MonotonicTime,
        public val successor: Incarnation? = null
    ) : MembershipEvent
}

/** Change that membership reports to the runtime. */
public sealed interface MembershipAction {
    /** The status of a member changed; [member] is new if [before] is null. */
    public data class StatusChanged(public val member: Member, public val before: MemberStatus?) :
        MembershipAction

    /** This host refuted a suspicion, or took a new generation after it was marked dead. */
    public data class Refuted(public val own: Member) : MembershipAction

    public data class ReachabilityChanged(
        public val dataCentre: DataCentre,
        public val reachable: Boolean
    ) : MembershipAction
}

public data class HeartbeatUpdates(public val members: PersistentList<Member>) {
    public companion object {
        public val NONE: HeartbeatUpdates = HeartbeatUpdates(persistentListOf())
    }
}

public fun MembershipState.on(event: MembershipEvent): Decision<MembershipState, MembershipAction> =
    when (event) {
        is MembershipEvent.Received -> onReceived(event)
        is MembershipEvent.Tick -> onTick(event.now)
        is MembershipEvent.Leave -> onLeave(event)
    }

private fun MembershipState.onReceived(
    event: MembershipEvent.Received
): Decision<MembershipState, MembershipAction> {
    val now = event.now
    val marked = if (event.from == null) this else markHeard(event.from, now)
    val others = event.updates.filter { it.id != own.id }
    val merged = others.fold(marked) { state, update ->
        state.mergeRecord(update, now, event.propagate)
    }
    val reports = event.updates.filter { it.id == own.id }
    return reports.fold(merged) { state, report -> state.refute(report, now) }.changesFrom(this)
}

private fun MembershipState.markHeard(from: MemberId, now: MonotonicTime): MembershipState {
    val dataCentre = members[from]?.member?.dataCentre
    val stillUnreachable = if (dataCentre == null) unreachable else unreachable.remove(dataCentre)
    val times = if (from in lastHeardAt) lastHeardAt.put(from, now) else lastHeardAt
    return copy(lastHeardAt = times, unreachable = stillUnreachable)
}

/** Refutes a record that reports this live host as suspect, dead or left. */
private fun MembershipState.refute(report: Member, now: MonotonicTime): MembershipState {
    if (report.status == MemberStatus.ALIVE || own.status == MemberStatus.LEFT) return this
    val renewed = if (report.status.isFinal) {
        own.copy(id = own.id.copy(generation = own.id.generation + 1), version = 0)
    } else {
        own.copy(version = maxOf(own.version, report.version + 1))
    }
    val recorded = if (report.status.isFinal) mergeRecord(report, now) else this
    return recorded.copy(own = renewed).mergeRecord(renewed, now)
}

private fun MembershipState.onTick(
    now: MonotonicTime
): Decision<MembershipState, MembershipAction> = refillBurst(now)
    .evictFinal(now)
    .updateLinks(now)
    .suspectSilent(now)
    .declareOverdueDead(now)
    .updateLinks(now)
    .changesFrom(this)

private fun MembershipState.refillBurst(now: MonotonicTime): MembershipState {
    if (burstLeft >= settings.burst) return if (refilledAt == now) this else copy(refilledAt = now)
    val seconds = (now - refilledAt).inWholeSeconds
    if (seconds == 0L) return this
    val grown =
        minOf(settings.burst.toLong(), burstLeft + seconds * settings.refillPerSecond).toInt()
    return copy(burstLeft = grown, refilledAt = refilledAt + seconds.seconds)
}

private fun MembershipState.evictFinal(now: MonotonicTime): MembershipState {
    val expired =
        members.filterValues { !it.member.isLive && now - it.since > settings.tombstoneRetention }
    if (expired.isEmpty()) return this
    return copy(members = expired.keys.fold(members) { kept, id -> kept.remove(id) })
}

/** Starts to measure the silence of new links, and drops links that are no longer wanted. */
private fun MembershipState.updateLinks(now: MonotonicTime): MembershipState {
    val inputs = LinkInputs(tableHash, contactsHash, own.id, remoteContactIndexes)
    if (inputs == linkInputs) return this
    val times = desiredLinks().associateWith { lastHeardAt[it] ?: now }.toPersistentMap()
    return copy(lastHeardAt = times, linkInputs = inputs)
}

private fun MembershipState.suspectSilent(now: MonotonicTime): MembershipState =
    lastHeardAt.filterValues { now - it > settings.suspectAfter }.keys.fold(this) { state, id ->
        val member = state.members[id]?.member
        when {
            member == null -> state
            member.dataCentre != own.dataCentre -> state.switchRemoteContact(member, now)
            member.status != MemberStatus.ALIVE -> state
            else -> state.mergeRecord(member.copy(status = MemberStatus.SUSPECT), now)
        }
    }

/** A silent link to another data centre does not prove that its host failed; tries the next. */
private fun MembershipState.switchRemoteContact(
    member: Member,
    now: MonotonicTime
): MembershipState {
    val next = (remoteContactIndexes[member.dataCentre] ?: 0) + 1
    return copy(
        unreachable = unreachable.add(member.dataCentre),
        remoteContactIndexes = remoteContactIndexes.put(member.dataCentre, next),
        lastHeardAt = lastHeardAt.put(member.id, now)
    )
}

/** Only hosts of the same data centre declare a member dead. */
private fun MembershipState.declareOverdueDead(now: MonotonicTime): MembershipState = members.values
    .filter { it.member.status == MemberStatus.SUSPECT }
    .filter { it.member.dataCentre == own.dataCentre && now - it.since > settings.deadAfter }
    .fold(this) { state, overdue ->
        state.mergeRecord(overdue.member.copy(status = MemberStatus.DEAD), now)
    }

private fun MembershipState.onLeave(
    event: MembershipEvent.Leave
): Decision<MembershipState, MembershipAction> {
    val successor = members.values.map { it.member }
        .firstOrNull { it.id.incarnation == event.successor }
    val left = own.copy(
        status = MemberStatus.LEFT,
        successor = event.successor,
        successorPeer = successor?.peer
    )
    return copy(own = left).mergeRecord(left, event.now).changesFrom(this)
}

private fun MembershipState.changesFrom(
    before: MembershipState
): Decision<MembershipState, MembershipAction> {
    if (this == before) return Decision(this)
    val statuses = if (members === before.members) {
        emptyList()
    } else {
        members.values
            .filter { before.members[it.member.id]?.member?.status != it.member.status }
            .map {
                val earlier = before.members[it.member.id]?.member?.status
                MembershipAction.StatusChanged(it.member, earlier)
            }
    }
    val refuted = if (own == before.own || own.status == MemberStatus.LEFT) {
        emptyList()
    } else {
        listOf(MembershipAction.Refuted(own))
    }
    val reached = (before.unreachable - unreachable)
        .map { MembershipAction.ReachabilityChanged(it, reachable = true) }
    val lost = (unreachable - before.unreachable)
        .map { MembershipAction.ReachabilityChanged(it, reachable = false) }
    return Decision(this, (statuses + refuted + reached + lost).toPersistentList())
}

/**
 * Chooses the updates of one heartbeat: new records with the most transmissions left first, then,
 * if the table of the peer differs, a few members in turn. A peer whose last heartbeat announced
 * the same table needs no updates. A [remote] peer keeps only a few records of this data centre as
 * contacts. [tableDiffers] is null while the peer has not announced its table.
 */
public fun MembershipState.composeUpdates(
    tableDiffers: Boolean?,
    remote: Boolean = false
): Decision<MembershipState, HeartbeatUpdates> {
    if (tableDiffers == false) return Decision(this, persistentListOf(HeartbeatUpdates.NONE))
    val burst = if (remote) 0 else minOf(settings.burstUpdatesPerHeartbeat, burstLeft)
    val newRecords = mostTransmissionsLeft(maxOf(settings.updatesPerHeartbeat, burst))
    val sent = newRecords.fold(members) { table, entry ->
        table.put(entry.member.id, entry.copy(transmissionsLeft = entry.transmissionsLeft - 1))
    }
    val repairs = when {
        remote -> 1

        tableDiffers == true ->
            maxOf(settings.repairsPerHeartbeat, minOf(settings.burstRepairsPerHeartbeat, burst))

        else -> 0
    }
    val repairCount = minOf(repairs, maxOf(settings.updatesPerHeartbeat, burst) - newRecords.size)
    val repaired = if (repairCount > 0) nextForRepair(repairCount) else emptyList()
    val chosen = (newRecords.map { it.member } + repaired).distinctBy { it.id }
    val state = copy(
        members = sent,
        repairCursor = repaired.lastOrNull()?.id ?: repairCursor,
        burstLeft = burstLeft - maxOf(0, chosen.size - settings.updatesPerHeartbeat)
    )
    return Decision(state, persistentListOf(HeartbeatUpdates(chosen.toPersistentList())))
}

/** Selects up to [count] entries in one pass, since a starting fleet has many new records. */
private fun MembershipState.mostTransmissionsLeft(count: Int): List<MemberEntry> {
    val order = compareBy<MemberEntry>({ -it.transmissionsLeft }, { it.member.id })
    val chosen = PriorityQueue(count + 1, order.reversed())
    members.values.filter { it.transmissionsLeft > 0 }.forEach { entry ->
        val least = if (chosen.size < count) 0 else chosen.peek().transmissionsLeft
        if (entry.transmissionsLeft >= least) chosen.add(entry)
        if (chosen.size > count) chosen.poll()
    }
    return chosen.sortedWith(order)
}

/** The [count] members after the cursor in order of identity, wrapping around at the end. */
private fun MembershipState.nextForRepair(count: Int): List<Member> {
    if (count == 1) return listOfNotNull(nextAfterCursor()).map { members.getValue(it).member }
    val ids = members.keys.sorted()
    val start = ids.indexOfFirst { repairCursor == null || it > repairCursor }
    val rotated = if (start < 0) ids else ids.drop(start) + ids.take(start)
    return rotated.take(count).map { members.getValue(it).member }
}

/** Avoids a sort, since each heartbeat to another data centre takes only one member. */
private fun MembershipState.nextAfterCursor(): MemberId? =
    members.keys.filter { repairCursor == null || it > repairCursor }.minOrNull()
        ?: members.keys.minOrNull()
