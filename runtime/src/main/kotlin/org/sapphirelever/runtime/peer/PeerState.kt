/*
 * What one host shares with its peers: the cells of membership, configuration and targets, and
 * what the last heartbeat of each peer said.
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

/** Last heartbeat of a peer, received at [heardAt]. */
public data class PeerReport(
    public val revision: Revision,
    public val announced: Revision,
    public val ready: Boolean,
    public val tableHash: Long,
    public val heardAt: MonotonicTime
) {
    public companion object {
        /**
         * Age at which a report tells nothing of the present: three heartbeats. Links move as
         * members join, and the last report of a peer that lost its link stays as it was.
         */
        public val VALIDITY: Duration = 6.seconds
    }
}

/** Cells of one host; [own] is the record of its process. */
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
