/*
 * Requests of all hosts together to one cold target.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.times
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.HostId
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.ColdTolerance
import org.sapphirelever.core.forwarding.HostAnnouncement
import org.sapphirelever.core.forwarding.TargetIncarnation
import org.sapphirelever.core.forwarding.WarmUp
import org.sapphirelever.decisions.rendezvousRank

class ColdShareTest {
    /** [unknown] is the number of hosts that half of the others do not know. */
    private data class Case(
        val rate: Double,
        val tolerance: ColdTolerance,
        val hosts: Int,
        val unknown: Int = 0,
        val isServed: Boolean = true
    )

    private val usual = ColdTolerance(overshoot = 1.5, slack = 5.0)
    private val cases =
        listOf(
            Case(11.0, usual, 1),
            Case(11.0, usual, 3),
            Case(11.0, usual, 87),
            Case(11.0, usual, 87, unknown = 5),
            Case(11.0, usual, 87, unknown = 40),
            Case(11.0, usual, 1_800, unknown = 600),
            Case(2.0, usual, 62, unknown = 20),
            Case(60.0, ColdTolerance(1.2, 2.0), 62, unknown = 20),
            Case(11.0, ColdTolerance(), 87, unknown = 5),
            Case(11.0, ColdTolerance(-1.0, -9.0), 87, unknown = 5),
            Case(0.0, usual, 87, isServed = false)
        )

    /** Guards against a crash of a cold target because hosts count each other differently. */
    @Test
    fun `all hosts together keep the bound in every second after a pause`() {
        cases.forEach { case ->
            val all = List(case.hosts) { HostId("e-$it") }
                .sortedByDescending { rendezvousRank(TARGET.target.value, it.value) }
            val sent = all.flatMapIndexed { index, host ->
                val known = if (index % 2 == 0) all else all.drop(case.unknown)
                val place = SharePlace(known.indexOf(host), known.size)
                sendTimes(coldShareOf(WarmUp(3.seconds, case.rate), case.tolerance, place))
            }
            val most = (0..<STEPS).maxOf { start ->
                sent.count {
                    it >= at(start * STEP_MILLIS) && it - at(start * STEP_MILLIS) < SECOND
                }
            }
            val bound = case.rate * maxOf(case.tolerance.overshoot, 1.0) +
                maxOf(case.tolerance.slack, 0.0)
            assertTrue(most <= bound, "$case: $most requests, bound $bound")
            assertEquals(case.isServed, sent.size >= case.rate && sent.isNotEmpty(), "$case")
        }
    }

    /** Times at which a host with the share [rate] sends, whose tokens have gathered before. */
    private fun sendTimes(rate: Double): List<MonotonicTime> {
        if (rate == 0.0) return emptyList()
        val place = { SharePlace(0, 1) }
        var limits = TargetLimits().started(TARGET, MonotonicTime.ZERO - 9.seconds, rate, place)
        return (0..<STEPS).map { at(it * STEP_MILLIS) }.flatMap { now ->
            generateSequence {
                val decision = limits.take(TARGET, now, rate, place)
                limits = decision.state
                now.takeIf { decision.actions.isNotEmpty() }
            }.toList()
        }
    }

    /** Guards against a cold target that gets more because it names a limit, or less of either. */
    @Test
    fun `the smaller of a stated limit and the cold share holds`() {
        val place = { SharePlace(0, 1) }
        val start = MonotonicTime.ZERO
        val waits = listOf(0.9 to 2.0, 9.0 to 1.0).map { (limit, coldShare) ->
            TargetLimits().heard(TARGET, limit, start)
                .started(TARGET, start, coldShare, place)
                .wait(TARGET, start, coldShare, place)
        }
        assertEquals(
            listOf(1_234.milliseconds, 1.seconds),
            waits.map { it.inWholeMilliseconds }
                .map { it.milliseconds }
        )
    }

    private data class ListCase(
        val name: String,
        val sharing: SharingHosts,
        val now: Long,
        val expected: Set<String>
    )

    private val few = SharingHosts(at(0)).announced(hosts("a", "b", "c"), at(0))
    private val lapsed = few.announced(hosts("a"), at(50_000))

    /** Guards against hosts that all take a greater share while announcements are missing. */
    private val listCases =
        listOf(
            ListCase("announced", few, 0, setOf("a", "b", "c")),
            ListCase("lapsed", lapsed, 59_999, setOf("a", "b", "c")),
            ListCase("gone", lapsed, 60_000, setOf("a")),
            ListCase(
                "announced again",
                lapsed.announced(hosts("a", "c"), at(51_000)),
                60_000,
                setOf("a", "c")
            ),
            ListCase(
                "a further one",
                few.announced(hosts("a", "b", "c", "d"), at(1)),
                1,
                setOf("a", "b", "c", "d")
            )
        )

    @Test
    fun `the list of sharing hosts grows at once and shrinks late`() {
        listCases.forEach { case ->
            val hosts = case.sharing.current(at(case.now)).keys.map { it.value }.toSet()
            assertEquals(case.expected, hosts, case.name)
        }
        assertEquals(
            listOf(false, true),
            listOf(9_999L, 10_000L).map { few.isComplete(at(it)) },
            "a host that has just started"
        )
    }

    private fun hosts(vararg names: String): PersistentMap<HostId, HostAnnouncement> =
        names.associate {
            HostId(it) to HostAnnouncement(Endpoint("127.0.0.1", 1), 100)
        }.toPersistentMap()

    private companion object {
        val TARGET = TargetIncarnation(TargetId("i-1"), 1)
        val SECOND = 1.seconds
        const val STEP_MILLIS = 50L
        const val STEPS = 120
    }
}
