/*
 * Targets that may take work after changes of records and outages of the store.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.TargetIncarnation

class TargetDirectoryTest {
    private data class Case(
        val name: String,
        val directory: TargetDirectory,
        val now: Long,
        val expected: Set<String>
    )

    private val both = TargetDirectory().put(target("a"), at(0)).put(target("b"), at(0))

    /** Guards against work for leaving targets, and against losing all targets in an outage. */
    private val cases =
        listOf(
            Case("listed", both, 0, setOf("a", "b")),
            Case("leaving", both.put(target("a", leaving = true), at(0)), 0, setOf("b")),
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
                both.put(target("a", leaving = true), at(0)).storeLost(at(0)),
                0,
                setOf("b")
            ),
            Case("stated that it leaves", both.departed("a"), 0, setOf("b")),
            Case(
                "stated, then listed once more",
                both.departed("a").put(target("a"), at(0)),
                0,
                setOf("b")
            ),
            Case(
                "stated, then restarted",
                both.departed("a").put(target("a").copy(startedAt = 2), at(0)),
                0,
                setOf("a", "b")
            ),
            Case(
                "restarted, then its earlier record again",
                both.put(target("a", startedAt = 1), at(0))
                    .statedLeaving(target("a", startedAt = 1).incarnation, at(0))
                    .put(target("a", startedAt = 2), at(0))
                    .put(target("a", startedAt = 1), at(0)),
                0,
                setOf("a", "b")
            ),
            Case(
                "restarted without start times, then its earlier record again",
                both.departed("a").put(target("a", startedAt = 2), at(0)).put(target("a"), at(0)),
                0,
                setOf("b")
            ),
            Case(
                "stated by an earlier run",
                both.put(target("a").copy(startedAt = 2), at(0)).departed("a"),
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
                both.removed(TargetId("a"), at(0)).put(target("a"), at(0)),
                0,
                setOf("a", "b")
            ),
            Case(
                "listing without it",
                both.listed(listOf(target("b")), clockReading(0)),
                0,
                setOf("b")
            ),
            Case("in an emptied data centre", both.emptied(KRAKOW), 0, emptySet()),
            Case("another data centre is emptied", both.emptied(TARNOW), 0, setOf("a", "b")),
            Case(
                "one of two data centres is emptied",
                both.put(target("b", TARNOW), at(0)).emptied(KRAKOW),
                0,
                setOf("b")
            ),
            Case(
                "listed after the data centre was emptied",
                TargetDirectory().emptied(KRAKOW).put(target("a"), at(0)),
                0,
                emptySet()
            ),
            Case(
                "emptied before an outage",
                both.emptied(KRAKOW).storeLost(at(0)),
                90_000,
                emptySet()
            ),
            Case(
                "emptied and taken back",
                both.emptied(KRAKOW).emptied(KRAKOW, isEmptied = false, revision = 6),
                0,
                setOf("a", "b")
            ),
            Case(
                "missing for long",
                both.removed(TargetId("a"), at(0)).storeAnswered(at(60_000)),
                60_000,
                setOf("b")
            )
        )

    /** A record of the target "a" with its number, after which it is or is not usable. */
    private data class Written(
        val startedAt: Long?,
        val sequence: Long?,
        val leaving: Boolean = false,
        val isRemoval: Boolean = false
    )

    private data class OrderCase(val name: String, val usable: Boolean, val read: List<Written>)

    private val ready = Written(startedAt = 5, sequence = 4)
    private val leaves = Written(startedAt = 5, sequence = 6, leaving = true)
    private val removal = Written(startedAt = null, sequence = null, isRemoval = true)
    private val orderCases =
        listOf(
            OrderCase("leaves", false, listOf(ready, leaves)),
            OrderCase("late record", false, listOf(ready, leaves, ready)),
            OrderCase("same number", false, listOf(ready, leaves, ready.copy(sequence = 6))),
            OrderCase("later record", true, listOf(ready, leaves, ready.copy(sequence = 7))),
            OrderCase(
                "late record without a number",
                false,
                listOf(leaves, ready.copy(sequence = null))
            ),
            OrderCase(
                "numbers without a start time",
                true,
                listOf(leaves.copy(startedAt = null), ready.copy(startedAt = null))
            ),
            OrderCase("restart", true, listOf(leaves, Written(startedAt = 9, sequence = 1))),
            OrderCase(
                "late record of an earlier run",
                false,
                listOf(Written(startedAt = 9, sequence = 1, leaving = true), ready)
            ),
            OrderCase("late record after the removal", false, listOf(leaves, removal, ready)),
            OrderCase(
                "removed, then written again",
                true,
                listOf(ready, removal, ready.copy(sequence = 5))
            ),
            OrderCase("late departure", true, listOf(ready.copy(sequence = 7), leaves))
        )

    /** Guards against work for a target whose earlier record the store executes late. */
    @Test
    fun `a record that the target wrote earlier changes nothing`() {
        for (case in orderCases) {
            val ways =
                mapOf<String, TargetDirectory.(Written) -> TargetDirectory>(
                    "changes" to
                        {
                            if (it.isRemoval) {
                                removed(
                                    TargetId("a"),
                                    at(0)
                                )
                            } else {
                                put(it.record(), at(0))
                            }
                        },
                    "listings" to
                        {
                            listed(
                                listOf(it).filterNot(Written::isRemoval).map { read ->
                                    read.record()
                                },
                                clockReading(0)
                            )
                        }
                )
            for ((way, read) in ways) {
                val directory = case.read.fold(TargetDirectory()) { all, written ->
                    all.read(written)
                }
                assertEquals(
                    case.usable,
                    directory.usable(SERVICE, at(0)).isNotEmpty(),
                    "${case.name}, $way"
                )
            }
        }
    }

    private fun Written.record() =
        target("a", leaving = leaving, startedAt = startedAt).copy(sequence = sequence)

    @Test
    fun `only targets that are listed, or whose record an outage may have expired, take work`() {
        cases.forEach { case ->
            val usable = case.directory.usable(SERVICE, at(case.now)).map { it.id.value }.toSet()
            assertEquals(case.expected, usable, case.name)
        }
    }

    private data class ColdCase(
        val name: String,
        val directory: TargetDirectory,
        val now: Long,
        val expectedMillis: Long
    )

    private val cold = target("a").copy(coldFor = 5.seconds)
    private val warm = TargetDirectory().listed(listOf(target("a")), clockReading(0))

    /** Guards against full load on a target that lost its caches. The period is 3 s. */
    private val coldCases =
        listOf(
            ColdCase("known since the start", warm, 0, 0),
            ColdCase("new", TargetDirectory().put(target("a"), at(0)), 1_000, 2_000),
            ColdCase("new a while ago", TargetDirectory().put(target("a"), at(0)), 3_000, 0),
            ColdCase("says so", warm.put(cold, at(0)), 1_000, 4_000),
            ColdCase(
                "says that it is warm soon after",
                warm.put(cold, at(0)).put(target("a"), at(1_000)),
                1_000,
                4_000
            ),
            ColdCase("written again", warm.put(cold, at(0)).put(cold, at(2_000)), 2_000, 5_000),
            ColdCase(
                "listed again",
                warm.put(cold, at(0)).listed(listOf(cold), clockReading(2_000)),
                2_000,
                3_000
            ),
            ColdCase(
                "mistaken time",
                warm.put(target("a").copy(coldFor = Duration.INFINITE), at(0)),
                0,
                60_000
            ),
            ColdCase(
                "stated in an answer",
                warm.statedCold(target("a").incarnation, 2.seconds, at(0)),
                500,
                1_500
            ),
            ColdCase(
                "missing, then back",
                warm.removed(TargetId("a"), at(0)).put(target("a"), at(5_000)),
                6_000,
                2_000
            ),
            ColdCase(
                "back after an outage of the store",
                warm.storeLost(at(0)).removed(TargetId("a"), at(1)).storeAnswered(at(2))
                    .put(target("a"), at(1_000)),
                1_000,
                0
            ),
            ColdCase(
                "started shortly before this host",
                TargetDirectory().listed(
                    listOf(target("a", startedAt = 8_000)),
                    clockReading(0, wall = 9_000)
                ),
                500,
                1_500
            ),
            ColdCase(
                "started in the future of this host",
                TargetDirectory().listed(
                    listOf(target("a", startedAt = 99_000)),
                    clockReading(0, wall = 9_000)
                ),
                500,
                2_500
            ),
            ColdCase(
                "connection lost",
                warm.connectionLost(target("a").incarnation),
                0,
                0
            ),
            ColdCase(
                "connection lost, then opened",
                warm.connectionLost(target("a").incarnation)
                    .put(target("a"), at(500))
                    .connectionOpened(target("a").incarnation, at(1_000))
                    .connectionOpened(target("a").incarnation, at(1_500)),
                2_000,
                2_000
            ),
            ColdCase(
                "connection opened",
                warm.connectionOpened(target("a").incarnation, at(1_000)),
                1_000,
                0
            ),
            ColdCase("emptied", warm.emptied(KRAKOW), 0, 0),
            ColdCase(
                "emptied and taken back",
                warm.emptied(KRAKOW).emptied(KRAKOW, isEmptied = false, revision = 6),
                1_000,
                2_000
            )
        )

    @Test
    fun `a target counts as cold while it says so and after it may have turned cold`() {
        coldCases.forEach { case ->
            val listed = case.directory.targets.values.single().record
            val remaining = case.directory.coldFor(listed, 3.seconds, at(case.now))
            assertEquals(case.expectedMillis, remaining.inWholeMilliseconds, case.name)
        }
        val restarted = warm.put(cold, at(0)).put(target("a", startedAt = 2), at(0))
        assertEquals(Duration.ZERO, restarted.coldFor(target("a"), 3.seconds, at(0)), "replaced")
    }

    private fun TargetDirectory.emptied(
        dataCentre: DataCentre,
        isEmptied: Boolean = true,
        revision: Long = 5
    ): TargetDirectory =
        copy(evacuations = evacuations.changed(dataCentre, isEmptied, position(revision), at(0)))

    private fun TargetDirectory.departed(id: String): TargetDirectory =
        statedLeaving(target(id).incarnation, at(0))
}
