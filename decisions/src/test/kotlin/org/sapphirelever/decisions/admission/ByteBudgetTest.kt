package org.sapphirelever.decisions.admission

import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against messages that together hold more memory than the budget has. */
class ByteBudgetTest {
    private data class Case(val before: Long, val after: Long, val isGranted: Boolean)

    private val cases =
        listOf(
            Case(before = 0, after = 60, isGranted = true),
            Case(before = 0, after = 50, isGranted = false),
            Case(before = 0, after = 40, isGranted = true),
            Case(before = 60, after = 61, isGranted = false),
            Case(before = 60, after = 10, isGranted = true),
            Case(before = 0, after = 50, isGranted = true),
            Case(before = 90, after = 0, isGranted = true)
        )

    @Test
    fun `a holding grows only within the budget`() {
        var budget = ByteBudget(capacity = 100)
        for (case in cases) {
            val decision = budget.resized(case.before, case.after)
            assertEquals(case.isGranted, decision.actions.isNotEmpty(), "$case")
            budget = decision.state
        }
        assertEquals(10, budget.held)
    }
}
