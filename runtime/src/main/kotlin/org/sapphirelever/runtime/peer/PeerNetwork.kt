/*
 * Assembly of the parts of one host that handle other entry hosts and the configuration in force.
 */
package org.sapphirelever.runtime.peer

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.Dispatchers
import org.sapphirelever.core.Incarnation
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.TargetId
import org.sapphirelever.decisions.membership.Member
import org.sapphirelever.decisions.membership.MemberId
import org.sapphirelever.decisions.routing.Target
import org.sapphirelever.runtime.feed.ElectedReader
import org.sapphirelever.runtime.feed.StartingConfiguration
import org.sapphirelever.runtime.host.HostSettings
import org.sapphirelever.runtime.keys.KeyHandoverOffer
import org.sapphirelever.runtime.keys.KeyMessageHandler
import org.sapphirelever.runtime.store.Platform
import org.sapphirelever.runtime.supervision.SupervisorBuilder

/** Links to peers, membership and configuration of the process with [incarnation]. */
public class PeerNetwork(
    private val settings: HostSettings,
    incarnation: Incarnation,
    platform: Platform,
    clock: MonotonicClock,
    marks: MarkExchange = MarkExchange.None,
    onTargets: (Map<TargetId, Target>) -> Unit = {}
) {
    public val state: PeerState = PeerState(
        Member(
            MemberId(incarnation),
            settings.host,
            settings.dataCentre,
            settings.peer,
            settings.http
        ),
        clock
    )
    public val protocol: PeerProtocol = PeerProtocol(state, marks, onTargets)

    /** Handler of messages about keys, which the request path sets before the links start. */
    @Volatile
    public var keyMessageHandler: KeyMessageHandler? = null

    private val selector = SelectorManager(Dispatchers.IO)
    private val seeds = settings.seeds.filter { it != settings.peer }
    private val links = PeerLinks(protocol, selector, seeds) { keyMessageHandler }
    private val reader = ElectedReader(platform, protocol)

    /** Forwards requests to the owners of their keys. */
    public val keys: PeerKeys = PeerKeys(protocol, selector)

    private val starting = StartingConfiguration(platform, protocol) {
        if (seeds.isNotEmpty()) links.firstReport.await()
    }

    /** Declares the children of the supervisor `membership`. */
    public fun membership(builder: SupervisorBuilder) {
        builder.child("listener") { links.listen(settings.peer) }
        builder.child("links") { links.link() }
        builder.child("failure-detector") { links.detectFailures() }
    }

    /** Declares the children of the supervisor `configuration`. */
    public fun configuration(builder: SupervisorBuilder) {
        builder.child("starting") { starting.run() }
        builder.child("election") { reader.elect() }
        builder.child("document") { reader.watchConfiguration() }
        builder.child("target-list") { reader.pollHostList() }
    }

    /** Offers the claims of a stopping host to [successor]; returns whether it accepted them. */
    public suspend fun handOver(offer: KeyHandoverOffer, successor: Member): Boolean =
        keys.handOver(offer, successor)

    /** Leaves at a planned stop: releases the reader lease and notifies the peers. */
    public suspend fun leave(successor: Incarnation? = null) {
        reader.release()
        protocol.leave(successor)
        links.announceLeaving()
    }
}
