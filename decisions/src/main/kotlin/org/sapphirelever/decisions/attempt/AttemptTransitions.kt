/*
 * Transitions of an attempt. Before the state Sending, any failure proves that the attempt did not
 * run; from Sending on, only a refusal by the target does.
 */
package org.sapphirelever.decisions.attempt

import org.sapphirelever.core.ErrorCode
import org.sapphirelever.decisions.Decision
import org.sapphirelever.decisions.decide

/** Applies [event]; the decision contains the next state and at most one action. */
public fun AttemptState.on(event: AttemptEvent): Decision<AttemptState, AttemptAction> =
    when (this) {
        is AttemptState.Finished -> decide(AttemptAction.DropLateEvent)
        is AttemptState.Prepared -> beforeSending(event)
        is AttemptState.Connecting -> beforeSending(event)
        is AttemptState.Sending -> afterSending(event)
        is AttemptState.Running -> afterSending(event)
    }

private fun AttemptState.beforeSending(event: AttemptEvent): Decision<AttemptState, AttemptAction> =
    when (event) {
        AttemptEvent.ConnectStarted -> AttemptState.Connecting(attempt, incarnation).decide()

        AttemptEvent.SendStarted -> AttemptState.Sending(attempt, incarnation).decide()

        AttemptEvent.ConnectFailed -> finish(notRun(ErrorCode.TARGET_LOST))

        AttemptEvent.ConnectionLost -> finish(notRun(ErrorCode.TARGET_LOST))

        AttemptEvent.DeadlinePassed -> finish(notRun(ErrorCode.DEADLINE_EXCEEDED))

        AttemptEvent.Cancelled -> finish(notRun(ErrorCode.DEADLINE_EXCEEDED))

        is AttemptEvent.Refused -> finish(refused(event.reason))

        // No byte of this attempt has been sent, so an answer cannot belong to it.
        is AttemptEvent.Answer -> decide(AttemptAction.DropForeignAnswer(event.answer.identity))

        AttemptEvent.AnswerStarted -> decide(AttemptAction.DropLateEvent)

        AttemptEvent.StreamTruncated -> decide(AttemptAction.DropLateEvent)

        is AttemptEvent.Failure -> decide(AttemptAction.DropLateEvent)
    }

private fun AttemptState.afterSending(event: AttemptEvent): Decision<AttemptState, AttemptAction> =
    when (event) {
        AttemptEvent.ConnectStarted -> decide(AttemptAction.DropLateEvent)

        AttemptEvent.SendStarted -> decide(AttemptAction.DropLateEvent)

        AttemptEvent.AnswerStarted -> AttemptState.Running(attempt, incarnation).decide()

        is AttemptEvent.Answer -> onAnswer(event.answer)

        is AttemptEvent.Refused -> onRefusal(event.reason)

        is AttemptEvent.Failure ->
            finish(AttemptResult.Failed(ErrorCode.TARGET_FAILED, event.detail))

        AttemptEvent.ConnectFailed -> finish(mayHaveRun(ErrorCode.TARGET_LOST))

        AttemptEvent.ConnectionLost -> finish(mayHaveRun(ErrorCode.TARGET_LOST))

        AttemptEvent.StreamTruncated -> finish(mayHaveRun(ErrorCode.TRUNCATED))

        AttemptEvent.DeadlinePassed -> finish(mayHaveRun(ErrorCode.DEADLINE_EXCEEDED))

        AttemptEvent.Cancelled -> finish(mayHaveRun(ErrorCode.DEADLINE_EXCEEDED))
    }

private fun AttemptState.onAnswer(answer: StageAnswer): Decision<AttemptState, AttemptAction> {
    val expected = incarnation
    val ownAttempt = answer.identity.attempt == attempt
    val ownProcess = expected == null || answer.identity.incarnation == expected
    if (!ownAttempt || !ownProcess) return decide(AttemptAction.DropForeignAnswer(answer.identity))
    return finish(AttemptResult.Answered(answer))
}

/** A refusal after the first byte of an answer is contradictory and proves nothing. */
private fun AttemptState.onRefusal(reason: RefusalReason): Decision<AttemptState, AttemptAction> =
    if (this is AttemptState.Running) {
        finish(mayHaveRun(ErrorCode.TARGET_FAILED))
    } else {
        finish(refused(reason))
    }

private fun AttemptState.finish(result: AttemptResult): Decision<AttemptState, AttemptAction> =
    AttemptState.Finished(attempt, incarnation, result).decide(AttemptAction.Finish(result))

private fun notRun(code: ErrorCode): AttemptResult = AttemptResult.NotRun(code)

private fun refused(reason: RefusalReason): AttemptResult =
    AttemptResult.NotRun(ErrorCode.OVERLOADED, reason)

private fun mayHaveRun(code: ErrorCode): AttemptResult = AttemptResult.MayHaveRun(code)
