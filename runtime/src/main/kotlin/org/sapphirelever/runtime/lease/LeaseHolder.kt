/*
 * One process as the holder of one lease of the platform: performs the actions that
 * decisions.lease returns and reports whether the process may act as the holder.
 */
package org.sapphirelever.runtime.lease

import org.sapphirelever.core.FencingNumber
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.decisions.lease.LeaseAction
import org.sapphirelever.decisions.lease.LeaseEvent
import org.sapphirelever.decisions.lease.LeaseState
import org.sapphirelever.decisions.lease.LeaseTimings
import org.sapphirelever.decisions.lease.on
import org.sapphirelever.runtime.StateCell
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.runtime.log.logWarning
import org.sapphirelever.runtime.store.LeaseResult
import org.sapphirelever.runtime.store.Platform

/** Holds the lease [name] as [holder], a name that is unique among all processes. */
internal class LeaseHolder(
    private val platform: Platform,
    private val name: String,
    private val holder: String,
    private val clock: MonotonicClock,
    timings: LeaseTimings = LeaseTimings()
) {
    private val cell = StateCell(LeaseState(timings))

    @Volatile
    private var released = false

    /**
     * Fencing number for an operation now, or null if this process may not act. A renewal that was
     * in flight during the release does not permit one.
     */
    val fencing: FencingNumber?
        get() = cell.value.fencingFor(clock.now()).takeUnless { released }

    /** Time until which the holder may act, or null if it holds no lease. */
    val actUntil: MonotonicTime? get() = cell.value.actUntil

    /** Whether the lease is held and has not expired by the clock of this process. */
    val isHeld: Boolean get() = cell.value.isHeld(clock.now())

    /** Acquires or renews the lease when due; releases it if this process is not [eligible]. */
    suspend fun keep(eligible: Boolean) {
        if (!released) tick(eligible)
    }

    /** Releases the lease at a planned stop and never acquires it again. */
    suspend fun release() {
        released = true
        tick(eligible = false)
    }

    private suspend fun tick(eligible: Boolean) {
        val tick = LeaseEvent.Tick(clock.now(), eligible)
        val before = cell.value.held?.fencing
        cell.decide { it.on(tick) }.forEach { perform(it) }
        logChange(before, cell.value.held?.fencing)
    }

    private suspend fun perform(action: LeaseAction) {
        val timeToLive = cell.value.timings.timeToLive
        val sentAt = clock.now()
        val result = when (action) {
            LeaseAction.Acquire -> platform.acquireLease(name, holder, timeToLive)
            is LeaseAction.Renew -> platform.renewLease(name, holder, action.fencing, timeToLive)
            is LeaseAction.Release -> return platform.releaseLease(name, holder, action.fencing)
        }
        val event = when (result) {
            is LeaseResult.Held -> LeaseEvent.Granted(result.fencing, sentAt, clock.now())
            is LeaseResult.HeldByOther -> LeaseEvent.HeldByOther
            is LeaseResult.Unclear -> LeaseEvent.Unclear
        }
        cell.decide { it.on(event) }
    }

    private fun logChange(before: FencingNumber?, after: FencingNumber?) {
        when {
            before == after -> Unit

            after != null ->
                logEvent("lease-held") {
                    "lease" to name
                    "fencing" to after
                }

            released -> logEvent("lease-released") { "lease" to name }

            else -> logWarning("lease-lost") { "lease" to name }
        }
    }
}
