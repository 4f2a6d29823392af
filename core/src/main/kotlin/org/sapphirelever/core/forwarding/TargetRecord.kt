/*
 * What the platform publishes about one target.
 */
package org.sapphirelever.core.forwarding

import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.TargetId

/**
 * A target as it registers itself.
 *
 * @property leaving whether it announces its shutdown
 * @property startedAt time of its start on its own wall clock, in milliseconds; a target that
 *   starts again under the same identity has another one
 */
public data class TargetRecord(
    public val id: TargetId,
    public val service: ServiceName,
    public val endpoint: Endpoint,
    public val dataCentre: DataCentre,
    public val slots: Int,
    public val leaving: Boolean,
    public val startedAt: Long? = null
)
