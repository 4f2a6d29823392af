/*
 * State machine of one attempt at one stage. It is closed: every event in every state has a stated
 * result, so that "not run" can be reached only where no target can have started the request.
 */
package org.sapphirelever.decisions.attempt

import org.sapphirelever.core.AttemptId
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.Incarnation

/** Reason a target gives for not running a request. The reply proves that it did not run. */
public enum class RefusalReason(public val text: String) {
    BUSY("busy"),
    LEAVING("leaving"),
    UNSUPPORTED("unsupported")
    ;

    public companion object {
        public fun fromText(text: String): RefusalReason? = entries.firstOrNull { it.text == text }
    }
}

/** Identity that a target puts on an answer. */
public data class AnswerIdentity(public val attempt: AttemptId, public val incarnation: Incarnation)

/** Result of a stage, as the target sent it. */
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

/** What happens to an attempt. */
public sealed interface AttemptEvent {
    public data object ConnectStarted : AttemptEvent

    public data object ConnectFailed : AttemptEvent

    /** Bytes of the request may have been handed to a connection. */
    public data object SendStarted : AttemptEvent

    /** First byte of an answer with the right identity. */
    public data object AnswerStarted : AttemptEvent

    public data class Answer(public val answer: StageAnswer) : AttemptEvent

    public data class Refused(public val reason: RefusalReason) : AttemptEvent

    public data class Failure(public val detail: String) : AttemptEvent

    public data object ConnectionLost : AttemptEvent

    /** The stream ended in order but without its last event. */
    public data object StreamTruncated : AttemptEvent

    public data object DeadlinePassed : AttemptEvent

    /** The caller went away or another attempt answered first. */
    public data object Cancelled : AttemptEvent
}

/** State of one attempt. [expected] is the identity that its answer must carry. */
public sealed interface AttemptState {
    public val attempt: AttemptId

    /** Incarnation of the target, or null when it is learned from the first answer. */
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

/** What the owner of the attempt does after an event. */
public sealed interface AttemptAction {
    /** The answer belongs to another attempt or process; count it and go on waiting. */
    public data class DropForeignAnswer(public val identity: AnswerIdentity) : AttemptAction

    /** The event came after the end of the attempt; count it. */
    public data object DropLateEvent : AttemptAction

    public data class Finish(public val result: AttemptResult) : AttemptAction
}
