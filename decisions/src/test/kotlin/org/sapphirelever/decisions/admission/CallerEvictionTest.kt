package org.sapphirelever.decisions.admission

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.sapphirelever.core.MonotonicTime

/**
 * Guards against a host that closes callers whose request runs or who make progress, or that keeps
 * those who hold most without any.
 */
class CallerEvictionTest {
    /** Callers as phase, bytes held, and time since the last byte. */
    private data class Case(
        val name: String,
        val holds: List<Triple<CallerPhase, Long, Duration>>,
        val closed: Long?,
        val closedForBytes: List<Long>
    )

    private val cases =
        listOf(
            Case("nobody", emptyList(), null, emptyList()),
            Case("a request that runs", listOf(hold(RUNNING, 900, 60)), null, emptyList()),
            Case("a sender with progress", listOf(hold(RECEIVING, 900, 1)), null, emptyList()),
            Case("a sender without progress", listOf(hold(RECEIVING, 900, 3)), 0, listOf(0)),
            Case("a reader without progress", listOf(hold(SENDING, 900, 3)), 0, listOf(0)),
            Case("an idle connection", listOf(hold(IDLE, 0, 0)), 0, emptyList()),
            Case(
                "the one that holds most",
                listOf(hold(RECEIVING, 500, 9), hold(RECEIVING, 90_000, 9), hold(IDLE, 0, 9)),
                1,
                listOf(1)
            ),
            Case(
                "the one that waits longest",
                listOf(hold(RECEIVING, 600, 9), hold(RECEIVING, 600, 90)),
                1,
                listOf(1)
            ),
            Case(
                "as many as needed",
                listOf(hold(RECEIVING, 60, 9), hold(RECEIVING, 60, 8), hold(RECEIVING, 60, 7)),
                0,
                listOf(0, 1)
            ),
            Case(
                "too few bytes among them",
                listOf(hold(RECEIVING, 60, 9), hold(RUNNING, 900, 9)),
                0,
                emptyList()
            )
        )

    @Test
    fun `callers that hold most and progress least are closed first`() {
        for (case in cases) {
            val holds =
                case.holds.mapIndexed { index, (phase, bytes, silence) ->
                    CallerHold(index.toLong(), phase, bytes, PeerProgress(NOW - silence))
                }
            assertEquals(case.closed, callerToClose(holds, NOW)?.id, case.name)
            val chosen = callersToClose(holds, NEEDED_BYTES, NOW).map { it.id }
            assertEquals(case.closedForBytes, chosen, case.name)
        }
    }

    /** Guards against slow but sound senders that count as stalled. */
    @Test
    fun `progress is measured over a span`() {
        val rates = listOf(50L to true, 200L to false, 5_000L to false)
        for ((bytes, isStalled) in rates) {
            var progress = PeerProgress(START)
            var now = START
            repeat(60) {
                now += 1.seconds
                progress = progress.moved(bytes, now)
            }
            assertEquals(isStalled, progress.isStalled(START + 61.seconds), "$bytes B/s")
        }
    }

    private companion object {
        val START = MonotonicTime.ZERO
        val NOW = START + 100.seconds
        const val NEEDED_BYTES = 100L
        val IDLE = CallerPhase.IDLE
        val RECEIVING = CallerPhase.RECEIVING
        val RUNNING = CallerPhase.RUNNING
        val SENDING = CallerPhase.SENDING

        fun hold(phase: CallerPhase, bytes: Long, silenceSeconds: Int) =
            Triple(phase, bytes, silenceSeconds.seconds)
    }
}
