/*
 * What targets state about themselves in their answers: that they leave, or that they want a
 * pause.
 */
package org.sapphirelever.runtime.forward

import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import org.sapphirelever.core.forwarding.TargetIncarnation
import org.sapphirelever.core.forwarding.TargetRecord
import org.sapphirelever.decisions.forwarding.TargetPause
import org.sapphirelever.decisions.forwarding.TargetPauses
import org.sapphirelever.decisions.forwarding.statedCold
import org.sapphirelever.decisions.forwarding.statedLeaving
import org.sapphirelever.runtime.StateCell
import org.sapphirelever.runtime.log.logEvent

/** Records the notices of targets in [state] and decides whether they take calls. */
public class TargetNotices(private val state: ForwardingState) {
    private val pauses = StateCell(TargetPauses())

    /** Number of targets that stated that they leave. */
    public val departures: AtomicLong = AtomicLong()

    /** Number of requests for a pause. */
    public val pauseRequests: AtomicLong = AtomicLong()

    /** Pauses that have not ended. */
    public val currentPauses: Map<TargetIncarnation, TargetPause>
        get() = pauses.value.current(state.clock.now())

    /** Records what [target] stated in [reply], which must be its answer to a call. */
    public fun record(target: TargetRecord, reply: TargetReply) {
        if (reply.isMisdirected || (reply.target != null && reply.target != target.id)) return
        if (reply.isLeaving) recordDeparture(target, reply)
        if (reply.coldFor.isPositive()) recordCold(target, reply.coldFor)
        recordPause(target, reply)
    }

    private fun recordDeparture(target: TargetRecord, reply: TargetReply) {
        val now = state.clock.now()
        if (target.incarnation in state.directory.value.departures) return
        state.directory.update { it.statedLeaving(target.incarnation, now) }
        departures.incrementAndGet()
        logEvent("target-leaving") {
            "target" to target.id
            "service" to target.service
            "started-at" to target.startedAt
            "status" to reply.status
            "listed-leaving" to state.directory.value.targets[target.id]?.record?.leaving
        }
    }

    private fun recordCold(target: TargetRecord, duration: Duration) {
        val now = state.clock.now()
        state.directory.update { it.statedCold(target.incarnation, duration, now) }
    }

    private fun recordPause(target: TargetRecord, reply: TargetReply) {
        when (val pause = reply.pause) {
            PauseRequest.None -> return

            is PauseRequest.Unreadable -> logEvent("pause-unreadable") {
                "target" to target.id
                "text" to pause.text
            }

            is PauseRequest.For -> {
                val now = state.clock.now()
                val changed = pauses.update { it.asked(target.incarnation, pause.duration, now) }
                pauseRequests.incrementAndGet()
                logEvent("target-paused") {
                    "target" to target.id
                    "service" to target.service
                    "asked-ms" to pause.duration.inWholeMilliseconds
                    "pause-ms" to changed.wait(target.incarnation, now).inWholeMilliseconds
                }
            }
        }
    }

    /** Time until the pause of [target] ends; zero if it wants none. */
    public fun pause(target: TargetRecord): Duration =
        pauses.value.wait(target.incarnation, state.clock.now())

    /** Why [target] takes no call now, or null if it does. */
    public fun objection(target: TargetRecord): String? {
        val directory = state.directory.value
        if (directory.isLeaving(target)) return "target leaves"
        if (directory.evacuations.isEmptied(target.dataCentre)) return "data centre is emptied"
        val pause = pause(target)
        return if (pause.isPositive()) "target paused for $pause" else null
    }
}
