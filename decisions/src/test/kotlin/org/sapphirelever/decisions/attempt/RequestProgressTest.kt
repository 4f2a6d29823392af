package org.sapphirelever.decisions.attempt

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.Outcome
import org.sapphirelever.core.RetryAdvice
import org.sapphirelever.core.SideEffects

/** Guards against advice to send a request again whose side effects are done. */
class RequestProgressTest {
    private data class Case(val progress: RequestProgress, val expected: Outcome)

    private val again = RetryAdvice.after(1.seconds)

    private val cases =
        listOf(
            Case(RequestProgress(), Outcome.NotRun(CODE, again)),
            Case(
                RequestProgress(anyStageRan = true),
                Outcome.FailedAfterRunning(CODE, retry = again)
            ),
            Case(RequestProgress(true, SideEffects.POSSIBLE), Outcome.Unknown(CODE)),
            Case(
                RequestProgress(true, SideEffects.DONE),
                Outcome.FailedAfterRunning(CODE, null, SideEffects.DONE, RetryAdvice.NEVER)
            )
        )

    @Test
    fun `the outcome and its advice follow from what may have run`() {
        for (case in cases) {
            assertEquals(
                case.expected,
                case.progress.failure(CODE, null, again),
                "${case.progress}"
            )
        }
    }

    private companion object {
        val CODE = ErrorCode.OVERLOADED
    }
}
