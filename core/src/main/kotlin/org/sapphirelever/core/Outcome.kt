/*
 * Outcomes of a request. The set is closed: a caller always learns whether its request completed,
 * did not run, may have run, or failed after it ran.
 */
package org.sapphirelever.core

import kotlin.time.Duration

/** Whether the caller may send the request again, and the delay [after] which it may. */
public data class RetryAdvice(public val again: Boolean, public val after: Duration) {
    public companion object {
        public val NEVER: RetryAdvice = RetryAdvice(again = false, after = Duration.ZERO)

        public fun after(delay: Duration): RetryAdvice = RetryAdvice(again = true, after = delay)
    }
}

/** Known side effects of a request that did not complete, from the least to the most severe. */
public enum class SideEffects(public val text: String) {
    NONE("none"),
    POSSIBLE("possible"),
    DONE("done")
    ;

    /** The more severe of the two values. */
    public fun max(other: SideEffects): SideEffects = if (ordinal >= other.ordinal) this else other
}

/** Final result of a request as reported to its caller. */
public sealed interface Outcome {
    /** Name of the outcome in messages, metrics and logs. */
    public val text: String
    public val code: ErrorCode

    /** The request completed with [answer]. */
    public data class Complete(public val answer: String) : Outcome {
        override val text: String get() = "complete"
        override val code: ErrorCode get() = ErrorCode.OK
    }

    /** No target can have started any stage of the request. */
    public data class NotRun(
        override val code: ErrorCode,
        public val retry: RetryAdvice,
        public val stage: StageName? = null,
        public val detail: String = ""
    ) : Outcome {
        override val text: String get() = "not-run"
    }

    /** A stage with side effects may have run, and its result is not known. */
    public data class Unknown(
        override val code: ErrorCode,
        public val stage: StageName? = null,
        public val detail: String = ""
    ) : Outcome {
        override val text: String get() = "outcome-unknown"
    }

    /** At least one stage ran, and the request cannot complete. */
    public data class FailedAfterRunning(
        override val code: ErrorCode,
        public val stage: StageName? = null,
        public val sideEffects: SideEffects = SideEffects.NONE,
        public val retry: RetryAdvice = RetryAdvice.NEVER,
        public val detail: String = ""
    ) : Outcome {
        override val text: String get() = "failed-after-running"
    }
}

/** Priority class of a request, from the most to the least urgent. */
public enum class Priority(public val text: String) {
    INTERACTIVE("interactive"),
    STANDARD("standard"),
    BATCH("batch")
    ;

    public companion object {
        public fun fromText(text: String): Priority? = entries.firstOrNull { it.text == text }
    }
}
