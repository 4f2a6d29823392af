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
}
