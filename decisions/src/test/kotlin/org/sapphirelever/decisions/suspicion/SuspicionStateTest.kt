package org.sapphirelever.decisions.suspicion

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.TargetId
import org.sapphirelever.decisions.keys.Fingerprint

/** Guards against a request that crashes target after target, and against false suspicion. */
class SuspicionStateTest {
    private data class Case(
        val name: String,
        val marks: List<Triple<String, String, Duration>>,
        val askedAt: Duration,
        val suspected: Boolean
    )

    private val cases =
        listOf(
            Case("one target", marks("f" to "a"), 0.minutes, false),
            Case("the same target twice", marks("f" to "a", "f" to "a"), 0.minutes, false),
            Case("two targets", marks("f" to "a", "f" to "b"), 9.minutes, true),
            Case("expired", marks("f" to "a", "f" to "b"), 10.minutes, false),
            Case("other request", marks("f" to "a", "g" to "b"), 0.minutes, false),
            Case(
                "one expired",
                listOf(Triple("f", "a", 0.minutes), Triple("f", "b", 6.minutes)),
                11.minutes,
                false
            )
        )

    @Test
    fun `a request is suspected after crashes of two targets within ten minutes`() {
        for (case in cases) {
            val state =
                case.marks.fold(SuspicionState()) { state, (fingerprint, target, at) ->
                    state.marked(Fingerprint(fingerprint), TargetId(target), START + at)
                }
            val suspected = state.suspects(Fingerprint("f"), START + case.askedAt)
            assertEquals(case.suspected, suspected, case.name)
        }
    }

    @Test
    fun `marks that are sent between hosts keep their expiry and stay bounded`() {
        val first = SuspicionState().marked(Fingerprint("f"), TargetId("a"), START)
        val received =
            SuspicionState(
                maximumFingerprints = 2
            ).merged(first.liveMarks(START), START + 1.minutes)
        val back = first.merged(received.liveMarks(START + 9.minutes), START + 9.minutes)
        assertEquals(2.minutes, back.liveMarks(START + 9.minutes).single().validFor)
        val long = listOf(CrashMark(Fingerprint("x"), TargetId("a"), 60.minutes))
        assertEquals(10.minutes, SuspicionState().merged(long, START).liveMarks(START)[0].validFor)
        val many = (1..9).map { CrashMark(Fingerprint("n$it"), TargetId("a"), 1.minutes) }
        assertEquals(2, received.merged(many, START).marks.size)
        var sender = first.marked(Fingerprint("g"), TargetId("a"), START)
        val offered = (1..50).flatMap {
            sender.composeMarks(1, START).also { sender = it.state }.actions
        }
        assertEquals(2 * SuspicionState.MARK_TRANSMISSIONS, offered.size)
        assertEquals(0, sender.merged(offered, START).composeMarks(9, START).actions.size)
    }

    private fun marks(vararg pairs: Pair<String, String>) =
        pairs.map { (fingerprint, target) -> Triple(fingerprint, target, Duration.ZERO) }

    private companion object {
        val START = MonotonicTime.ZERO
    }
}
