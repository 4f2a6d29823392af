/*
 * Evidence of several hosts on the same crashes.
 */
package org.sapphirelever.decisions.suspicion

import java.lang.management.ManagementFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.TargetIncarnation
import org.sapphirelever.decisions.keys.Fingerprint

class CrashIndexTest {
    private data class Report(val atSeconds: Int, val isExact: Boolean)

    private data class Case(
        val name: String,
        val reports: List<Report>,
        val earliest: Int,
        val latest: Int
    )

    /** Guards against the clock of one host that hides the crashes which all others reported. */
    @Test
    fun `the times of a report of unknown age count only alone`() {
        listOf(
            Case("exact", listOf(Report(5, true), Report(4, true), Report(6, true)), 4, 6),
            Case("inexact alone", listOf(Report(5, false), Report(2, false)), 2, 5),
            Case("inexact first", listOf(Report(-200, false), Report(5, true)), 5, 5),
            Case("inexact last", listOf(Report(5, true), Report(300, false)), 5, 5)
        ).forEach { case ->
            val merged = case.reports
                .map { ReportedTime(at(it.atSeconds), at(it.atSeconds), it.isExact) }
                .reduce(ReportedTime::merged)
            val expected = at(case.earliest) to at(case.latest)
            assertEquals(expected, merged.earliest to merged.latest, case.name)
        }
    }

    /** Guards against memory and processor time that grow with each crash ever reported. */
    @Test
    fun `crashes that have expired or are too many are dropped`() {
        val many = (0 until 1_000).fold(CrashIndex()) { all, number ->
            all.added(evidence(number..number, number), at(number))
        }
        assertTrue(many.crashes.size <= 256, "${many.crashes.size}")
        assertTrue(target(999) in many.crashes)
        assertEquals(many.traits.values.flatMap { it.targets }.toSet(), many.crashes.keys.toSet())
        val late = many.added(evidence(2_000..2_000, 0), at(2_000))
        assertEquals(setOf(target(2_000)), late.crashes.keys.toSet())
    }

    /** Guards against a report that makes a host merge all reports again. */
    @Test
    fun `the cost of a report does not grow with the reports before it`() {
        val few = costAfter(reports = 10)
        val many = costAfter(reports = 1_000)
        assertTrue(many < few * MAXIMUM_GROWTH, "$few ns, $many ns")
    }

    /** Least CPU time of one report after [reports] of other requests at the same targets. */
    private fun costAfter(reports: Int): Long {
        val threads = ManagementFactory.getThreadMXBean()
        val known = (0 until reports).fold(CrashEvidence()) { all, number ->
            all.received(evidence(0..5, number), at(60))
        }
        val next = evidence(0..5, reports)
        return (1..ROUNDS).minOf {
            val before = threads.currentThreadCpuTime
            known.received(next, at(60))
            threads.currentThreadCpuTime - before
        }
    }

    /** Crashes of the targets [numbers] a second apart, which ran a request of [host] only. */
    private fun evidence(numbers: IntRange, host: Int): HostEvidence {
        val crashes = numbers.associate { number ->
            val common = RequestTrait.ofPromptPart("common", 0)
            val own = RequestTrait.ofRequest(Fingerprint.of("$host", "$number"))
            val traits = persistentMapOf(common.fingerprint to 0, own.fingerprint to own.depth)
            target(number) to ObservedCrash(at(number), traits)
        }
        return HostEvidence(crashes.toPersistentMap())
    }

    private fun target(number: Int) = TargetIncarnation(TargetId("t$number"), null)

    private fun at(seconds: Int): MonotonicTime = MonotonicTime.ZERO + 60.minutes + seconds.seconds

    private companion object {
        const val ROUNDS = 200
        const val MAXIMUM_GROWTH = 5
    }
}
