/*
 * What a forwarding host learns about itself before it starts.
 */
package org.sapphirelever.core.forwarding

import kotlin.time.Duration
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.HostId

/**
 * Settings of one forwarding host.
 *
 * @property callers address on which callers connect
 * @property readiness address on which the balancer asks whether to send new connections
 * @property metrics address on which metrics are served
 * @property peers address on which other hosts connect
 * @property store address of the platform's store
 * @property stopLimit time between the stop signal and the end of the process by force
 * @property revocationLimit time after which a withdrawn key must not be accepted anywhere
 * @property retryRatio extra calls that all hosts may make, as a share of the requests
 * @property retryExtra extra calls that all hosts may make in a window besides
 * @property retryWindow window of the retry bounds
 * @property leaseFloor shortest lease that the store grants
 * @property capacityPercent size of this host against one that can make all calls of a service
 */
public data class HostProfile(
    public val host: HostId,
    public val dataCentre: DataCentre,
    public val callers: Endpoint,
    public val readiness: Endpoint,
    public val metrics: Endpoint,
    public val peers: Endpoint,
    public val store: Endpoint,
    public val stopLimit: Duration,
    public val revocationLimit: Duration,
    public val retryRatio: Double,
    public val retryExtra: Int,
    public val retryWindow: Duration,
    public val leaseFloor: Duration,
    public val capacityPercent: Int
) {
    /** What this host tells others about itself. */
    public val announcement: HostAnnouncement get() = HostAnnouncement(peers, capacityPercent)

    /** This profile with the bounds of [other] that can change while the host runs. */
    public fun withBoundsOf(other: HostProfile): HostProfile = copy(
        revocationLimit = other.revocationLimit,
        retryRatio = other.retryRatio,
        retryExtra = other.retryExtra,
        retryWindow = other.retryWindow,
        leaseFloor = other.leaseFloor
    )
}
