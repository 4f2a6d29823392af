/*
 * Measures the CPU time that a host needs for one more crash report, by the number of reports that
 * came before, in one thread. The reports come from as many hosts, or from a fixed number of hosts
 * that report again and again.
 */
package org.sapphirelever.load.slope

import java.lang.management.ManagementFactory
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlinx.collections.immutable.toPersistentMap
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.TargetIncarnation
import org.sapphirelever.decisions.keys.Fingerprint
import org.sapphirelever.decisions.suspicion.CrashEvidence
import org.sapphirelever.decisions.suspicion.HostEvidence
import org.sapphirelever.decisions.suspicion.ObservedCrash
import org.sapphirelever.decisions.suspicion.RequestTrait

private val start = MonotonicTime.ZERO + 60.minutes

/** What [host] reports of the crashes: traits that all hosts saw, and those of its own requests. */
private fun report(host: Int): HostEvidence {
    val crashes =
        (host until host + CRASHES_PER_REPORT).associate { number ->
            val crash = number % CRASHES
            val shared = (0 until SHARED_TRAITS).map { RequestTrait.ofPromptPart("part$it", it) }
            val own =
                (0 until OWN_TRAITS).map {
                    RequestTrait.ofRequest(Fingerprint.of("request", "$host", "$crash", "$it"))
                }
            TargetIncarnation(TargetId("target-$crash"), 1) to
                ObservedCrash(
                    start + (CRASH_GAP_MILLIS * crash).milliseconds,
                    (shared + own).associate { it.fingerprint to it.depth }.toPersistentMap()
                )
        }
    val survivals =
        (0 until SHARED_TRAITS).associate {
            RequestTrait.ofPromptPart("part$it", it).fingerprint to start
        }
    return HostEvidence(crashes.toPersistentMap(), survivals.toPersistentMap())
}

/** Evidence after the [reports] of as many hosts, of which [hosts] are distinct. */
private fun evidence(reports: Int, hosts: Int): CrashEvidence {
    // Reports after the first one of each host are equal to it.
    return (0 until minOf(reports, hosts)).fold(CrashEvidence()) { all, host ->
        all.received(report(host), start + 1.minutes)
    }
}

/** Mean CPU time of one more report after [reports] of [hosts] hosts, in microseconds. */
private fun costOfReport(reports: Int, hosts: Int): Double {
    val threads = ManagementFactory.getThreadMXBean()
    val known = evidence(reports, hosts)
    val rounds = (ROUND_BUDGET / minOf(reports, hosts)).coerceIn(SHORTEST_ROUNDS, LONGEST_ROUNDS)
    val more = (0 until rounds).map { report(NEW_REPORTS + it) }
    repeat(2) { more.forEach { known.received(it, start + 1.minutes) } }
    val before = threads.currentThreadCpuTime
    more.forEach { known.received(it, start + 1.minutes) }
    return (threads.currentThreadCpuTime - before) / rounds / NANOS_PER_MICRO
}

/** Prints the cost for each of [REPORT_COUNTS], from as many hosts and from [FIXED_HOSTS]. */
public fun main() {
    repeat(WARM_UP_ROUNDS) { costOfReport(FIXED_HOSTS, FIXED_HOSTS) }
    for (reports in REPORT_COUNTS) {
        println(
            "reports %6d  from as many hosts %10.1f us  from %d hosts %10.1f us".format(
                reports,
                costOfReport(reports, reports),
                FIXED_HOSTS,
                costOfReport(reports, FIXED_HOSTS)
            )
        )
    }
}

private val REPORT_COUNTS = listOf(10, 100, 1_000, 10_000)

/** Hosts, crashes of targets and time between them, of a day that a review played. */
private const val FIXED_HOSTS = 62
private const val CRASHES = 17
private const val CRASH_GAP_MILLIS = 2_500

private const val CRASHES_PER_REPORT = 6
private const val SHARED_TRAITS = 4
private const val OWN_TRAITS = 4
private const val NEW_REPORTS = 100_000
private const val ROUND_BUDGET = 20_000
private const val SHORTEST_ROUNDS = 3
private const val LONGEST_ROUNDS = 200
private const val WARM_UP_ROUNDS = 3
private const val NANOS_PER_MICRO = 1_000.0
