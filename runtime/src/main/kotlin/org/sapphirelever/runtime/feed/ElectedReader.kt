/*
 * Reads of the platform. In each data centre the host that holds a lease watches the configuration
 * and polls the host list; the others receive both from their peers. The load on the platform thus
 * grows with the number of data centres and not with that of hosts.
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

/** Reads the platform for the data centre of this host while the host holds the lease. */
public class ElectedReader(private val platform: Platform, private val protocol: PeerProtocol) {
    private val clock = protocol.state.clock
    private val own = protocol.own
    private val lease =
        LeaseHolder(platform, "$LEASE_PREFIX${own.dataCentre}", own.id.incarnation.value, clock)

    /** Acquires and renews the lease while this host is one of the two candidates. */
    public suspend fun elect() {
        while (true) {
            lease.keep(isCandidate())
            delay(POLL_INTERVAL)
        }
    }

    /** Watches the configuration document while the lease is held. */
    public suspend fun watchConfiguration() {
        var adoptedRevision = 0L
        whileHolding {
            val wait = minOf(WATCH_WAIT, remainingLease())
            val value = platform.watch(CONFIGURATION_KEY, adoptedRevision, wait)
            if (value == null) {
                delay(READ_INTERVAL)
            } else if (isHolding()) {
                protocol.adopt(value.toConfiguration())
                adoptedRevision = value.revision
            }
        }
    }

    /** Reads the host list every [READ_INTERVAL] while the lease is held. */
    public suspend fun pollHostList() {
        whileHolding {
            val fencing = lease.fencing
            val hosts = platform.hosts()
            if (hosts != null && fencing != null && isHolding()) {
                val targets = targetsFor(own.dataCentre, hosts.map { it.toTarget() })
                protocol.onTargetsRead(fencing.value, targets)
            }
            delay(READ_INTERVAL)
        }
    }

    /** Releases the lease at a planned stop; the other candidate need not wait for its expiry. */
    public suspend fun release() {
        lease.release()
    }

    private fun isCandidate(): Boolean = protocol.state.membership.value.ownIsReaderCandidate()

    private suspend fun whileHolding(action: suspend () -> Unit) {
        while (true) if (isHolding()) action() else delay(POLL_INTERVAL)
    }

    private fun isHolding(): Boolean = lease.fencing != null

    private fun remainingLease(): Duration =
        (lease.actUntil ?: MonotonicTime.ZERO).minus(clock.now()).coerceAtLeast(POLL_INTERVAL)

    private fun ListedHost.toTarget(): Target = Target(
        id = TargetId(id),
        service = ServiceName(service),
        dataCentre = DataCentre(dataCentre),
        endpoint = Endpoint(address, port),
        leaving = leaving
    )

    private companion object {
        /** Prefix of the name of the reader lease, which ends with the name of the data centre. */
        const val LEASE_PREFIX = "sapphirelever/reader/"

        /** A lost reply ends a watch 2 s later, within the 10 s for a change to take effect. */
        val WATCH_WAIT = 5.seconds
        val READ_INTERVAL = 1.seconds
        val POLL_INTERVAL = 500.milliseconds
    }
}
