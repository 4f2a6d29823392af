/*
 * Pieces that will reach other services from the requests whose pieces this host executes.
 */
package org.sapphirelever.runtime.forward

import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.decisions.forwarding.AnnouncedWork
import org.sapphirelever.decisions.forwarding.adjusted
import org.sapphirelever.decisions.forwarding.takesLongerThanCall
import org.sapphirelever.runtime.StateCell

/** Counts what follows the pieces in execution. */
internal class Announcements(private val state: ForwardingState) {
    private val announced = StateCell(AnnouncedWork(at = MonotonicTime.ZERO))

    /** Announces what follows [pieces] until [execution] ends in whatever way. */
    suspend fun <T> during(pieces: StagePieces, execution: suspend () -> T): T {
        adjust(pieces, 1)
        try {
            return execution()
        } finally {
            adjust(pieces, -1)
        }
    }

    /** The announced work as of now. */
    fun current(): AnnouncedWork = announced.value.copy(at = state.clock.now())

    /**
     * Whether new requests would wait for the announced work of some service. They reach a later
     * stage after a call at the earliest, so that less work than that does not delay them.
     */
    fun isLong(): Boolean = announced.value.pieces.any { (service, counts) ->
        val limits = state.configuration.value.table?.service(service)?.batching
        val targets = state.usableTargets(service).size
        limits != null && limits.takesLongerThanCall(counts.values.sum(), targets)
    }

    private fun adjust(pieces: StagePieces, sign: Int) {
        if (pieces.later.isEmpty()) return
        announced.update { all ->
            pieces.later.entries.fold(all) { work, (service, count) ->
                work.adjusted(service, pieces.rank, sign * count)
            }
        }
    }
}
