/*
 * Validated settings of an entry host.
 */
package org.sapphirelever.runtime.host

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.HostId
import org.sapphirelever.decisions.burn.Objective

/**
 * Settings of one entry host.
 *
 * @property http address for callers and operators
 * @property peer address for other entry hosts
 * @property balancerDelay time between reporting not ready and refusing new requests
 * @property drainLimit maximum wait for requests in flight at a planned stop
 * @property objective share of requests that should complete within their deadline
 * @property bodyLimit maximum size of a request body, in bytes
 */
public data class HostSettings(
    public val host: HostId,
    public val dataCentre: DataCentre,
    public val http: Endpoint,
    public val peer: Endpoint,
    public val platform: Endpoint,
    public val seeds: List<Endpoint> = emptyList(),
    public val balancerDelay: Duration = 5.seconds,
    public val drainLimit: Duration = 60.seconds,
    public val bodyLimit: Int = DEFAULT_BODY_LIMIT,
    public val randomSeed: Long = 0,
    public val objective: Objective = Objective()
) {
    public companion object {
        /** 4 MiB holds an input document with several photographs encoded as text. */
        public const val DEFAULT_BODY_LIMIT: Int = 4 * 1024 * 1024
    }
}
