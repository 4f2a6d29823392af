/*
 * Progress of a whole request through its stages, and the outcome that its attempts permit.
 */
package org.sapphirelever.decisions.attempt

import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.Outcome
import org.sapphirelever.core.RetryAdvice
import org.sapphirelever.core.SideEffects
import org.sapphirelever.core.StageName

/**
 * What the attempts of a request so far prove.
 *
 * @property anyStageRan whether a target may have started any stage
 * @property sideEffects strongest statement about a stage that must not repeat
 * @property uncertain whether the result of any stage that must not repeat is not known
 */
public data class RequestProgress(
    public val anyStageRan: Boolean = false,
    public val sideEffects: SideEffects = SideEffects.NONE,
    public val uncertain: Boolean = sideEffects == SideEffects.POSSIBLE
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

    /** Outcome of a request that ends at [stage] with [code] and cannot complete. */
    public fun failure(
        code: ErrorCode,
        stage: StageName?,
        retry: RetryAdvice = RetryAdvice.NEVER,
        detail: String = ""
    ): Outcome = when {
        !anyStageRan -> Outcome.NotRun(code, retry, stage, detail)
        uncertain -> Outcome.Unknown(code, stage, detail)
        else -> Outcome.FailedAfterRunning(code, stage, sideEffects, safe(retry), detail)
    }

    /** A request whose side effects are done must not be sent again. */
    private fun safe(retry: RetryAdvice): RetryAdvice =
        if (sideEffects == SideEffects.NONE) retry else RetryAdvice.NEVER

    private fun ran(effects: SideEffects): RequestProgress = RequestProgress(
        anyStageRan = true,
        sideEffects = sideEffects.max(effects),
        uncertain = uncertain || effects == SideEffects.POSSIBLE
    )
}
