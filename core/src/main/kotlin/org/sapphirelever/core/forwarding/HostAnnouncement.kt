/*
 * What a forwarding host tells other hosts about itself.
 */
package org.sapphirelever.core.forwarding

import org.sapphirelever.core.Endpoint

/**
 * A host that takes work for others.
 *
 * @property peers address on which other hosts connect
 * @property capacityPercent its size against a host that can make all calls of a service
 */
public data class HostAnnouncement(public val peers: Endpoint, public val capacityPercent: Int)
