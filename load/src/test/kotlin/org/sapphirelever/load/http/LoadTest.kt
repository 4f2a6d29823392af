package org.sapphirelever.load.http

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.sapphirelever.wire.OutcomeMessage

private data class TallyCase(
    val name: String,
    val outcome: String,
    val answer: String?,
    val latencyMillis: Int,
    val inTime: Long,
    val foreign: Long,
    val allComplete: Boolean
)

/** Guards against arrivals that depend on replies, and against counting foreign answers. */
class LoadTest {
    private val settings =
        LoadSettings(
            rate = 200.0,
            length = 20.seconds,
            pipelines = listOf(Weighted("chat", 9), Weighted("booking", 1)),
            organisations = listOf(Weighted("krakow", 1))
        )

    @Test
    fun `the plan depends only on its seed and keeps rate and mix`() {
        val plan = planLoad(settings)
        assertEquals(plan, planLoad(settings))
        assertTrue(plan != planLoad(settings.copy(seed = 2)))
        assertEquals(plan.sortedBy { it.intendedAt }, plan)
        assertEquals(plan.size, plan.map { it.text }.toSet().size)
        // Four standard deviations around 4000 arrivals, a tenth of which are bookings.
        assertTrue(plan.size in 3747..4253, "${plan.size} arrivals")
        assertTrue(plan.count { it.pipeline == "booking" } in 324..476)
    }

    @Test
    fun `only an own answer within the deadline counts`() {
        val cases =
            listOf(
                TallyCase("own answer", "complete", "a(text-1)", 100, 1, 0, true),
                TallyCase("late", "complete", "a(text-1)", 4001, 0, 0, true),
                TallyCase("foreign answer", "complete", "a(text-2)", 100, 0, 1, false),
                TallyCase("no answer", "complete", null, 100, 0, 1, false),
                TallyCase("refusal", "not-run", null, 100, 0, 0, false)
            )
        for (case in cases) {
            val tally = LoadTally(settings.deadline)
            val planned = PlannedRequest(0, 0.seconds, "chat", "krakow", "text-1")
            val code = if (case.outcome == "complete") "ok" else "overloaded"
            val reply = OutcomeMessage("r", "h", case.outcome, code, answer = case.answer)
            tally.count(SentRequest(planned, reply, case.latencyMillis.milliseconds))
            val result = tally.result()
            assertEquals(case.inTime, result.inTime, case.name)
            assertEquals(case.foreign, result.foreign, case.name)
            assertEquals(case.allComplete, result.allComplete, case.name)
        }
    }
}
