/*
 * Targets that may take work after each course of events.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import org.sapphirelever.core.TargetId

class TargetDirectoryTest {
    private data class Case(
        val name: String,
        val directory: TargetDirectory,
        val now: Long,
        val expected: Set<String>
    )

    private val both = TargetDirectory().put(target("a")).put(target("b"))

    /** Guards against work for leaving targets, and against losing all targets in an outage. */
    private val cases =
        listOf(
            Case("listed", both, 0, setOf("a", "b")),
            Case("leaving", both.put(target("a", leaving = true)), 0, setOf("b")),
            Case("removed", both.removed(TargetId("a"), at(0)), 0, setOf("b")),
            Case(
                "removed while the store is away",
                both.storeLost().removed(TargetId("a"), at(0)),
                10_000,
                setOf("a", "b")
            ),
            Case(
                "missing just after the store is back",
                both.storeLost().storeAnswered(at(1_000)).removed(TargetId("a"), at(1_000)),
                2_999,
                setOf("a", "b")
            ),
            Case(
                "still missing two seconds later",
                both.storeLost().storeAnswered(at(1_000)).removed(TargetId("a"), at(1_000)),
                3_000,
                setOf("b")
            ),
            Case(
                "leaving while the store is away",
                both.put(target("a", leaving = true)).storeLost(),
                0,
                setOf("b")
            ),
            Case("back", both.removed(TargetId("a"), at(0)).put(target("a")), 0, setOf("a", "b")),
            Case("listing without it", both.listed(listOf(target("b")), at(0)), 0, setOf("b")),
            Case(
                "forgotten",
                both.removed(TargetId("a"), at(0)).storeAnswered(at(60_000)),
                60_000,
                setOf("b")
            )
        )

    @Test
    fun `only targets that are listed, or that an outage may have hidden, take work`() {
        cases.forEach { case ->
            val usable = case.directory.usable(SERVICE, at(case.now)).map { it.id.value }.toSet()
            assertEquals(case.expected, usable, case.name)
        }
    }
}
