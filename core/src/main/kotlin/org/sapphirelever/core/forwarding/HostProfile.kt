/*
 * Settings that a forwarding host reads before it starts.
 */
package org.sapphirelever.core.forwarding

import kotlin.time.Duration
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.HostId

/**
 * Requests that a cold target bears in any second: its rate times [overshoot] plus [slack]. Without
 * a setting it bears no more than its rate.
 */
public data class ColdTolerance(public val overshoot: Double = 1.0, public val slack: Double = 0.0)

/**
 * Settings of one forwarding host.
 *
 * @property callers address for connections of callers
 * @property readiness address for readiness checks of the load balancer
 * @property metrics address of the metrics endpoint
 * @property peers address for connections of other hosts
 * @property store address of the platform's store
 * @property shutdownGracePeriod time between SIGTERM and SIGKILL
 * @property maximumRevocationDelay time within which every host must reject a withdrawn key
 * @property maximumConfigurationDelay time within which a change of the configuration must be in
 *   force at every host that the store reaches
 * @property retryBudgetRatio retries that all hosts may make in one window, as a share of requests
 * @property retryBudgetExtra retries that all hosts may make in one window beyond that share
 * @property retryBudgetWindow length of the window of the retry budget
 * @property minimumLeaseTtl shortest lease duration that the store grants
 * @property descriptors descriptors that the process may open; null if only its own limit counts
 * @property capacityPercent capacity in percent of a host that can make all calls of a service
 * @property coldTolerance requests that a cold target bears beyond its rate
 */
public data class HostProfile(
    public val host: HostId,
    public val dataCentre: DataCentre,
    public val callers: Endpoint,
    public val readiness: Endpoint,
    public val metrics: Endpoint,
    public val peers: Endpoint,
    public val store: Endpoint,
    public val shutdownGracePeriod: Duration,
    public val maximumRevocationDelay: Duration,
    public val maximumConfigurationDelay: Duration,
    public val retryBudgetRatio: Double,
    public val retryBudgetExtra: Int,
    public val retryBudgetWindow: Duration,
    public val minimumLeaseTtl: Duration,
    public val capacityPercent: Int,
    public val coldTolerance: ColdTolerance = ColdTolerance(),
    public val descriptors: Int? = null
) {
    /** Announcement of this host to the others. */
    public val announcement: HostAnnouncement
        get() = HostAnnouncement(peers, capacityPercent, dataCentre)

    /** This profile with those settings of [other] that take effect without a restart. */
    public fun withBoundsOf(other: HostProfile): HostProfile = copy(
        maximumRevocationDelay = other.maximumRevocationDelay,
        maximumConfigurationDelay = other.maximumConfigurationDelay,
        retryBudgetRatio = other.retryBudgetRatio,
        retryBudgetExtra = other.retryBudgetExtra,
        retryBudgetWindow = other.retryBudgetWindow,
        minimumLeaseTtl = other.minimumLeaseTtl,
        coldTolerance = other.coldTolerance
    )
}
