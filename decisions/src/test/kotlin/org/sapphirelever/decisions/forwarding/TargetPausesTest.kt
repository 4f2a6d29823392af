/*
 * Pauses that targets ask for.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.TargetIncarnation

/** Guards against requests within a pause, and against a target that is paused for good. */
class TargetPausesTest {
    private data class Request(val atMillis: Long, val duration: Duration)

    private data class Case(
        val name: String,
        val requests: List<Request>,
        val nowMillis: Long,
        val wait: Duration
    )

    private val cases =
        listOf(
            Case("none", emptyList(), 0, Duration.ZERO),
            Case("asked", listOf(Request(0, 2.seconds)), 500, 1.5.seconds),
            Case("over", listOf(Request(0, 2.seconds)), 2_000, Duration.ZERO),
            Case(
                "a later answer asks for less",
                listOf(Request(0, 4.seconds), Request(100, 1.seconds)),
                1_000,
                3.seconds
            ),
            Case(
                "a later answer asks for more",
                listOf(Request(0, 1.seconds), Request(100, 4.seconds)),
                1_000,
                3_100.milliseconds
            ),
            Case("no time", listOf(Request(0, Duration.ZERO)), 0, Duration.ZERO),
            Case("negative", listOf(Request(0, (-3).seconds)), 0, Duration.ZERO),
            Case("years", listOf(Request(0, 4_000.days)), 0, 5.minutes),
            Case("infinite", listOf(Request(0, Duration.INFINITE)), 0, 5.minutes)
        )

    @Test
    fun `a pause holds until its end and not longer than the limit`() {
        val target = TargetIncarnation(TargetId("a"), 1)
        for (case in cases) {
            val pauses =
                case.requests.fold(TargetPauses()) { all, request ->
                    all.asked(target, request.duration, at(request.atMillis))
                }
            assertEquals(case.wait, pauses.wait(target, at(case.nowMillis)), case.name)
            val restarted = target.copy(startedAt = 2)
            assertEquals(Duration.ZERO, pauses.wait(restarted, at(case.nowMillis)), case.name)
        }
    }
}
