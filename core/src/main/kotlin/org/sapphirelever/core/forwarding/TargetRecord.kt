/*
 * Record of a target in the platform's store.
 */
package org.sapphirelever.core.forwarding

import kotlin.time.Duration
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.TargetId

/**
 * A target as it registers itself.
 *
 * @property leaving whether it has announced its shutdown
 * @property startedAt start time in milliseconds on the wall clock of the target; it differs after
 *   a restart under the same identity
 * @property coldFor time for which it stays cold, counted from when the record is read
 * @property sequence number of this record among those of the same run of the target
 */
public data class TargetRecord(
    public val id: TargetId,
    public val service: ServiceName,
    public val endpoint: Endpoint,
    public val dataCentre: DataCentre,
    public val slots: Int,
    public val leaving: Boolean,
    public val startedAt: Long? = null,
    public val coldFor: Duration = Duration.ZERO,
    public val sequence: Long? = null
) {
    public val incarnation: TargetIncarnation get() = TargetIncarnation(id, startedAt)
}

/** One run of a target; a target that restarts under its identity has another [startedAt]. */
public data class TargetIncarnation(public val target: TargetId, public val startedAt: Long?)
