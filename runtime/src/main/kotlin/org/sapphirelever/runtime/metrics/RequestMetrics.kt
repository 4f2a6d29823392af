/*
 * Events that the request path reports for each request, for metrics and for the report on
 * service-level burn.
 */
package org.sapphirelever.runtime.metrics

import kotlin.time.Duration
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.OrganisationName
import org.sapphirelever.core.Outcome
import org.sapphirelever.core.PipelineName
import org.sapphirelever.core.StageName

/**
 * A request whose outcome is known.
 *
 * @property took time from arrival to outcome
 * @property deadline time from arrival to the deadline
 */
public data class FinishedRequest(
    public val pipeline: PipelineName,
    public val organisation: OrganisationName,
    public val outcome: Outcome,
    public val took: Duration,
    public val deadline: Duration
)

/**
 * Time and work that one stage of one request took.
 *
 * @property took time in the stage, including queueing
 * @property targetTime total time that targets spent on its attempts
 */
public data class FinishedStage(
    public val pipeline: PipelineName,
    public val stage: StageName,
    public val took: Duration,
    public val targetTime: Duration,
    public val attempts: Int,
    public val hedges: Int = 0,
    public val tokens: Int = 0
)

/** Receives events of the request path. Implementations must neither block nor throw. */
public interface RequestMetrics {
    public fun requestFinished(request: FinishedRequest)

    public fun stageFinished(stage: FinishedStage)

    /** A stage was refused before any attempt, by admission control or for lack of a target. */
    public fun refused(pipeline: PipelineName, stage: StageName, code: ErrorCode)

    /** An answer that belongs to another request, stage, attempt or incarnation was dropped. */
    public fun answersDropped(pipeline: PipelineName, stage: StageName, count: Int)
}

/** Forwards each event to all [receivers]. */
public class RequestMetricsFanOut(private val receivers: List<RequestMetrics>) : RequestMetrics {
    override fun requestFinished(request: FinishedRequest) {
        receivers.forEach { it.requestFinished(request) }
    }

    override fun stageFinished(stage: FinishedStage) {
        receivers.forEach { it.stageFinished(stage) }
    }

    override fun refused(pipeline: PipelineName, stage: StageName, code: ErrorCode) {
        receivers.forEach { it.refused(pipeline, stage, code) }
    }

    override fun answersDropped(pipeline: PipelineName, stage: StageName, count: Int) {
        receivers.forEach { it.answersDropped(pipeline, stage, count) }
    }
}

/** Ignores all events. */
public object NoRequestMetrics : RequestMetrics {
    override fun requestFinished(request: FinishedRequest): Unit = Unit

    override fun stageFinished(stage: FinishedStage): Unit = Unit

    override fun refused(pipeline: PipelineName, stage: StageName, code: ErrorCode): Unit = Unit

    override fun answersDropped(pipeline: PipelineName, stage: StageName, count: Int): Unit = Unit
}
