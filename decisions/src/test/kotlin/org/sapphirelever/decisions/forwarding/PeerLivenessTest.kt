/*
 * Detection of peers that stop answering.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals

class PeerLivenessTest {
    private data class Case(
        val name: String,
        val liveness: PeerLiveness,
        val now: Long,
        val silent: Boolean
    )

    /** Guards against closing a connection right after its first request in a while. */
    private val cases =
        listOf(
            Case("no request", PeerLiveness(at(0)), 60_000, false),
            Case(
                "first request after a while",
                PeerLiveness(at(0)).requestSent(at(10_000)),
                10_100,
                false
            ),
            Case("no message since the request", PeerLiveness(at(0)).requestSent(at(0)), 451, true),
            Case(
                "a recent message",
                PeerLiveness(at(0)).requestSent(at(0)).messageReceived(at(300)),
                700,
                false
            ),
            Case(
                "timeout after the last message",
                PeerLiveness(at(0)).requestSent(at(0)).messageReceived(at(300)),
                751,
                true
            ),
            Case(
                "response received",
                PeerLiveness(at(0)).requestSent(at(0)).answered(),
                9_000,
                false
            ),
            Case(
                "a second request does not extend the timeout",
                PeerLiveness(at(0)).requestSent(at(0)).requestSent(at(400)),
                500,
                true
            )
        )

    @Test
    fun `a peer counts as silent only while requests are pending`() {
        cases.forEach { case ->
            assertEquals(case.silent, case.liveness.isSilent(at(case.now)), case.name)
        }
    }

    private data class AvoidanceCase(
        val name: String,
        val lossesAt: List<Long>,
        val pauseMillis: Long
    )

    /** Guards against work that is made repeatedly because a slow host gets it back at once. */
    private val avoidanceCases =
        listOf(
            AvoidanceCase("one loss", listOf(0), 1_000),
            AvoidanceCase("lost again soon after the pause", listOf(0, 1_500), 2_000),
            AvoidanceCase("lost three times", listOf(0, 1_500, 5_000), 4_000),
            AvoidanceCase("lost all the time", (0L..60_000L step 4_000).toList(), 8_000),
            AvoidanceCase("sound for long in between", listOf(0, 1_500, 20_000), 1_000)
        )

    @Test
    fun `a peer that is lost again and again is avoided for longer`() {
        avoidanceCases.forEach { case ->
            val avoidance = case.lossesAt.fold(PeerAvoidance()) { all, time -> all.lost(at(time)) }
            assertEquals(case.pauseMillis, avoidance.pause.inWholeMilliseconds, case.name)
        }
    }
}
