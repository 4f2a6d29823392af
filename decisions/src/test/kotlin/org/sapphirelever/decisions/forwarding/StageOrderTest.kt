/*
 * Order of stages and the shared retry budget.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.toPersistentList
import org.sapphirelever.core.forwarding.RouteStage

class StageOrderTest {
    private data class Case(
        val name: String,
        val after: List<List<Int>>,
        val counts: List<Int>,
        val expected: List<Set<Int>>
    )

    /** Guards against large results that occupy capacity while a long chain runs. */
    private val cases =
        listOf(
            Case("one", listOf(emptyList()), listOf(1), listOf(emptySet())),
            Case(
                "chain",
                listOf(emptyList(), listOf(0)),
                listOf(1, 1),
                listOf(emptySet(), setOf(0))
            ),
            Case(
                "a single stage starts with the last one of a chain",
                listOf(emptyList(), emptyList(), listOf(1), listOf(2)),
                listOf(1, 1, 6, 10),
                listOf(setOf(1, 2), emptySet(), setOf(1), setOf(1, 2))
            ),
            Case(
                "stages without pieces delay no other",
                listOf(emptyList(), emptyList(), listOf(1)),
                listOf(1, 0, 0),
                listOf(emptySet(), emptySet(), setOf(1))
            )
        )

    @Test
    fun `a stage starts as late as the longest chain permits`() {
        cases.forEach { case ->
            val stages = case.after.map { RouteStage(SERVICE, it.toPersistentList()) }
            assertEquals(case.expected, stagePredecessors(stages, case.counts), case.name)
        }
    }

    @Test
    fun `all hosts together stay within the retry budget`() {
        val bounds = RetryBounds(ratio = 0.2, allowance = 52, window = 10.seconds)
        for (hosts in listOf(1, 6, 8, 60)) {
            var budget = SharedRetryBudget(bounds).counted(SERVICE, at(0), requests = 100)
            var retries = 0
            while (budget.permits(SERVICE, hosts, at(0))) {
                budget = budget.counted(SERVICE, at(0), retries = 1)
                retries++
            }
            // The requests of each host earn 20 retries; the fixed allowance is shared.
            assert(retries * hosts <= 20 * hosts + 52) { "$hosts hosts made $retries retries each" }
        }
    }

    @Test
    fun `requests outside the window earn no retries`() {
        val bounds = RetryBounds(ratio = 0.2, allowance = 0, window = 10.seconds)
        val budget = SharedRetryBudget(bounds).counted(SERVICE, at(0), requests = 1_000)
        assertEquals(true, budget.permits(SERVICE, 6, at(5_000)))
        assertEquals(false, budget.permits(SERVICE, 6, at(12_000)))
    }
}
