package org.sapphirelever.decisions.burn

import kotlin.math.abs
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private val SLOW = BurnCause("generate", "deadline-exceeded")
private val LOST = BurnCause("rerank", "target-lost")

private data class Minute(val minute: Long, val met: Int, val missed: Map<BurnCause, Int>)

private data class BurnCase(
    val name: String,
    val minutes: List<Minute>,
    val rates: List<Double>,
    val budgetLeft: Double,
    val causes: List<Pair<BurnCause, Long>>
)

/** Guards against burn rates over the wrong window and misses counted for the wrong cause. */
class BurnHistoryTest {
    private val cases =
        listOf(
            BurnCase("no request", emptyList(), listOf(0.0, 0.0, 0.0), 1.0, emptyList()),
            BurnCase(
                "an old miss shows only in the long window",
                listOf(Minute(500, 99, mapOf(LOST to 1)), Minute(1000, 100, emptyMap())),
                listOf(0.0, 0.0, 0.0),
                1.0,
                emptyList()
            ),
            BurnCase(
                "a sudden burn in the last minutes",
                listOf(
                    Minute(700, 890, emptyMap()),
                    Minute(996, 80, mapOf(SLOW to 15, LOST to 5)),
                    Minute(1000, 10, emptyMap())
                ),
                listOf(18.18, 18.18, 2.0),
                -1.0,
                listOf(SLOW to 15L, LOST to 5L)
            ),
            BurnCase(
                "the edge of the five-minute window",
                listOf(Minute(995, 0, mapOf(LOST to 1)), Minute(996, 99, mapOf(SLOW to 1))),
                listOf(1.0, 1.98, 1.98),
                -0.98,
                listOf(SLOW to 1L, LOST to 1L).sortedBy { it.first.stage }
            )
        )

    @Test
    fun `windows, budget and causes follow the counts`() {
        for (case in cases) {
            // Two hosts saw one half each; their sum must give the same report.
            val halves =
                List(2) { half -> case.minutes.fold(BurnHistory()) { sum, m -> sum.add(m, half) } }
            val report = (halves[0] + halves[1]).report(Objective(), now = 1000)
            report.windows.zip(case.rates).forEach { (window, rate) ->
                assertTrue(abs(window.rate - rate) < 0.01, "${case.name}: $window, not $rate")
            }
            assertTrue(abs(report.budgetLeft - case.budgetLeft) < 0.01, case.name)
            assertEquals(case.causes, report.causes.map { it.cause to it.missed }, case.name)
        }
    }

    @Test
    fun `the history stays bounded and its decisions stay in order`() {
        var history = BurnHistory()
        repeat(1000) { minute ->
            history = history.withRequest(minute.toLong(), null)
            history =
                history.withDecision(RecordedDecision(minute.toLong(), "host", "revision $minute"))
        }
        assertEquals(BurnHistory.KEPT_MINUTES, history.minutes.size)
        val merged = (history + history).report(Objective(), now = 999).decisions
        assertEquals(2 * BurnHistory.KEPT_DECISIONS, merged.size)
        assertEquals(merged.sortedBy { it.minute }, merged)
    }

    private fun BurnHistory.add(minute: Minute, half: Int): BurnHistory {
        val causes =
            List(minute.met) { null } + minute.missed.flatMap { (cause, n) -> List(n) { cause } }
        return causes
            .filterIndexed { index, _ -> index % 2 == half }
            .fold(this) { history, cause -> history.withRequest(minute.minute, cause) }
    }
}
