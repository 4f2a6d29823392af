package org.sapphirelever.decisions.attempt

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import org.sapphirelever.core.AttemptId
import org.sapphirelever.core.Incarnation
import org.sapphirelever.core.RequestId
import org.sapphirelever.core.StageName

/** Guards against "not run" after bytes were sent, and against answers to another attempt. */
class AttemptStateTest {
    private val id = AttemptId(RequestId("r"), StageName("s"), 1)
    private val process = Incarnation("p")
    private val own = StageAnswer(AnswerIdentity(id, process), "own")
    private val foreign =
        listOf(
            AnswerIdentity(id.copy(request = RequestId("x")), process),
            AnswerIdentity(id.copy(stage = StageName("x")), process),
            AnswerIdentity(id.copy(number = 2), process),
            AnswerIdentity(id, Incarnation("x"))
        ).map { StageAnswer(it, "foreign") }
    private val events: List<AttemptEvent> =
        listOf(
            AttemptEvent.ConnectStarted,
            AttemptEvent.ConnectFailed,
            AttemptEvent.SendStarted,
            AttemptEvent.AnswerStarted,
            AttemptEvent.Answer(own),
            AttemptEvent.Refused(RefusalReason.BUSY),
            AttemptEvent.Failure("failure"),
            AttemptEvent.ConnectionLost,
            AttemptEvent.StreamTruncated,
            AttemptEvent.DeadlinePassed,
            AttemptEvent.Cancelled
        ) + foreign.map { AttemptEvent.Answer(it) }

    @Test
    fun `every sequence of up to six events keeps the invariants`() {
        var sequences = 0L
        val reached = mutableSetOf<AttemptState>()

        fun explore(state: AttemptState, sent: Boolean, depth: Int) {
            sequences++
            reached.add(state)
            if (depth == MAXIMUM_LENGTH) return
            for (event in events) {
                val next = state.on(event)
                checkInvariants(state, event, next.state, sent)
                assertTrue(next.actions.size <= 1)
                explore(next.state, sent || event == AttemptEvent.SendStarted, depth + 1)
            }
        }
        explore(AttemptState.Prepared(id, process), sent = false, depth = 0)
        println("AttemptState orders walked: $sequences, states reached: ${reached.size}")
        assertEquals(sequences(events.size), sequences)
        assertEquals(4, reached.map { it::class }.count { it != AttemptState.Finished::class })
    }

    private fun checkInvariants(
        state: AttemptState,
        event: AttemptEvent,
        next: AttemptState,
        sent: Boolean
    ) {
        if (state is AttemptState.Finished) assertEquals<AttemptState>(state, next)
        if (event is AttemptEvent.Answer && event.answer != own) assertEquals(state, next)
        if (state is AttemptState.Finished || next !is AttemptState.Finished) return
        val result = next.result
        if (result is AttemptResult.NotRun && sent) assertIs<AttemptEvent.Refused>(event)
        if (result is AttemptResult.NotRun) assertFalse(state is AttemptState.Running)
        if (result is AttemptResult.Answered) assertTrue(sent && result.answer == own)
    }

    private fun sequences(choices: Int): Long =
        (0..MAXIMUM_LENGTH).fold(0L to 1L) { (sum, power), _ -> sum + power to power * choices }
            .first

    private companion object {
        const val MAXIMUM_LENGTH = 6
    }
}
