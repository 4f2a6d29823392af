package org.sapphirelever.decisions.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.sapphirelever.core.MonotonicTime

class StoreWatchTest {
    private data class Confirmation(
        val name: String,
        val wait: Int,
        val took: Int,
        val hasChanges: Boolean,
        val confirmedAfter: Int
    )

    /** Guards against a configuration that counts as confirmed before the store looked at it. */
    @Test
    fun `an answer confirms no more than the store is certain to have seen`() {
        listOf(
            Confirmation("no wait", 0, 4, hasChanges = false, confirmedAfter = 0),
            Confirmation("whole wait", 1_700, 1_704, hasChanges = false, confirmedAfter = 700),
            Confirmation("short wait", 600, 604, hasChanges = false, confirmedAfter = 0),
            Confirmation("early answer", 1_700, 900, hasChanges = false, confirmedAfter = 0),
            Confirmation("change at the end", 1_700, 1_690, hasChanges = true, confirmedAfter = 0),
            Confirmation("late change", 1_700, 2_400, hasChanges = true, confirmedAfter = 0)
        ).forEach { case ->
            val call =
                WatchCall(at(0), at(case.took), case.wait.milliseconds, case.hasChanges)
            assertEquals(at(case.confirmedAfter), call.confirmedAt, case.name)
        }
    }

    /** Guards against a host that is not ready because it waited for changes for too long. */
    @Test
    fun `a wait ends before the configuration is too old to be ready`() {
        val cases =
            listOf(
                Triple(null, 5.seconds, 1.milliseconds),
                Triple(0.seconds, 5.seconds, 1_700.milliseconds),
                Triple(1.seconds, 5.seconds, 1_700.milliseconds),
                Triple(1_700.milliseconds, 5.seconds, 1.seconds),
                Triple(4.seconds, 5.seconds, 1.milliseconds),
                Triple(1.seconds, 3.seconds, 700.milliseconds)
            )
        cases.forEach { (age, revocationDelay, expected) ->
            assertEquals(expected, watchWait(age, maximumReadyAge(revocationDelay)), "$age")
        }
    }

    /** Guards against reading every version of an entry over a link that carries only the last. */
    @Test
    fun `a listing replaces an answer that is longer`() {
        listOf(
            Triple(1_000_000L, 250_000L, true),
            Triple(250_000L, 250_000L, false),
            Triple(250_001L, 250_000L, true),
            Triple(131_072L, 2_000L, false),
            Triple(131_073L, 2_000L, true)
        ).forEach { (answer, listing, isShorter) ->
            assertEquals(isShorter, isListingShorter(answer, listing), "$answer, $listing")
        }
    }

    private data class Pause(
        val name: String,
        val busyCalls: Int,
        val wait: Int,
        val took: Int,
        val hasChanges: Boolean,
        val pause: Int
    )

    /** Guards against calls whose number grows with the changes of others, or without a wait. */
    @Test
    fun `the rate of calls is bounded`() {
        listOf(
            Pause("first change", 0, 1_700, 300, hasChanges = true, pause = 100),
            Pause("third change", 2, 1_700, 4, hasChanges = true, pause = 300),
            Pause("many changes", 40, 1_700, 4, hasChanges = true, pause = 700),
            Pause("no change any more", 40, 1_700, 1_704, hasChanges = false, pause = 0),
            Pause("a store that does not wait", 0, 1_700, 4, hasChanges = false, pause = 700),
            Pause("a short wait", 0, 1, 4, hasChanges = false, pause = 246)
        ).forEach { case ->
            val call = WatchCall(at(0), at(case.took), case.wait.milliseconds, case.hasChanges)
            val schedule = WatchSchedule(case.busyCalls).after(call)
            assertEquals(case.pause.milliseconds, schedule.pause, case.name)
        }
    }

    private fun at(millis: Int): ClockReading =
        ClockReading(MonotonicTime.ZERO + millis.milliseconds, millis.toLong())
}
