/*
 * Records executed requests in the metrics.
 */
package org.sapphirelever.runtime.request

import kotlin.time.Duration
import org.sapphirelever.decisions.attempt.AttemptResult
import org.sapphirelever.runtime.metrics.FinishedRequest
import org.sapphirelever.runtime.metrics.FinishedStage
import org.sapphirelever.runtime.metrics.RequestMetrics

/** Number of tokens in the answer of this attempt, 0 without an answer. */
private val AttemptRecord.tokens: Int
    get() = (result as? AttemptResult.Answered)?.answer?.tokens ?: 0

/** Records [executed] and its stages; [took] is its total time, [limit] the time permitted. */
public fun RequestMetrics.record(executed: ExecutedRequest, took: Duration, limit: Duration) {
    val request = executed.request
    val pipeline = request.pipeline.name
    executed.stages.forEach { stage ->
        if (stage.attempts.isEmpty()) {
            refused(pipeline, stage.stage.name, executed.outcome.code)
        } else {
            stageFinished(
                FinishedStage(
                    pipeline = pipeline,
                    stage = stage.stage.name,
                    took = stage.took,
                    targetTime = stage.attempts.fold(Duration.ZERO) { sum, attempt ->
                        sum + attempt.took
                    },
                    attempts = stage.attempts.size,
                    hedges = stage.attempts.count { it.hedge },
                    tokens = stage.attempts.sumOf { it.tokens }
                )
            )
            val dropped = stage.attempts.sumOf { it.droppedAnswers }
            if (dropped > 0) answersDropped(pipeline, stage.stage.name, dropped)
        }
    }
    requestFinished(FinishedRequest(pipeline, request.organisation, executed.outcome, took, limit))
}
