/*
 * Calls to targets. A call drives the attempt state machine and returns its result; it never
 * throws for a failure of the target and never repeats a call.
 */
package org.sapphirelever.runtime.target

import kotlin.time.Duration
import org.sapphirelever.core.AttemptId
import org.sapphirelever.core.Priority
import org.sapphirelever.decisions.attempt.AttemptResult
import org.sapphirelever.decisions.routing.Target

/**
 * One call to a target.
 *
 * @property remaining time left for the request
 * @property key key that a non-idempotent service can recognise a repeated call by
 * @property stream whether tokens are delivered while the target generates them
 */
public data class TargetCall(
    public val attempt: AttemptId,
    public val target: Target,
    public val input: String,
    public val remaining: Duration,
    public val priority: Priority,
    public val maximumTokens: Int = 0,
    public val key: String? = null,
    public val stream: Boolean = false
)

/** Receives the tokens of a streaming answer, in order, each once. */
public fun interface TokenSink {
    public suspend fun accept(index: Int, text: String)

    public companion object {
        public val NONE: TokenSink = TokenSink { _, _ -> }
    }
}

/** Load that a target put on an answer. */
public data class ReportedLoad(
    public val running: Int,
    public val queued: Int,
    public val slots: Int,
    public val age: Duration
)

/** Result of a call and the load that came with it. */
public data class CallResult(
    public val result: AttemptResult,
    public val load: ReportedLoad? = null,
    public val droppedAnswers: Int = 0
)

public interface TargetClient {
    public suspend fun call(call: TargetCall, tokens: TokenSink = TokenSink.NONE): CallResult
}
