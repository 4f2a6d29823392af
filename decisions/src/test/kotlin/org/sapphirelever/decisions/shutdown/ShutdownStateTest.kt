package org.sapphirelever.decisions.shutdown

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.sapphirelever.core.ExitCode
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.decisions.shutdown.ShutdownAction.Admit
import org.sapphirelever.decisions.shutdown.ShutdownAction.EndCalls
import org.sapphirelever.decisions.shutdown.ShutdownAction.Exit
import org.sapphirelever.decisions.shutdown.ShutdownAction.Refuse
import org.sapphirelever.decisions.shutdown.ShutdownAction.ReportCutOff
import org.sapphirelever.decisions.shutdown.ShutdownAction.RunSteps
import org.sapphirelever.decisions.shutdown.ShutdownAction.TickAt
import org.sapphirelever.decisions.shutdown.ShutdownEvent.CallArrived
import org.sapphirelever.decisions.shutdown.ShutdownEvent.CallEnded
import org.sapphirelever.decisions.shutdown.ShutdownEvent.Signal
import org.sapphirelever.decisions.shutdown.ShutdownEvent.StepsEnded
import org.sapphirelever.decisions.shutdown.ShutdownEvent.Tick

private data class Step(val second: Int, val event: ShutdownEvent, val actions: List<Any>)

private data class ShutdownCase(val name: String, val phase: ShutdownPhase, val steps: List<Step>)

private fun at(second: Int): MonotonicTime = MonotonicTime.ZERO + second.seconds

private fun step(second: Int, event: ShutdownEvent, vararg actions: Any): Step =
    Step(second, event, actions.toList())

/** Guards against requests that are cut off, refused too early, or never let the host stop. */
class ShutdownStateTest {
    private val cases =
        listOf(
            ShutdownCase(
                "an idle host announces, waits for the balancer, runs its steps and exits",
                ShutdownPhase.STOPPED,
                listOf(
                    step(1, Signal, TickAt(at(6))),
                    step(5, Tick),
                    step(6, Tick, RunSteps),
                    step(7, StepsEnded, Exit(ExitCode.SUCCESS))
                )
            ),
            ShutdownCase(
                "requests run to their end, those after the delay are refused",
                ShutdownPhase.STEPPING,
                listOf(
                    step(0, CallArrived(1, "a"), Admit),
                    step(1, Signal, TickAt(at(6))),
                    step(2, CallArrived(2, "b"), Admit),
                    step(6, Tick, TickAt(at(66))),
                    step(7, CallArrived(3, "c"), Refuse),
                    step(8, CallEnded(3)),
                    step(9, CallEnded(1)),
                    step(60, CallEnded(2), RunSteps)
                )
            ),
            ShutdownCase(
                "a short request is admitted during the drain if it ends before the limit",
                ShutdownPhase.DRAINING,
                listOf(
                    step(0, CallArrived(1, "a"), Admit),
                    step(1, Signal, TickAt(at(6))),
                    step(6, Tick, TickAt(at(66))),
                    step(64, CallArrived(2, "b", 1.seconds), Admit),
                    step(64, CallArrived(3, "c", 2.seconds), Refuse),
                    step(65, CallArrived(4, "d", 1.seconds), Refuse),
                    step(65, CallEnded(1))
                )
            ),
            ShutdownCase(
                "the drain limit ends the calls, and those that do not end are reported",
                ShutdownPhase.STOPPED,
                listOf(
                    step(0, CallArrived(2, "b"), Admit),
                    step(0, CallArrived(1, "a"), Admit),
                    step(0, CallArrived(3, "c"), Admit),
                    step(1, Signal, TickAt(at(6))),
                    step(6, Tick, TickAt(at(66))),
                    step(65, Tick),
                    step(66, Tick, EndCalls, TickAt(at(68))),
                    step(66, CallArrived(4, "d", 1.seconds), Refuse),
                    step(67, CallEnded(3)),
                    step(68, Tick, ReportCutOff("a"), ReportCutOff("b"), RunSteps),
                    step(69, CallEnded(1)),
                    step(69, StepsEnded, Exit(ExitCode.SUCCESS))
                )
            ),
            ShutdownCase(
                "calls that end when told so leave nothing to report",
                ShutdownPhase.STEPPING,
                listOf(
                    step(0, CallArrived(1, "a"), Admit),
                    step(1, Signal, TickAt(at(6))),
                    step(6, Tick, TickAt(at(66))),
                    step(66, Tick, EndCalls, TickAt(at(68))),
                    step(67, CallEnded(1), RunSteps),
                    step(68, Tick)
                )
            ),
            ShutdownCase(
                "a second signal skips the balancer delay and reports each request",
                ShutdownPhase.STOPPED,
                listOf(
                    step(0, CallArrived(1, "a"), Admit),
                    step(1, Signal, TickAt(at(6))),
                    step(2, Signal, ReportCutOff("a"), Exit(ExitCode.CUT_SHORT)),
                    step(3, Signal),
                    step(4, Tick),
                    step(5, StepsEnded)
                )
            ),
            ShutdownCase(
                "a second signal ends the stop steps",
                ShutdownPhase.STOPPED,
                listOf(
                    step(0, Signal, TickAt(at(5))),
                    step(5, Tick, RunSteps),
                    step(6, Signal, Exit(ExitCode.CUT_SHORT)),
                    step(7, StepsEnded)
                )
            )
        )

    @Test
    fun `each event of a shutdown leads to the stated actions`() {
        for (case in cases) {
            var state = ShutdownState(ShutdownTimes(5.seconds, 60.seconds, 2.seconds))
            for (step in case.steps) {
                val decision = state.on(step.event, at(step.second))
                assertEquals(step.actions, decision.actions.toList(), "${case.name}: $step")
                state = decision.state
            }
            assertEquals(case.phase, state.phase, case.name)
        }
    }

    /** Guards against waits that together exceed the time until the process is killed. */
    @Test
    fun `the waits fit into the grace period`() {
        val cases =
            mapOf(
                8.seconds to ShutdownTimes(3.seconds, 4_200.milliseconds),
                4.seconds to ShutdownTimes(1_600.milliseconds, 1_600.milliseconds),
                1.seconds to ShutdownTimes(400.milliseconds, Duration.ZERO)
            )
        for ((gracePeriod, times) in cases) assertEquals(times, ShutdownTimes.within(gracePeriod))
    }

    /** Guards against work that starts although the host stops before its end. */
    @Test
    fun `work must end before the host stops`() {
        val serving = ShutdownState(ShutdownTimes(5.seconds, 60.seconds))
        val stopping = serving.on(Signal, at(1)).state
        assertTrue(serving.hasTimeFor(500.seconds, at(0)))
        assertTrue(stopping.hasTimeFor(64.seconds, at(1)))
        assertFalse(stopping.hasTimeFor(65.seconds, at(1)))
    }
}
