/*
 * Departure of a host at a planned stop: it hands its key claims over to a successor in its data
 * centre, then announces to the other hosts that it leaves and names the successor.
 */
package org.sapphirelever.runtime.host

import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Incarnation
import org.sapphirelever.decisions.membership.Member
import org.sapphirelever.decisions.membership.MemberStatus
import org.sapphirelever.runtime.keys.KeyedRequests
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.runtime.log.logWarning
import org.sapphirelever.runtime.peer.PeerNetwork

/** Performs the departure; [keyed] is read once, after the last request has ended. */
internal class Departure(
    private val dataCentre: DataCentre,
    private val network: PeerNetwork,
    private val keyed: () -> KeyedRequests
) {
    private var successor: Incarnation? = null

    /** Offers the claims to at most [MAXIMUM_OFFERS] live hosts in turn until one accepts them. */
    suspend fun handOverKeys() {
        val offer = keyed().handOver()
        val acceptingHost = candidates().take(MAXIMUM_OFFERS).firstOrNull {
            network.handOver(offer, it)
        }
        successor = acceptingHost?.id?.incarnation
        if (acceptingHost == null) {
            logWarning("keys-not-handed-over") { "claims" to offer.claims.size }
        } else {
            logEvent("keys-handed-over") {
                "claims" to offer.claims.size
                "successor" to acceptingHost.host
            }
        }
    }

    suspend fun leave() {
        network.leave(successor)
    }

    private fun candidates(): List<Member> {
        val members = network.state.membership.value
        return members.live(dataCentre)
            .filter { it.id != members.own.id && it.status == MemberStatus.ALIVE }
            .sortedBy { it.id }
    }

    private companion object {
        const val MAXIMUM_OFFERS = 3
    }
}
