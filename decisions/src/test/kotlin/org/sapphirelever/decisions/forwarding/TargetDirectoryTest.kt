/*
 * Targets that may take work after changes of records and outages of the store.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.TargetIncarnation

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
                "removed during an outage",
                both.storeLost(at(0)).removed(TargetId("a"), at(0)),
                10_000,
                setOf("a", "b")
            ),
            Case(
                "missing right after the outage",
                both.storeLost(at(0)).storeAnswered(at(1_000)).removed(TargetId("a"), at(1_000)),
                2_999,
                setOf("a", "b")
            ),
            Case(
                "still missing two seconds after the outage",
                both.storeLost(at(0)).storeAnswered(at(1_000)).removed(TargetId("a"), at(1_000)),
                3_000,
                setOf("b")
            ),
            Case(
                "removed before the outage",
                both.removed(TargetId("a"), at(0)).storeLost(at(1_000)),
                1_000,
                setOf("b")
            ),
            Case(
                "missing since an earlier outage",
                both
                    .storeLost(at(0))
                    .storeAnswered(at(1_000))
                    .removed(TargetId("a"), at(1_000))
                    .storeLost(at(9_000)),
                9_000,
                setOf("b")
            ),
            Case(
                "missing when an outage goes on",
                both
                    .storeLost(at(0))
                    .storeAnswered(at(1_000))
                    .removed(TargetId("a"), at(1_000))
                    .storeLost(at(2_000)),
                9_000,
                setOf("a", "b")
            ),
            Case(
                "leaving during an outage",
                both.put(target("a", leaving = true)).storeLost(at(0)),
                0,
                setOf("b")
            ),
            Case("stated that it leaves", both.departed("a"), 0, setOf("b")),
            Case(
                "stated, then listed once more",
                both.departed("a").put(target("a")),
                0,
                setOf("b")
            ),
            Case(
                "stated, then restarted",
                both.departed("a").put(target("a").copy(startedAt = 2)),
                0,
                setOf("a", "b")
            ),
            Case(
                "restarted, then its earlier record again",
                both.departed("a").put(target("a").copy(startedAt = 2)).put(target("a")),
                0,
                setOf("b")
            ),
            Case(
                "stated by an earlier run",
                both.put(target("a").copy(startedAt = 2)).departed("a"),
                0,
                setOf("a", "b")
            ),
            Case(
                "stated, then missing during an outage",
                both.departed("a").storeLost(at(0)).removed(TargetId("a"), at(0)),
                10_000,
                setOf("b")
            ),
            Case(
                "many other targets stated it later",
                (1..3_000).fold(both.departed("a")) { all, number ->
                    all.statedLeaving(
                        TargetIncarnation(TargetId("x-$number"), 1),
                        at(number * 1_000L)
                    )
                },
                0,
                setOf("b")
            ),
            Case(
                "listed again",
                both.removed(TargetId("a"), at(0)).put(target("a")),
                0,
                setOf("a", "b")
            ),
            Case("listing without it", both.listed(listOf(target("b")), at(0)), 0, setOf("b")),
            Case(
                "missing for long",
                both.removed(TargetId("a"), at(0)).storeAnswered(at(60_000)),
                60_000,
                setOf("b")
            )
        )

    @Test
    fun `only targets that are listed, or whose record an outage may have expired, take work`() {
        cases.forEach { case ->
            val usable = case.directory.usable(SERVICE, at(case.now)).map { it.id.value }.toSet()
            assertEquals(case.expected, usable, case.name)
        }
    }

    private fun TargetDirectory.departed(id: String): TargetDirectory =
        statedLeaving(target(id).incarnation, at(0))
}
