/*
 * The protocol between entry hosts, independent of sockets: the content of heartbeats and the
 * response to each message. Links transport the messages; experiments call this class directly.
 */
package org.sapphirelever.runtime.peer

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.update
import org.sapphirelever.core.Incarnation
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.Revision
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.resource.Configuration
import org.sapphirelever.decisions.configuration.ConfigurationAction
import org.sapphirelever.decisions.configuration.ConfigurationEvent
import org.sapphirelever.decisions.configuration.TargetHealth
import org.sapphirelever.decisions.configuration.TargetListAction
import org.sapphirelever.decisions.configuration.TargetListEvent
import org.sapphirelever.decisions.configuration.changeSince
import org.sapphirelever.decisions.configuration.composeHealth
import org.sapphirelever.decisions.configuration.on
import org.sapphirelever.decisions.membership.Member
import org.sapphirelever.decisions.membership.MemberId
import org.sapphirelever.decisions.membership.MembershipAction
import org.sapphirelever.decisions.membership.MembershipEvent
import org.sapphirelever.decisions.membership.composeUpdates
import org.sapphirelever.decisions.membership.on
import org.sapphirelever.decisions.routing.Target
import org.sapphirelever.runtime.StateCell
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.wire.peer.ConfigurationDelta
import org.sapphirelever.wire.peer.ConfigurationRequest
import org.sapphirelever.wire.peer.ConfigurationSnapshot
import org.sapphirelever.wire.peer.CrashMarkMessage
import org.sapphirelever.wire.peer.GossipMessage
import org.sapphirelever.wire.peer.Heartbeat
import org.sapphirelever.wire.peer.HeartbeatReply
import org.sapphirelever.wire.peer.Hello
import org.sapphirelever.wire.peer.Leaving
import org.sapphirelever.wire.peer.MemberTable
import org.sapphirelever.wire.peer.PeerMessage
import org.sapphirelever.wire.peer.TargetHealthMessage
import org.sapphirelever.wire.peer.TargetList
import org.sapphirelever.wire.peer.toChange
import org.sapphirelever.wire.peer.toMember
import org.sapphirelever.wire.peer.toMessage
import org.sapphirelever.wire.peer.toTarget
import org.sapphirelever.wire.peer.toVersion
import org.sapphirelever.wire.toConfiguration
import org.sapphirelever.wire.toMessage

/** Protocol of the host with [state]; [onTargets] receives each new set of targets. */
public class PeerProtocol(
    public val state: PeerState,
    private val marks: MarkExchange = MarkExchange.None,
    private val onTargets: (Map<TargetId, Target>) -> Unit = {}
) {
    /** Last request of a revision, kept so that not every peer is asked at once. */
    private data class RevisionRequest(val revision: Revision, val at: MonotonicTime)

    private val lastRequest = StateCell<RevisionRequest?>(null)
    private val changeCounter = MutableStateFlow(0L)

    /** Number of changes so far that are sent to peers without waiting for the next heartbeat. */
    public val changeCount: StateFlow<Long> = changeCounter.asStateFlow()

    public val own: Member get() = state.membership.value.own

    public fun hello(expected: Incarnation? = null): Hello = Hello(
        member = own.toMessage(),
        knownMembers = knownMembers(),
        expected = expected?.value.orEmpty()
    )

    public fun heartbeat(to: MemberId, sequence: Long): PeerMessage =
        if (own.isLive) Heartbeat(sequence, gossip(to)) else Leaving(own.toMessage())

    /** Handles [message] of [from] and returns the replies to that peer. */
    public fun receive(from: MemberId, message: PeerMessage): List<PeerMessage> = when (message) {
        is Hello -> onHello(from, message)

        is Heartbeat -> onGossip(from, message.gossip) + reply(from, message.sequence)

        is HeartbeatReply -> onGossip(from, message.gossip)

        is MemberTable -> withoutReply {
            merge(from, message.members.map { it.toMember() }, propagate = false)
        }

        is Leaving -> withoutReply { merge(from, listOf(message.member.toMember())) }

        is ConfigurationRequest -> onRequest(message)

        is ConfigurationDelta -> onDelta(message)

        is ConfigurationSnapshot -> withoutReply { adopt(message.configuration.toConfiguration()) }

        is TargetList -> withoutReply { onTargetList(message) }

        else -> emptyList()
    }

    /** Runs the timeouts of failure detection and of target reports. */
    public fun tick() {
        val now = state.clock.now()
        state.membership.decide { it.on(MembershipEvent.Tick(now)) }.forEach(::log)
        changeTargets(TargetListEvent.Tick(now))
    }

    /** Adopts a configuration of the platform or of a peer if it is newer. */
    public fun adopt(configuration: Configuration) {
        decideConfiguration(ConfigurationEvent.Received(configuration))
    }

    /** Applies the targets that this host read as the elected reader with [fencing]. */
    public fun onTargetsRead(fencing: Long, targets: List<Target>) {
        changeTargets(TargetListEvent.Read(fencing, targets))
    }

    /** Reports to all peers, without waiting for a heartbeat, that [target] is leaving or dead. */
    public fun report(target: TargetId, dead: Boolean) {
        val now = state.clock.now()
        changeTargets(TargetListEvent.Reported(listOf(TargetHealth(target, dead, now)), now))
    }

    /** Marks this host as left; its links send `Leaving` instead of heartbeats from now on. */
    public fun leave(successor: Incarnation? = null) {
        val event = MembershipEvent.Leave(state.clock.now(), successor)
        state.membership.decide { it.on(event) }.forEach(::log)
        changeCounter.update { it + 1 }
    }

    private fun withoutReply(action: () -> Unit): List<PeerMessage> {
        action()
        return emptyList()
    }

    private fun knownMembers(): Int = state.membership.value.live(own.dataCentre).size

    /**
     * Sends the whole member table to a peer of the own data centre that knows less than half of
     * its members, and to any peer that knows only itself.
     */
    private fun onHello(from: MemberId, hello: Hello): List<PeerMessage> {
        merge(from, listOf(hello.member.toMember()))
        val threshold = if (isLocal(from)) knownMembers() else REMOTE_TABLE_THRESHOLD
        if (hello.knownMembers * 2 >= threshold) return emptyList()
        val members = state.membership.value.members
        return listOf(MemberTable(members.values.map { it.member.toMessage() }))
    }

    private fun reply(to: MemberId, sequence: Long): PeerMessage =
        if (own.isLive) HeartbeatReply(sequence, gossip(to)) else Leaving(own.toMessage())

    private fun gossip(to: MemberId): GossipMessage {
        val membership = state.membership.value
        val updates = updatesFor(to)
        val now = state.clock.now()
        val health = state.targets.decide { it.composeHealth() }
        val configuration = state.configuration.value
        return GossipMessage(
            revision = configuration.inForce.revision.value,
            announced = configuration.greatestAnnounced.value,
            ready = configuration.ready,
            tableHash = membership.tableHash,
            targets = state.targets.value.version.toMessage(),
            members = updates.map { it.toMessage() },
            marks = marks.compose(MARKS_PER_HEARTBEAT).map {
                CrashMarkMessage(it.fingerprint, it.target.value, it.age.inWholeMilliseconds)
            },
            health = health.map {
                val age = now - it.observedAt
                TargetHealthMessage(it.target.value, it.dead, age.inWholeMilliseconds)
            }
        )
    }

    /**
     * Peers of other data centres keep another table. In addition to new records they are sent one
     * record in turn on each heartbeat, as contacts in this data centre.
     */
    private fun updatesFor(to: MemberId): List<Member> {
        val membership = state.membership.value
        val decision = if (isLocal(to)) {
            val differs = state.reports.value[to]?.let { it.tableHash != membership.tableHash }
            state.membership.decide { it.composeUpdates(differs) }
        } else {
            state.membership.decide { it.composeUpdates(tableDiffers = true, remote = true) }
        }
        return decision.single().members
    }

    /** A peer that is not in the table belongs to another data centre. */
    private fun isLocal(peer: MemberId): Boolean =
        state.membership.value.members[peer]?.member?.dataCentre == own.dataCentre

    private fun onGossip(from: MemberId, gossip: GossipMessage): List<PeerMessage> {
        merge(from, gossip.members.map { it.toMember() })
        val report = PeerReport(
            revision = Revision(gossip.revision),
            announced = Revision(gossip.announced),
            ready = gossip.ready,
            tableHash = gossip.tableHash,
            receivedAt = state.clock.now()
        )
        state.reports.update { it.put(from, report) }
        marks.receive(
            gossip.marks.map {
                CrashMark(it.fingerprint, TargetId(it.target), it.ageMillis.milliseconds)
            }
        )
        mergeHealth(gossip.health)
        val newest = maxOf(gossip.revision, gossip.announced)
        decideConfiguration(ConfigurationEvent.Announced(Revision(newest)))
        return listOfNotNull(configurationRequest(from, gossip))
    }

    private fun mergeHealth(health: List<TargetHealthMessage>) {
        if (health.isEmpty()) return
        val now = state.clock.now()
        val reports = health.map {
            TargetHealth(TargetId(it.target), it.dead, now - it.ageMillis.milliseconds)
        }
        changeTargets(TargetListEvent.Reported(reports, now))
    }

    /** Request to a peer with newer data, unless another peer was asked for it recently. */
    private fun configurationRequest(from: MemberId, gossip: GossipMessage): ConfigurationRequest? {
        val knownRevision = state.configuration.value.inForce.revision
        val version = state.targets.value.version
        val targetsBehind = isLocal(from) && gossip.targets.toVersion() > version
        if (!targetsBehind && !mayRequest(knownRevision, Revision(gossip.revision))) return null
        return ConfigurationRequest(knownRevision.value, version.toMessage())
    }

    private fun mayRequest(knownRevision: Revision, offered: Revision): Boolean {
        if (offered <= knownRevision) return false
        val now = state.clock.now()
        val last = lastRequest.value
        if (last != null && last.revision >= offered && now - last.at < RETRY_DELAY) return false
        lastRequest.update { RevisionRequest(offered, now) }
        return true
    }

    private fun onRequest(request: ConfigurationRequest): List<PeerMessage> {
        val configuration = state.configuration.value
        val knownRevision = Revision(request.knownRevision)
        val document = when {
            configuration.inForce.revision <= knownRevision -> null

            else ->
                configuration.changeSince(knownRevision)?.toMessage()
                    ?: ConfigurationSnapshot(configuration.inForce.toMessage())
        }
        val targets = state.targets.value
        val list = if (targets.version > request.targets.toVersion()) {
            TargetList(
                own.dataCentre.value,
                targets.version.toMessage(),
                targets.listed.map { it.toMessage() }
            )
        } else {
            null
        }
        return listOfNotNull(document, list)
    }

    /** Requests the whole configuration if [delta] does not start from the revision in force. */
    private fun onDelta(delta: ConfigurationDelta): List<PeerMessage> {
        val actions = decideConfiguration(ConfigurationEvent.ChangeReceived(delta.toChange()))
        if (actions.none { it is ConfigurationAction.Fetch }) return emptyList()
        val knownRevision = state.configuration.value.inForce.revision.value
        return listOf(ConfigurationRequest(knownRevision, state.targets.value.version.toMessage()))
    }

    private fun onTargetList(list: TargetList) {
        if (list.dataCentre != own.dataCentre.value) return
        val targets = list.targets.map { it.toTarget() }
        changeTargets(TargetListEvent.Received(list.version.toVersion(), targets))
    }

    private fun decideConfiguration(event: ConfigurationEvent): List<ConfigurationAction> {
        val actions = state.configuration.decide { it.on(event) }
        actions.filterIsInstance<ConfigurationAction.Adopted>().forEach { adopted ->
            logEvent("configuration-adopted") { "revision" to adopted.configuration.revision }
            changeCounter.update { it + 1 }
        }
        return actions
    }

    private fun changeTargets(event: TargetListEvent) {
        val before = state.targets.value
        state.targets.decide { it.on(event) }.forEach { action ->
            if (action is TargetListAction.Changed) onTargets(action.targets)
        }
        val after = state.targets.value
        val reported = after.health.any { (target, health) ->
            before.health[target]?.observedAt != health.observedAt
        }
        if (after.version != before.version || reported) changeCounter.update { it + 1 }
    }

    private fun merge(from: MemberId, updates: List<Member>, propagate: Boolean = true) {
        val event = MembershipEvent.Received(from, updates, state.clock.now(), propagate)
        state.membership.decide { it.on(event) }.forEach(::log)
    }

    private fun log(action: MembershipAction) {
        when (action) {
            is MembershipAction.StatusChanged -> logEvent("member-changed") {
                "member" to action.member.host
                "incarnation" to action.member.id
                "status" to action.member.status.text
            }

            is MembershipAction.Refuted -> logEvent("suspicion-refuted") {
                "generation" to action.own.id.generation
                "version" to action.own.version
            }

            is MembershipAction.ReachabilityChanged -> logEvent("data-centre-reachability") {
                "dataCentre" to action.dataCentre
                "reachable" to action.reachable
            }
        }
    }

    private companion object {
        /** Maximum number of crash marks on one heartbeat. */
        const val MARKS_PER_HEARTBEAT = 8

        /** A remote host is sent the member table if it knows fewer than half as many members. */
        const val REMOTE_TABLE_THRESHOLD = 3

        /** Time after which a revision that has not arrived is requested from another peer. */
        val RETRY_DELAY = 1000.milliseconds
    }
}
