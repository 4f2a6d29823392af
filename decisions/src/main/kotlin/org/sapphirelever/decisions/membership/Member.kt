/*
 * Records of entry hosts and the rule that merges two records of the same host. The rule takes
 * the greater of two records in a total order, so it is commutative, associative and idempotent
 * and every host reaches the same table whatever the order of the messages.
 */
package org.sapphirelever.decisions.membership

import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.HostId
import org.sapphirelever.core.Incarnation

/** Status of a member; [DEAD] and [LEFT] are final. */
public enum class MemberStatus(public val text: String) {
    ALIVE("alive"),
    SUSPECT("suspect"),
    DEAD("dead"),
    LEFT("left")
    ;

    public val isFinal: Boolean get() = this == DEAD || this == LEFT
}

/**
 * Identity of a member: one process. [generation] grows only when a process that is alive finds
 * itself marked dead; keys always name the process by its [incarnation] alone.
 */
public data class MemberId(public val incarnation: Incarnation, public val generation: Int = 0) :
    Comparable<MemberId> {
    override fun compareTo(other: MemberId): Int =
        compareValuesBy(this, other, { it.incarnation.value }, { it.generation })

    override fun toString(): String = "$incarnation.$generation"
}

/**
 * Record of one entry host.
 *
 * @property peer address for other entry hosts
 * @property http address for callers and operators
 * @property version raised by the member itself to refute a suspicion
 * @property successor process that took over the keys of a member that left
 * @property successorPeer address of [successor], since other data centres may hold no record of it
 */
public data class Member(
    public val id: MemberId,
    public val host: HostId,
    public val dataCentre: DataCentre,
    public val peer: Endpoint,
    public val http: Endpoint,
    public val version: Int = 0,
    public val status: MemberStatus = MemberStatus.ALIVE,
    public val successor: Incarnation? = null,
    public val successorPeer: Endpoint? = null
) {
    /** Whether the member counts for links and elections. */
    public val isLive: Boolean get() = !status.isFinal
}

/** Final statuses win over others, then the higher version, then the more severe status. */
private val precedence: Comparator<Member> =
    compareBy<Member> { if (it.status.isFinal) it.status.ordinal else 0 }
        .thenBy { it.version }
        .thenBy { it.status.ordinal }

/** Returns this record or [other], a record of the same member, whichever takes precedence. */
public fun Member.merge(other: Member): Member =
    if (precedence.compare(other, this) > 0) other else this
