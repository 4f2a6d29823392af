/*
 * Silence of a peer that works for this host.
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

    /** Guards against a link that is given up just after its first question in a while. */
    private val cases =
        listOf(
            Case("no question", PeerLiveness(at(0)), 60_000, false),
            Case("asked after an idle time", PeerLiveness(at(0)).asked(at(10_000)), 10_100, false),
            Case("no sign of life", PeerLiveness(at(0)).asked(at(0)), 451, true),
            Case("a sign of life", PeerLiveness(at(0)).asked(at(0)).heard(at(300)), 700, false),
            Case("silent since", PeerLiveness(at(0)).asked(at(0)).heard(at(300)), 751, true),
            Case("answered", PeerLiveness(at(0)).asked(at(0)).answered(), 9_000, false),
            Case(
                "a second question does not hide the silence",
                PeerLiveness(at(0)).asked(at(0)).asked(at(400)),
                500,
                true
            )
        )

    @Test
    fun `a peer is silent only while it owes an answer`() {
        cases.forEach { case ->
            assertEquals(case.silent, case.liveness.isSilent(at(case.now)), case.name)
        }
    }
}
