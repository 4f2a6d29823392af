/*
 * Reads of the platform. In each data centre one host under a lease keeps a watch on the
 * configuration and reads the host list; the others learn both over the links. The load on the
 * platform depends on the number of data centres and not on that of hosts.
 */
package org.sapphirelever.runtime.feed

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.TargetId
import org.sapphirelever.decisions.configuration.targetsFor
import org.sapphirelever.decisions.membership.ownIsReaderCandidate
import org.sapphirelever.decisions.routing.Target
import org.sapphirelever.runtime.lease.LeaseHolder
import org.sapphirelever.runtime.peer.PeerProtocol
import org.sapphirelever.runtime.store.ListedHost
import org.sapphirelever.runtime.store.Platform

/** Reader of the platform for the data centre of this host, while it holds the lease. */
public class ElectedReader(private val platform: Platform, private val protocol: PeerProtocol) {
    private val clock = protocol.state.clock
    private val own = protocol.own
    private val lease =
        LeaseHolder(platform, "$LEASE_PREFIX${own.dataCentre}", own.id.incarnation.value, clock)

    /** Contends for the lease, if this host is one of the two candidates, and renews it. */
    public suspend fun elect() {
        while (true) {
            lease.keep(eligible())
            delay(POLL)
        }
    }

    /** Keeps one watch on the document while the lease is held. */
    public suspend fun followDocument() {
        var seen = 0L
        whileHolding {
            val wait = minOf(WATCH_WAIT, remaining())
            val value = platform.watch(CONFIGURATION_KEY, seen, wait)
            if (value == null) {
                delay(READ_INTERVAL)
            } else if (mayAct()) {
                protocol.adopt(value.toConfiguration())
                seen = value.revision
            }
        }
    }

    /** Reads the host list once a second while the lease is held. */
    public suspend fun readHosts() {
        whileHolding {
            val fencing = lease.fencing
            val hosts = platform.hosts()
            if (hosts != null && fencing != null && mayAct()) {
                val targets = targetsFor(own.dataCentre, hosts.map { it.toTarget() })
                protocol.readTargets(fencing.value, targets)
            }
            delay(READ_INTERVAL)
        }
    }

    /** Gives the lease up at a planned stop, so that the other candidate need not wait. */
    public suspend fun release() {
        lease.release()
    }

    private fun eligible(): Boolean = protocol.state.membership.value.ownIsReaderCandidate()

    private suspend fun whileHolding(act: suspend () -> Unit) {
        while (true) if (mayAct()) act() else delay(POLL)
    }

    private fun mayAct(): Boolean = lease.fencing != null

    private fun remaining(): Duration =
        (lease.actUntil ?: MonotonicTime.ZERO).minus(clock.now()).coerceAtLeast(POLL)

    private fun ListedHost.toTarget(): Target = Target(
        id = TargetId(id),
        service = ServiceName(service),
        dataCentre = DataCentre(dataCentre),
        endpoint = Endpoint(address, port),
        leaving = leaving
    )

    private companion object {
        /** Lease of the reader, followed by the name of its data centre. */
        const val LEASE_PREFIX = "sapphirelever/reader/"

        /** A lost reply ends a watch 2 s later, inside the 10 s until a change is in force. */
        val WATCH_WAIT = 5.seconds
        val READ_INTERVAL = 1.seconds
        val POLL = 500.milliseconds
    }
}
