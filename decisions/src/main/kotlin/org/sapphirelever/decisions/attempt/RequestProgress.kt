/*
 * Progress of a request through its stages, and the outcome that follows from its attempts.
 */
package org.sapphirelever.decisions.attempt

import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.Outcome
import org.sapphirelever.core.RetryAdvice
import org.sapphirelever.core.SideEffects
import org.sapphirelever.core.StageName

/**
 * Conclusions from the attempts of a request so far.
 *
 * @property mayHaveRun whether a target may have started any stage of the request
 * @property sideEffects strongest statement on side effects of stages that are not idempotent
 * @property hasUnknownEffects whether the result of any stage that is not idempotent is unknown
 */
public data class RequestProgress(
    public val mayHaveRun: Boolean = false,
    public val sideEffects: SideEffects = SideEffects.NONE,
    public val hasUnknownEffects: Boolean = sideEffects == SideEffects.POSSIBLE
) {
    /** Progress after an attempt at a stage ended with [result]. */
    public fun after(result: AttemptResult, idempotent: Boolean): RequestProgress = when (result) {
        is AttemptResult.NotRun -> this

        is AttemptResult.Answered -> ran(if (idempotent) SideEffects.NONE else SideEffects.DONE)

        is AttemptResult.MayHaveRun ->
            ran(if (idempotent) SideEffects.NONE else SideEffects.POSSIBLE)

        is AttemptResult.Failed ->
            ran(if (idempotent) SideEffects.NONE else SideEffects.POSSIBLE)
    }

    /** Outcome of a request that fails at [stage] with [code]. */
    public fun failure(
        code: ErrorCode,
        stage: StageName?,
        retry: RetryAdvice = RetryAdvice.NEVER,
        detail: String = ""
    ): Outcome = when {
        !mayHaveRun -> Outcome.NotRun(code, retry, stage, detail)
        hasUnknownEffects -> Outcome.Unknown(code, stage, detail)
        else -> Outcome.FailedAfterRunning(code, stage, sideEffects, safeAdvice(retry), detail)
    }

    /** A request that has or may have had side effects must not be sent again. */
    private fun safeAdvice(retry: RetryAdvice): RetryAdvice =
        if (sideEffects == SideEffects.NONE) retry else RetryAdvice.NEVER

    private fun ran(effects: SideEffects): RequestProgress = RequestProgress(
        mayHaveRun = true,
        sideEffects = sideEffects.max(effects),
        hasUnknownEffects = hasUnknownEffects || effects == SideEffects.POSSIBLE
    )
}
