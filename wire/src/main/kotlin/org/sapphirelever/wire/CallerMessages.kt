/*
 * Messages between callers and entry hosts, as JSON. docs/api.md describes them for users.
 */
package org.sapphirelever.wire

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.sapphirelever.core.Outcome
import org.sapphirelever.core.RetryAdvice
import org.sapphirelever.core.SideEffects

/** Format of all HTTP messages; ignores unknown fields, so that versions can be mixed. */
public val MessageJson: Json =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = true
        explicitNulls = false
    }

/** A request of a caller. [deadlineMillis] is the time that remains until its deadline. */
@Serializable
public data class RequestMessage(
    public val pipeline: String,
    public val organisation: String,
    public val deadlineMillis: Long,
    public val input: String,
    public val priority: String? = null,
    public val key: String? = null,
    public val declaredTokens: Int? = null,
    public val stream: Boolean = false
)

/** Whether the caller may send the request again, and after which delay. */
@Serializable
public data class RetryMessage(public val again: Boolean, public val afterMillis: Long)

/** Summary of one stage of a finished request. */
@Serializable
public data class StageMessage(
    public val stage: String,
    public val target: String,
    public val attempts: Int,
    public val millis: Long
)

/** Reply to a request, or the last event of its stream. */
@Serializable
public data class OutcomeMessage(
    public val request: String,
    public val host: String,
    public val outcome: String,
    public val code: String,
    public val stage: String? = null,
    public val sideEffects: String? = null,
    public val retry: RetryMessage? = null,
    public val answer: String? = null,
    public val detail: String? = null,
    public val stages: List<StageMessage> = emptyList()
)

/**
 * One attempt at a stage.
 *
 * @property hedge whether it started while another attempt was still running
 * @property resumes connections opened after the first to resume a stream
 * @property droppedAnswers dropped answers that belonged to another attempt or process
 */
@Serializable
public data class ExplainedAttemptMessage(
    public val attempt: Int,
    public val target: String,
    public val result: String,
    public val code: String,
    public val millis: Long,
    public val hedge: Boolean = false,
    public val resumes: Int = 0,
    public val droppedAnswers: Int = 0
)

/** All attempts at one stage of an explained request. */
@Serializable
public data class ExplainedStageMessage(
    public val stage: String,
    public val millis: Long,
    public val attempts: List<ExplainedAttemptMessage>
)

/** History of a recent request: its outcome, and the attempts at each stage. */
@Serializable
public data class ExplanationMessage(
    public val request: String,
    public val pipeline: String,
    public val organisation: String,
    public val outcome: String,
    public val code: String,
    public val millis: Long,
    public val stages: List<ExplainedStageMessage>
)

/** One token of a streaming answer; [index] counts from 0. */
@Serializable
public data class TokenMessage(public val index: Int, public val text: String)

/** Requests a key for an at-most-once request. */
@Serializable
public data class KeyRequestMessage(public val organisation: String)

/** A key and the time for which it is valid. */
@Serializable
public data class KeyMessage(public val key: String, public val validMillis: Long)

/**
 * Reply to a call that failed before a request was accepted.
 *
 * @property outcome outcome of the request if the call submits one; otherwise null
 */
@Serializable
public data class ErrorMessage(
    public val code: String,
    public val detail: String,
    public val findings: List<FindingMessage> = emptyList(),
    public val outcome: String? = null
)

/** One finding of a validation, see [org.sapphirelever.core.Finding]. */
@Serializable
public data class FindingMessage(
    public val source: String,
    public val line: Int,
    public val field: String,
    public val message: String
)

/** Converts [outcome] to the reply for the caller. */
public fun outcomeMessage(
    request: String,
    host: String,
    outcome: Outcome,
    stages: List<StageMessage>
): OutcomeMessage {
    val message =
        OutcomeMessage(
            request = request,
            host = host,
            outcome = outcome.text,
            code = outcome.code.text,
            stages = stages
        )
    return when (outcome) {
        is Outcome.Complete -> message.copy(answer = outcome.answer)

        is Outcome.NotRun ->
            message.copy(
                stage = outcome.stage?.value,
                sideEffects = SideEffects.NONE.text,
                retry = outcome.retry.toMessage(),
                detail = outcome.detail
            )

        is Outcome.Unknown ->
            message.copy(
                stage = outcome.stage?.value,
                sideEffects = SideEffects.POSSIBLE.text,
                retry = RetryAdvice.NEVER.toMessage(),
                detail = outcome.detail
            )

        is Outcome.FailedAfterRunning ->
            message.copy(
                stage = outcome.stage?.value,
                sideEffects = outcome.sideEffects.text,
                retry = outcome.retry.toMessage(),
                detail = outcome.detail
            )
    }
}

private fun RetryAdvice.toMessage(): RetryMessage = RetryMessage(again, after.inWholeMilliseconds)

/**
 * A used key, which a stopping host hands over to its successor.
 *
 * @property fingerprint hash of the request; it tells a retry from another request with the key
 * @property validMillis time until the key expires
 * @property outcome outcome of the request, or null if it is not known
 */
@Serializable
public data class KeyClaimMessage(
    public val key: String,
    public val fingerprint: String,
    public val validMillis: Long,
    public val outcome: OutcomeMessage? = null
)
