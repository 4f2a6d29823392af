/*
 * State that one host shares with its peers: membership, configuration, targets, and the last
 * heartbeat of each peer.
 */
package org.sapphirelever.runtime.peer

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.Revision
import org.sapphirelever.decisions.configuration.ConfigurationState
import org.sapphirelever.decisions.configuration.TargetListState
import org.sapphirelever.decisions.membership.Member
import org.sapphirelever.decisions.membership.MemberId
import org.sapphirelever.decisions.membership.MembershipState
import org.sapphirelever.runtime.StateCell

/** Content of the last heartbeat of a peer, received at [receivedAt]. */
public data class PeerReport(
    public val revision: Revision,
    public val announced: Revision,
    public val ready: Boolean,
    public val tableHash: Long,
    public val receivedAt: MonotonicTime
) {
    public companion object {
        /**
         * Age from which a report is out of date: three heartbeat intervals. Links change as
         * members join, and the last report of a peer without a link is no longer updated.
         */
        public val VALIDITY: Duration = 6.seconds
    }
}

/** State cells of one host; [own] is the member record of its process. */
public class PeerState(
    own: Member,
    public val clock: MonotonicClock,
    public val configuration: StateCell<ConfigurationState> = StateCell(ConfigurationState()),
    public val targets: StateCell<TargetListState> = StateCell(TargetListState())
) {
    public val membership: StateCell<MembershipState> =
        StateCell(MembershipState.starting(own, clock.now()))

    public val reports: StateCell<PersistentMap<MemberId, PeerReport>> =
        StateCell(persistentMapOf())
}
