package org.sapphirelever.decisions.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.times
import kotlinx.collections.immutable.persistentMapOf
import org.sapphirelever.core.HostId
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.TargetIncarnation
import org.sapphirelever.decisions.rendezvousRank

/** Guards against hosts that together exceed the limit of a target, and against one that lasts. */
class TargetLimitsTest {
    /**
     * @property unknown number of hosts that half of the others do not know
     * @property sent whether requests are sent at all
     */
    private data class Case(
        val limit: Double,
        val hosts: Int,
        val unknown: Int = 0,
        val sent: Boolean = true
    )

    private val cases =
        listOf(
            Case(0.0, 6, sent = false),
            Case(0.5, 6),
            Case(1.0, 1),
            Case(1.0, 62, unknown = 1),
            Case(1.0, 1_800),
            Case(1.9, 6, unknown = 1),
            Case(2.2, 6, unknown = 1),
            Case(10.0, 62, unknown = 3),
            Case(100.0, 62, unknown = 3),
            Case(100.0, 1_800, unknown = 20)
        )

    @Test
    fun `all hosts together keep the limit of a target, also if they know different hosts`() {
        cases.forEach { case ->
            val all = List(case.hosts) { HostId("e-$it") }.inOrder()
            val sends = all.flatMapIndexed { index, host ->
                // The hosts that are unknown come first in the order, where they change most.
                val known = if (index % 2 == 0) all else all.drop(case.unknown)
                if (host in known) sendTimes(case.limit, known, host) else emptyList()
            }
            val most = (0..STEPS).maxOf { start ->
                sends.count { it in start * STEP..<start * STEP + WINDOW }
            }
            val allowed = case.limit * TOLERANCE * WINDOW_SECONDS + EXTRA
            assertTrue(most <= allowed, "$case: $most requests, allowed $allowed")
            if (case.sent) assertTrue(sends.size >= DURATION_SECONDS * case.limit / 2, "$case")
        }
    }

    @Test
    fun `a limit lasts as long as the target names it to some host`() {
        val heard = TargetLimits().heard(TARGET, 2.0, START)
        assertEquals(2.0, heard.limitOf(TARGET, START + 30.seconds))
        assertNull(heard.limitOf(TARGET, START + TargetLimits.VALIDITY), "not confirmed")
        assertNull(heard.heard(TARGET, null, START + 1.seconds).limitOf(TARGET, START + 1.seconds))
        val restarted = TargetIncarnation(TARGET.target, 2)
        assertNull(heard.limitOf(restarted, START), "restarted")
        val elsewhere = persistentMapOf(TARGET to LimitStatement(null, START + 2.seconds))
        val informed = heard.received(elsewhere, START + 3.seconds)
        assertNull(informed.limitOf(TARGET, START + 3.seconds), "another host heard that it ended")
        val renewed = informed.heard(TARGET, 3.0, START + 4.seconds)
        assertEquals(3.0, renewed.limitOf(TARGET, START + 4.seconds), "named again")
    }

    @Test
    fun `a limit is published if it is new, changed or due for refresh`() {
        val first = TargetLimits().heard(TARGET, 2.0, START)
        assertTrue(first.isPublicationDue(START))
        val published = first.copy(published = first.own)
        val publications =
            listOf(
                Triple(1.seconds, 2.1, false),
                Triple(1.seconds, 3.0, true),
                Triple(1.seconds, null, true),
                Triple(21.seconds, 2.0, true)
            )
        publications.forEach { (later, rate, isDue) ->
            val now = START + later
            assertEquals(isDue, published.heard(TARGET, rate, now).isPublicationDue(now), "$rate")
        }
    }

    /** Times at which [self] sends requests if it always has some waiting. */
    private fun sendTimes(limit: Double, known: List<HostId>, self: HostId): List<Duration> {
        val place = SharePlace(known.indexOf(self), known.size)
        if (shareOf(limit, place) == 0.0) return emptyList()
        var limits = TargetLimits().heard(TARGET, limit, START).started(TARGET, START) { place }
        return (0..DURATION_SECONDS * 50).map { it * 20.milliseconds }.flatMap { at ->
            val now = START + at
            // The last statement is repeated, as answers do.
            limits = limits.heard(TARGET, limit, now)
            generateSequence {
                val decision = limits.take(TARGET, now) { place }
                limits = decision.state
                at.takeIf { decision.actions.isNotEmpty() }
            }.toList()
        }
    }

    private fun List<HostId>.inOrder(): List<HostId> =
        sortedByDescending { rendezvousRank(TARGET.target.value, it.value) }

    private companion object {
        val START = MonotonicTime(0) + 100.seconds
        val TARGET = TargetIncarnation(TargetId("i-1"), 1)
        const val DURATION_SECONDS = 20
        const val WINDOW_SECONDS = 4
        val WINDOW = WINDOW_SECONDS.seconds
        val STEP = 250.milliseconds
        const val STEPS = 64

        /** Targets accept half more than their limit, and a few requests besides. */
        const val TOLERANCE = 1.5
        const val EXTRA = 5
    }
}
