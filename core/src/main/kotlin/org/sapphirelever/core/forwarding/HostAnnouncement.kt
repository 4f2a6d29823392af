/*
 * Announcement of a forwarding host to the other hosts.
 */
package org.sapphirelever.core.forwarding

import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint

/**
 * A host that makes stage calls on behalf of others.
 *
 * @property peers address on which it accepts connections of other hosts
 * @property capacityPercent its capacity in percent of a host that can make all calls of a service
 * @property dataCentre its data centre; null if an earlier version announced it
 */
public data class HostAnnouncement(
    public val peers: Endpoint,
    public val capacityPercent: Int,
    public val dataCentre: DataCentre? = null
)
