/*
 * Calls to targets. A call drives the state machine of its attempt and returns the result; it
 * never throws if the target fails, and the client never repeats it.
 */
package org.sapphirelever.runtime.target

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.sapphirelever.core.AttemptId
import org.sapphirelever.core.Priority
import org.sapphirelever.decisions.attempt.AttemptResult
import org.sapphirelever.decisions.routing.Target

/**
 * One call to a target.
 *
 * @property remaining time left for the request
 * @property key key by which a service that is not idempotent can recognise a repeated call
 * @property stream whether the target is an engine that streams its tokens
 * @property answerTimeout timeout for the answer of a call that does not stream
 */
public data class TargetCall(
    public val attempt: AttemptId,
    public val target: Target,
    public val input: String,
    public val remaining: Duration,
    public val priority: Priority,
    public val maximumTokens: Int = 0,
    public val key: String? = null,
    public val stream: Boolean = false,
    public val answerTimeout: Duration = remaining
)

/** Receives the tokens of a streaming answer in order, each exactly once. */
public fun interface TokenSink {
    public suspend fun accept(index: Int, text: String)

    public companion object {
        public val NONE: TokenSink = TokenSink { _, _ -> }
    }
}

/** Load that a target reported with an answer; [age] is the time since it was measured. */
public data class ReportedLoad(
    public val running: Int,
    public val queued: Int,
    public val slots: Int,
    public val age: Duration
)

/**
 * Result of a call and the load that came with it.
 *
 * @property droppedAnswers answers of other attempts or processes
 * @property resumes connections opened after the first to resume a stream
 * @property connectionBroken whether a connection broke, as opposed to falling silent
 */
public data class CallResult(
    public val result: AttemptResult,
    public val load: ReportedLoad? = null,
    public val droppedAnswers: Int = 0,
    public val resumes: Int = 0,
    public val connectionBroken: Boolean = false
)

/** Settings of calls to targets. */
public data class TargetSettings(
    /** Longest time without an event; the 95th percentile of the time to first token is 0.57 s. */
    public val idleTimeout: Duration = 1.seconds,
    public val connectTimeout: Duration = 1.seconds,
    /** Consecutive resumes without a new token after which a stream counts as lost. */
    public val maximumIdleResumes: Int = 3,
    public val resumeDelay: Duration = 20.milliseconds,
    /** Timeout of the call that cancels a stream; the target may no longer answer. */
    public val cancelTimeout: Duration = 1.seconds
)

/** Checks whether a target still accepts connections. */
public fun interface TargetProbe {
    public suspend fun reachable(target: Target): Boolean
}

public interface TargetClient : TargetProbe {
    public suspend fun call(call: TargetCall, tokens: TokenSink = TokenSink.NONE): CallResult

    /** True by default: a client that cannot probe takes no broken connection for a crash. */
    override suspend fun reachable(target: Target): Boolean = true
}
