package org.sapphirelever.decisions.lease

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import org.sapphirelever.core.FencingNumber
import org.sapphirelever.core.MonotonicTime

/** Guards against a holder that acts after its lease has ended, for example after a pause. */
class LeaseStateTest {
    private val start = MonotonicTime.ZERO
    private val fencing = FencingNumber(3)
    private val held = LeaseState().on(LeaseEvent.Granted(fencing, start, start)).state

    @Test
    fun `the holder may act from the call until five seconds before the end`() {
        val cases = listOf(0 to true, 9 to true, 10 to false, 15 to false, 600 to false)
        for ((second, acts) in cases) {
            assertEquals(acts, held.mayAct(start + second.seconds), "second $second")
            assertEquals(acts, held.on(LeaseEvent.Unclear).state.mayAct(start + second.seconds))
            assertEquals(false, held.on(LeaseEvent.HeldByOther).state.mayAct(start))
        }
    }

    @Test
    fun `each tick leads to the stated call`() {
        data class Case(
            val state: LeaseState,
            val second: Int,
            val eligible: Boolean,
            val action: LeaseAction?
        )

        val cases = listOf(
            Case(LeaseState(), 0, true, LeaseAction.Acquire),
            Case(LeaseState(), 0, false, null),
            Case(held, 3, true, null),
            Case(held, 4, true, LeaseAction.Renew(fencing)),
            Case(held.copy(nextCall = start + 8.seconds), 4, true, null),
            Case(held, 15, true, LeaseAction.Acquire),
            Case(held, 4, false, LeaseAction.Release(fencing))
        )
        for (case in cases) {
            val event = LeaseEvent.Tick(start + case.second.seconds, case.eligible)
            assertEquals(case.action, case.state.on(event).actions.singleOrNull(), "$case")
        }
    }

    /** Guards against an order of the former holder that arrives after that of the new one. */
    @Test
    fun `a new holder waits after the reply and a renewal keeps the end of the wait`() {
        val timings = LeaseTimings(firstActDelay = 8.seconds)
        val reply = start + 1.seconds
        val granted = LeaseState(timings).on(LeaseEvent.Granted(fencing, start, reply)).state
        val renewal = LeaseEvent.Granted(fencing, start + 3.seconds, start + 3.seconds)
        val again = LeaseEvent.Granted(FencingNumber(4), start + 3.seconds, start + 4.seconds)
        val cases = listOf(
            granted to (9..9),
            granted.on(renewal).state to (9..12),
            granted.on(again).state to (12..12)
        )
        for ((state, seconds) in cases) {
            val acts = (0..30).filter { state.mayAct(start + it.seconds) }
            assertEquals(seconds.toList(), acts, "$state")
        }
    }
}
