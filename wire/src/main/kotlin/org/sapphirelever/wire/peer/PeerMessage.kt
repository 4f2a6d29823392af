/*
 * Messages between entry hosts. Fields of frequent messages carry numeric labels, which keeps a
 * heartbeat small.
 */
package org.sapphirelever.wire.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel
import org.sapphirelever.wire.ConfigurationMessage
import org.sapphirelever.wire.KeyClaimMessage
import org.sapphirelever.wire.OutcomeMessage
import org.sapphirelever.wire.RequestMessage

/** A message on a connection between two entry hosts. */
@Serializable
public sealed interface PeerMessage

@Serializable
public data class EndpointMessage(
    @CborLabel(1) public val address: String,
    @CborLabel(2) public val port: Int
)

@Serializable
public data class MemberMessage(
    @CborLabel(1) public val incarnation: String,
    @CborLabel(2) public val generation: Int = 0,
    @CborLabel(3) public val host: String,
    @CborLabel(4) public val dataCentre: String,
    @CborLabel(5) public val peer: EndpointMessage,
    @CborLabel(6) public val http: EndpointMessage,
    @CborLabel(7) public val version: Int = 0,
    @CborLabel(8) public val status: Int = 0,
    @CborLabel(9) public val successor: String? = null
)

/** A report that a target is leaving or dead; [ageMillis] is the time since it was observed. */
@Serializable
public data class TargetHealthMessage(
    @CborLabel(1) public val target: String,
    @CborLabel(2) public val dead: Boolean = false,
    @CborLabel(3) public val ageMillis: Long = 0
)

/** A mark that a request preceded the crash of a target. */
@Serializable
public data class CrashMarkMessage(
    @CborLabel(1) public val fingerprint: String,
    @CborLabel(2) public val target: String,
    @CborLabel(3) public val ageMillis: Long = 0
)

/** Position of a target list: the fencing number of its reader, then a count. */
@Serializable
public data class TargetVersionMessage(
    @CborLabel(1) public val fencing: Long = 0,
    @CborLabel(2) public val number: Long = 0
)

/**
 * What a heartbeat and its reply carry.
 *
 * @property revision revision in force at the sender
 * @property announced greatest revision that the sender knows to exist
 * @property tableHash hash of the sender's member table
 */
@Serializable
public data class GossipMessage(
    @CborLabel(1) public val revision: Long = 0,
    @CborLabel(2) public val announced: Long = 0,
    @CborLabel(3) public val ready: Boolean = false,
    @CborLabel(4) public val tableHash: Long = 0,
    @CborLabel(5) public val targets: TargetVersionMessage = TargetVersionMessage(),
    @CborLabel(6) public val members: List<MemberMessage> = emptyList(),
    @CborLabel(7) public val marks: List<CrashMarkMessage> = emptyList(),
    @CborLabel(8) public val health: List<TargetHealthMessage> = emptyList()
)

/** First message in each direction. [expected] names the process that the sender wants. */
@Serializable
@SerialName("hello")
public data class Hello(
    @CborLabel(1) public val member: MemberMessage,
    @CborLabel(2) public val knownMembers: Int = 1,
    @CborLabel(3) public val expected: String = ""
) : PeerMessage

@Serializable
@SerialName("beat")
public data class Heartbeat(
    @CborLabel(1) public val sequence: Long,
    @CborLabel(2) public val gossip: GossipMessage
) : PeerMessage

@Serializable
@SerialName("reply")
public data class HeartbeatReply(
    @CborLabel(1) public val sequence: Long,
    @CborLabel(2) public val gossip: GossipMessage
) : PeerMessage

/** The whole member table, for a host that knows only itself. */
@Serializable
@SerialName("members")
public data class MemberTable(public val members: List<MemberMessage>) : PeerMessage

/** Asks for a configuration above [have] and a target list above [targets]. */
@Serializable
@SerialName("want")
public data class ConfigurationRequest(
    @CborLabel(1) public val have: Long,
    @CborLabel(2) public val targets: TargetVersionMessage = TargetVersionMessage()
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
    @CborLabel(1) public val id: String,
    @CborLabel(2) public val service: String,
    @CborLabel(3) public val dataCentre: String,
    @CborLabel(4) public val endpoint: EndpointMessage,
    @CborLabel(5) public val leaving: Boolean = false
)

@Serializable
@SerialName("targets")
public data class TargetList(
    @CborLabel(1) public val dataCentre: String,
    @CborLabel(2) public val version: TargetVersionMessage,
    @CborLabel(3) public val targets: List<TargetMessage>
) : PeerMessage

@Serializable
@SerialName("forward")
public data class ForwardRequest(
    public val number: Long,
    public val owner: String,
    public val request: RequestMessage
) : PeerMessage

/** Answer to a forwarded request; a null [outcome] says that the owner is not this process. */
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

/** The sender stops as planned. */
@Serializable
@SerialName("leaving")
public data class Leaving(@CborLabel(1) public val member: MemberMessage) : PeerMessage
