/*
 * Conversion of crash marks between the request path and heartbeats.
 */
package org.sapphirelever.runtime.host

import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.decisions.keys.Fingerprint
import org.sapphirelever.decisions.suspicion.CrashMark as HeldCrashMark
import org.sapphirelever.decisions.suspicion.SuspicionState
import org.sapphirelever.runtime.peer.CrashMark
import org.sapphirelever.runtime.peer.MarkExchange
import org.sapphirelever.runtime.request.RepetitionState

/** Exchanges the marks of [repetition] with ages instead of times: the clocks of hosts differ. */
internal class CrashMarks(
    private val repetition: RepetitionState,
    private val clock: MonotonicClock
) : MarkExchange {
    override fun compose(limit: Int): List<CrashMark> =
        repetition.composeHeartbeatMarks(limit, clock.now()).map {
            CrashMark(it.fingerprint.value, it.target, SuspicionState.VALIDITY - it.validFor)
        }

    override fun receive(marks: List<CrashMark>) {
        if (marks.isEmpty()) return
        val held = marks.map {
            HeldCrashMark(Fingerprint(it.fingerprint), it.target, SuspicionState.VALIDITY - it.age)
        }
        repetition.mergeMarks(held, clock.now())
    }
}
