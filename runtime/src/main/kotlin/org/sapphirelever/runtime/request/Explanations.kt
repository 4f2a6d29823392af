/*
 * Explanations of recent requests for operators and callers: durations and results of stages and
 * attempts.
 */
package org.sapphirelever.runtime.request

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.RequestId
import org.sapphirelever.decisions.attempt.AttemptResult
import org.sapphirelever.runtime.StateCell
import org.sapphirelever.wire.ExplainedAttemptMessage
import org.sapphirelever.wire.ExplainedStageMessage
import org.sapphirelever.wire.ExplanationMessage

/** Holds the explanations of the last [limit] requests, without their inputs and answers. */
public class Explanations(private val limit: Int = DEFAULT_LIMIT) {
    // The map keeps insertion order, so its first key is the oldest request.
    private val recent =
        StateCell<PersistentMap<RequestId, ExplanationMessage>>(persistentMapOf())

    public fun add(executed: ExecutedRequest) {
        val message = executed.toExplanation()
        recent.update { before ->
            val retained = if (before.size >= limit) before.remove(before.keys.first()) else before
            retained.put(executed.request.id, message)
        }
    }

    public fun find(request: RequestId): ExplanationMessage? = recent.value[request]

    private companion object {
        const val DEFAULT_LIMIT = 10_000
    }
}

private fun ExecutedRequest.toExplanation(): ExplanationMessage = ExplanationMessage(
    request = request.id.value,
    pipeline = request.pipeline.name.value,
    organisation = request.organisation.value,
    outcome = outcome.text,
    code = outcome.code.text,
    millis = took.inWholeMilliseconds,
    stages =
        stages.map { stage ->
            ExplainedStageMessage(
                stage = stage.stage.name.value,
                millis = stage.took.inWholeMilliseconds,
                attempts = stage.attempts.map { it.toMessage() }
            )
        }
)

private fun AttemptRecord.toMessage(): ExplainedAttemptMessage = ExplainedAttemptMessage(
    attempt = number,
    target = target.value,
    result = if (cancelled) "cancelled" else result.text,
    code = result.code.text,
    millis = took.inWholeMilliseconds,
    hedge = hedge,
    resumes = resumes,
    droppedAnswers = droppedAnswers
)

private val AttemptResult.text: String
    get() = when (this) {
        is AttemptResult.Answered -> "answered"
        is AttemptResult.NotRun -> refusal?.let { "refused-${it.text}" } ?: "not-run"
        is AttemptResult.MayHaveRun -> "may-have-run"
        is AttemptResult.Failed -> "failed"
    }

private val AttemptResult.code: ErrorCode
    get() = when (this) {
        is AttemptResult.Answered -> ErrorCode.OK
        is AttemptResult.NotRun -> code
        is AttemptResult.MayHaveRun -> code
        is AttemptResult.Failed -> code
    }
