/*
 * Reports of hosts that execute pieces, as messages and as values of decisions.
 */
package org.sapphirelever.runtime.forward

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.ServiceName
import org.sapphirelever.decisions.forwarding.AnnouncedWork
import org.sapphirelever.decisions.forwarding.WaitEstimate
import org.sapphirelever.wire.peer.AnnouncedPiecesMessage
import org.sapphirelever.wire.peer.WaitEstimateMessage
import org.sapphirelever.wire.peer.WorkContinues

/** The keep-alive with these [estimates] and the [announced] work. */
internal fun reportOf(
    estimates: Map<ServiceName, WaitEstimate>,
    announced: AnnouncedWork
): WorkContinues = WorkContinues(
    estimates.map { (service, estimate) ->
        WaitEstimateMessage(
            service = service.value,
            waitMillis = estimate.waits.inMillis(),
            postponedMillis = estimate.postponedWaits.inMillis(),
            piecesPerMilli = estimate.piecesPerMilli ?: 0.0
        )
    },
    announced.pieces.map { (service, counts) -> AnnouncedPiecesMessage(service.value, counts) }
)

/** The estimate that arrived at [now]. */
internal fun WaitEstimateMessage.toWaitEstimate(now: MonotonicTime): WaitEstimate {
    val waits = waitMillis.inDurations()
    return WaitEstimate(
        waits = waits,
        at = now,
        // A host of the previous version reports no postponed pieces and no rate.
        postponedWaits = postponedMillis.inDurations().ifEmpty { waits }.toPersistentMap(),
        piecesPerMilli = piecesPerMilli.takeIf { it > 0 }
    )
}

/** The announced work that arrived at [now]. */
internal fun WorkContinues.toAnnouncedWork(now: MonotonicTime): AnnouncedWork = AnnouncedWork(
    announced.associate {
        ServiceName(it.service) to it.pieces.toPersistentMap()
    }.toPersistentMap(),
    now
)

private fun Map<Int, Duration>.inMillis(): Map<Int, Long> = mapValues {
    it.value.inWholeMilliseconds
}

private fun Map<Int, Long>.inDurations(): PersistentMap<Int, Duration> =
    mapValues { it.value.milliseconds }.toPersistentMap()
