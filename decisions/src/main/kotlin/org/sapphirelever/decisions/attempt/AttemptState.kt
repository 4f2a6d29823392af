/*
 * State machine of one attempt at one stage. Its transitions are total: they define the result of
 * every event in every state, so that "not run" is reached only if no target can have started it.
 */
package org.sapphirelever.decisions.attempt

import org.sapphirelever.core.AttemptId
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.Incarnation

/** Reason why a target refused a request. A refusal proves that the request did not run. */
public enum class RefusalReason(public val text: String) {
    BUSY("busy"),
    LEAVING("leaving"),
    UNSUPPORTED("unsupported")
    ;

    public companion object {
        public fun fromText(text: String): RefusalReason? = entries.firstOrNull { it.text == text }
    }
}

/** Identity that a target attaches to an answer. */
public data class AnswerIdentity(public val attempt: AttemptId, public val incarnation: Incarnation)

/** Result of a stage as received from the target. */
public data class StageAnswer(
    public val identity: AnswerIdentity,
    public val output: String,
    public val tokens: Int = 0
)

/** How an attempt ended. */
public sealed interface AttemptResult {
    public data class Answered(public val answer: StageAnswer) : AttemptResult

    /** No target can have started this attempt. */
    public data class NotRun(
        public val code: ErrorCode,
        public val refusal: RefusalReason? = null
    ) : AttemptResult

    /** The target may have run the attempt; its result is not known. */
    public data class MayHaveRun(public val code: ErrorCode) : AttemptResult

    /** The target ran the attempt and reported a failure. */
    public data class Failed(public val code: ErrorCode, public val detail: String) : AttemptResult
}

/** Input of the state machine of an attempt. */
public sealed interface AttemptEvent {
    public data object ConnectStarted : AttemptEvent

    public data object ConnectFailed : AttemptEvent

    /** Bytes of the request may have been written to a connection. */
    public data object SendStarted : AttemptEvent

    /** The first byte of an answer with the expected identity has arrived. */
    public data object AnswerStarted : AttemptEvent

    public data class Answer(public val answer: StageAnswer) : AttemptEvent

    public data class Refused(public val reason: RefusalReason) : AttemptEvent

    public data class Failure(public val detail: String) : AttemptEvent

    public data object ConnectionLost : AttemptEvent

    /** The stream was closed normally but without its last event. */
    public data object StreamTruncated : AttemptEvent

    public data object DeadlinePassed : AttemptEvent

    /** The caller disconnected, or another attempt answered first. */
    public data object Cancelled : AttemptEvent
}

/** State of one attempt. An answer must carry the same [attempt] and [incarnation]. */
public sealed interface AttemptState {
    public val attempt: AttemptId

    /** Expected incarnation of the target, or null to accept any. */
    public val incarnation: Incarnation?

    public data class Prepared(
        override val attempt: AttemptId,
        override val incarnation: Incarnation? = null
    ) : AttemptState

    public data class Connecting(
        override val attempt: AttemptId,
        override val incarnation: Incarnation? = null
    ) : AttemptState

    public data class Sending(
        override val attempt: AttemptId,
        override val incarnation: Incarnation? = null
    ) : AttemptState

    public data class Running(
        override val attempt: AttemptId,
        override val incarnation: Incarnation? = null
    ) : AttemptState

    public data class Finished(
        override val attempt: AttemptId,
        override val incarnation: Incarnation? = null,
        public val result: AttemptResult
    ) : AttemptState
}

/** Output of the state machine, carried out by the owner of the attempt. */
public sealed interface AttemptAction {
    /** Drop and count an answer to another attempt or of another process, and keep waiting. */
    public data class DropForeignAnswer(public val identity: AnswerIdentity) : AttemptAction

    /** Drop an event that the current state does not expect, such as one after the end. */
    public data object DropLateEvent : AttemptAction

    public data class Finish(public val result: AttemptResult) : AttemptAction
}
