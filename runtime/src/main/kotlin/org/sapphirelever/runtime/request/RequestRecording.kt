/*
 * Passes what is known of an executed request to the metrics.
 */
package org.sapphirelever.runtime.request

import kotlin.time.Duration
import org.sapphirelever.runtime.metrics.FinishedRequest
import org.sapphirelever.runtime.metrics.FinishedStage
import org.sapphirelever.runtime.metrics.RequestMetrics

/** Records [executed], which [took] this time of its [limit], and its stages. */
public fun RequestMetrics.record(executed: ExecutedRequest, took: Duration, limit: Duration) {
    val request = executed.request
    val pipeline = request.pipeline.name
    executed.stages.forEach { stage ->
        if (stage.attempts == 0) {
            refused(pipeline, stage.stage.name, executed.outcome.code)
        } else {
            stageFinished(
                FinishedStage(
                    pipeline = pipeline,
                    stage = stage.stage.name,
                    took = stage.took,
                    targetTime = stage.took,
                    attempts = stage.attempts
                )
            )
        }
    }
    requestFinished(FinishedRequest(pipeline, request.organisation, executed.outcome, took, limit))
}
