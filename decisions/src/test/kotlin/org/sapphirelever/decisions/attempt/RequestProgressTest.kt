package org.sapphirelever.decisions.attempt

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import org.sapphirelever.core.AttemptId
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.Incarnation
import org.sapphirelever.core.Outcome
import org.sapphirelever.core.RequestId
import org.sapphirelever.core.RetryAdvice
import org.sapphirelever.core.SideEffects
import org.sapphirelever.core.StageName

/**
 * Guards against advice to retry a request that had side effects, and against a definite outcome
 * when it is unknown whether a side effect happened.
 */
class RequestProgressTest {
    private data class Case(val progress: RequestProgress, val expected: Outcome)

    private val retryLater = RetryAdvice.after(1.seconds)

    private val cases =
        listOf(
            Case(RequestProgress(), Outcome.NotRun(CODE, retryLater)),
            Case(
                RequestProgress(mayHaveRun = true),
                Outcome.FailedAfterRunning(CODE, retry = retryLater)
            ),
            Case(RequestProgress(true, SideEffects.POSSIBLE), Outcome.Unknown(CODE)),
            Case(
                RequestProgress(true, SideEffects.DONE),
                Outcome.FailedAfterRunning(CODE, null, SideEffects.DONE, RetryAdvice.NEVER)
            )
        )

    @Test
    fun `a second stage with side effects whose result is lost leaves the outcome unknown`() {
        val booked = RequestProgress().after(answered, idempotent = false)
        val lost = AttemptResult.MayHaveRun(ErrorCode.TARGET_LOST)
        val progress = booked.after(lost, idempotent = false)
        assertEquals(Outcome.Unknown(CODE), progress.failure(CODE, null))
    }

    @Test
    fun `the outcome and its retry advice follow from the stages that may have run`() {
        for (case in cases) {
            assertEquals(
                case.expected,
                case.progress.failure(CODE, null, retryLater),
                "${case.progress}"
            )
        }
    }

    private companion object {
        val CODE = ErrorCode.OVERLOADED
        val attempt = AttemptId(RequestId("r"), StageName("book"), 1)
        val answered =
            AttemptResult.Answered(StageAnswer(AnswerIdentity(attempt, Incarnation("t")), "booked"))
    }
}
