/*
 * Messages between entry hosts. The fields of frequent messages have numeric CBOR labels instead
 * of names, to keep heartbeats small.
 */
package org.sapphirelever.wire.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel
import org.sapphirelever.wire.ConfigurationMessage
import org.sapphirelever.wire.KeyClaimMessage
import org.sapphirelever.wire.OutcomeMessage
import org.sapphirelever.wire.RequestMessage

/** CBOR labels, numbered in the order in which a message declares its fields. */
internal object FieldLabel {
    const val FIRST = 1L
    const val SECOND = 2L
    const val THIRD = 3L
    const val FOURTH = 4L
    const val FIFTH = 5L
    const val SIXTH = 6L
    const val SEVENTH = 7L
    const val EIGHTH = 8L
    const val NINTH = 9L
    const val TENTH = 10L
    const val ELEVENTH = 11L
    const val TWELFTH = 12L
}

/** A message on a connection between two hosts. */
@Serializable
public sealed interface PeerMessage

@Serializable
public data class EndpointMessage(
    @CborLabel(FieldLabel.FIRST) public val address: String,
    @CborLabel(FieldLabel.SECOND) public val port: Int
)

@Serializable
public data class MemberMessage(
    @CborLabel(FieldLabel.FIRST) public val incarnation: String,
    @CborLabel(FieldLabel.SECOND) public val generation: Int = 0,
    @CborLabel(FieldLabel.THIRD) public val host: String,
    @CborLabel(FieldLabel.FOURTH) public val dataCentre: String,
    @CborLabel(FieldLabel.FIFTH) public val peer: EndpointMessage,
    @CborLabel(FieldLabel.SIXTH) public val http: EndpointMessage,
    @CborLabel(FieldLabel.SEVENTH) public val version: Int = 0,
    @CborLabel(FieldLabel.EIGHTH) public val status: Int = 0,
    @CborLabel(FieldLabel.NINTH) public val successor: String? = null,
    @CborLabel(FieldLabel.TENTH) public val successorPeer: EndpointMessage? = null
)

/** Report that a target is leaving, or [dead]; [ageMillis] is the time since the observation. */
@Serializable
public data class TargetHealthMessage(
    @CborLabel(FieldLabel.FIRST) public val target: String,
    @CborLabel(FieldLabel.SECOND) public val dead: Boolean = false,
    @CborLabel(FieldLabel.THIRD) public val ageMillis: Long = 0
)

/** Crash mark: [target] crashed while it ran a request with [fingerprint]. */
@Serializable
public data class CrashMarkMessage(
    @CborLabel(FieldLabel.FIRST) public val fingerprint: String,
    @CborLabel(FieldLabel.SECOND) public val target: String,
    @CborLabel(FieldLabel.THIRD) public val ageMillis: Long = 0
)

/** Version of a target list: the fencing number of the elected reader, then its list [number]. */
@Serializable
public data class TargetVersionMessage(
    @CborLabel(FieldLabel.FIRST) public val fencing: Long = 0,
    @CborLabel(FieldLabel.SECOND) public val number: Long = 0
)

/**
 * Content of a heartbeat and of its reply.
 *
 * @property revision revision of the configuration in force at the sender
 * @property announced greatest revision that the sender knows to exist
 * @property ready whether the sender is ready to serve requests
 * @property tableHash hash of the sender's member table; hosts whose tables differ exchange records
 * @property marks recent crash marks
 * @property health recent reports about targets
 */
@Serializable
public data class GossipMessage(
    @CborLabel(FieldLabel.FIRST) public val revision: Long = 0,
    @CborLabel(FieldLabel.SECOND) public val announced: Long = 0,
    @CborLabel(FieldLabel.THIRD) public val ready: Boolean = false,
    @CborLabel(FieldLabel.FOURTH) public val tableHash: Long = 0,
    @CborLabel(FieldLabel.FIFTH) public val targets: TargetVersionMessage = TargetVersionMessage(),
    @CborLabel(FieldLabel.SIXTH) public val members: List<MemberMessage> = emptyList(),
    @CborLabel(FieldLabel.SEVENTH) public val marks: List<CrashMarkMessage> = emptyList(),
    @CborLabel(FieldLabel.EIGHTH) public val health: List<TargetHealthMessage> = emptyList()
)

/**
 * First message in each direction.
 *
 * @property knownMembers number of live members of the sender's data centre in its table
 * @property expected incarnation that the sender means to reach, or empty for any
 */
@Serializable
@SerialName("hello")
public data class Hello(
    @CborLabel(FieldLabel.FIRST) public val member: MemberMessage,
    @CborLabel(FieldLabel.SECOND) public val knownMembers: Int = 1,
    @CborLabel(FieldLabel.THIRD) public val expected: String = ""
) : PeerMessage

@Serializable
@SerialName("beat")
public data class Heartbeat(
    @CborLabel(FieldLabel.FIRST) public val sequence: Long,
    @CborLabel(FieldLabel.SECOND) public val gossip: GossipMessage
) : PeerMessage

@Serializable
@SerialName("reply")
public data class HeartbeatReply(
    @CborLabel(FieldLabel.FIRST) public val sequence: Long,
    @CborLabel(FieldLabel.SECOND) public val gossip: GossipMessage
) : PeerMessage

/** The whole member table, for a host that knows few or none of the other members. */
@Serializable
@SerialName("members")
public data class MemberTable(public val members: List<MemberMessage>) : PeerMessage

/** Requests a configuration later than [knownRevision] and a target list later than [targets]. */
@Serializable
@SerialName("want")
public data class ConfigurationRequest(
    @CborLabel(FieldLabel.FIRST) @SerialName("have") public val knownRevision: Long,
    @CborLabel(FieldLabel.SECOND) public val targets: TargetVersionMessage = TargetVersionMessage()
) : PeerMessage

/**
 * Difference between two revisions. [changed] holds the later revision, the resources that were
 * added or changed since [from], and the changes accepted since then.
 */
@Serializable
@SerialName("delta")
public data class ConfigurationDelta(
    public val from: Long,
    public val changed: ConfigurationMessage,
    public val removed: List<RemovedMessage> = emptyList()
) : PeerMessage

@Serializable
public data class RemovedMessage(public val kind: String, public val name: String)

@Serializable
@SerialName("snapshot")
public data class ConfigurationSnapshot(public val configuration: ConfigurationMessage) :
    PeerMessage

@Serializable
public data class TargetMessage(
    @CborLabel(FieldLabel.FIRST) public val id: String,
    @CborLabel(FieldLabel.SECOND) public val service: String,
    @CborLabel(FieldLabel.THIRD) public val dataCentre: String,
    @CborLabel(FieldLabel.FOURTH) public val endpoint: EndpointMessage,
    @CborLabel(FieldLabel.FIFTH) public val leaving: Boolean = false
)

@Serializable
@SerialName("targets")
public data class TargetList(
    @CborLabel(FieldLabel.FIRST) public val dataCentre: String,
    @CborLabel(FieldLabel.SECOND) public val version: TargetVersionMessage,
    @CborLabel(FieldLabel.THIRD) public val targets: List<TargetMessage>
) : PeerMessage

@Serializable
@SerialName("forward")
public data class ForwardRequest(
    public val number: Long,
    public val owner: String,
    public val request: RequestMessage
) : PeerMessage

/** Reply to a [ForwardRequest]; [outcome] is null if the sender is not the owner of the key. */
@Serializable
@SerialName("outcome")
public data class ForwardedOutcome(
    public val number: Long,
    public val outcome: OutcomeMessage? = null
) : PeerMessage

@Serializable
@SerialName("handover")
public data class KeyHandover(
    public val incarnation: String,
    public val peer: EndpointMessage,
    public val claims: List<KeyClaimMessage>
) : PeerMessage

@Serializable
@SerialName("accepted")
public data class KeyHandoverAccepted(public val accepted: Boolean) : PeerMessage

/** Announces that the sender shuts down gracefully. */
@Serializable
@SerialName("leaving")
public data class Leaving(@CborLabel(FieldLabel.FIRST) public val member: MemberMessage) :
    PeerMessage
