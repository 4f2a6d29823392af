/*
 * Waiting of one request for targets that are at their request limit or want a pause.
 */
package org.sapphirelever.runtime.forward

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.forwarding.TargetRecord

/** Limits how long a request for [service] waits before its [deadline]. */
internal class LimitWait(
    private val state: ForwardingState,
    private val service: ServiceName,
    private val deadline: MonotonicTime
) {
    private var waited = Duration.ZERO

    private val maximum: Duration
        get() = minOf(MAXIMUM_WAIT, (deadline - state.clock.now()) * WAIT_SHARE)

    /**
     * Time after which the caller should retry, or null if a target will take the request, whose
     * stages take [stageTime] first.
     */
    fun retryAfter(stageTime: Duration): Duration? {
        val wait = state.limitWait(service)
        return if (wait <= stageTime + maximum) null else pause(wait)
    }

    /** Whether all usable targets want a pause. */
    val areAllPaused: Boolean
        get() = state.usableTargets(service).let { targets ->
            targets.isNotEmpty() && targets.all { state.notices.pause(it).isPositive() }
        }

    /**
     * Pause of a caller after a refusal: the remaining [wait] for the first target that wants no
     * requests, else a short one, since the caller may find a share in a limit on another host.
     */
    fun pause(wait: Duration): Duration =
        if (areAllPaused && wait.isFinite()) wait else wait.coerceIn(RETRY_AFTER, MAXIMUM_PAUSE)

    /** Cause of a refusal because no target takes the request now. */
    val cause: String get() = if (areAllPaused) TARGETS_PAUSED else TARGETS_LIMITED

    /** Waits until one of [targets] takes a request again; false if that takes too long. */
    suspend fun await(targets: List<TargetRecord>): Boolean {
        val wait = state.shortestWait(targets)
        if (targets.isEmpty() || waited + wait > maximum) return false
        val pause = wait.coerceAtLeast(POLL_PERIOD)
        waited += pause
        delay(pause)
        return true
    }

    private companion object {
        /** Short compared to the objectives of requests. */
        val MAXIMUM_WAIT = 500.milliseconds

        /** Share of the remaining time that a request may wait. */
        const val WAIT_SHARE = 0.25
        val POLL_PERIOD = 20.milliseconds

        /** Other hosts may have a share in limits in which this one has none. */
        val MAXIMUM_PAUSE = 1.seconds
    }
}
