/*
 * Requests while they run, and the records of what happened to them.
 */
package org.sapphirelever.runtime.request

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.OrganisationName
import org.sapphirelever.core.Outcome
import org.sapphirelever.core.Priority
import org.sapphirelever.core.RequestId
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.resource.Pipeline
import org.sapphirelever.core.resource.Service
import org.sapphirelever.core.resource.Stage
import org.sapphirelever.decisions.attempt.AttemptResult
import org.sapphirelever.runtime.target.TokenSink

/** A request that passed the checks of the front end. */
public data class AcceptedRequest(
    public val id: RequestId,
    public val pipeline: Pipeline,
    public val organisation: OrganisationName,
    public val priority: Priority,
    public val deadline: MonotonicTime,
    public val input: String,
    public val key: String? = null,
    public val declaredTokens: Int? = null,
    public val stream: Boolean = false
)

/** Work of one stage of a request. [tokens] is [TokenSink.NONE] unless the caller streams it. */
public data class StageWork(
    public val request: AcceptedRequest,
    public val stage: Stage,
    public val service: Service,
    public val input: String,
    public val tokens: TokenSink
)

/** One attempt at a stage. [cancelled] is set for the loser of a hedge. */
public data class AttemptRecord(
    public val number: Int,
    public val target: TargetId,
    public val result: AttemptResult,
    public val took: Duration,
    public val hedge: Boolean = false,
    public val cancelled: Boolean = false,
    public val resumes: Int = 0,
    public val droppedAnswers: Int = 0
)

/** What happened in one stage. */
public data class StageRecord(
    public val stage: Stage,
    public val attempts: PersistentList<AttemptRecord>,
    public val took: Duration
) {
    /** Target of the answer, or of the last attempt. */
    public val target: TargetId?
        get() =
            (attempts.lastOrNull { it.result is AttemptResult.Answered } ?: attempts.lastOrNull())
                ?.target
}

/** Outcome of a request and the record of its stages. */
public data class ExecutedRequest(
    public val request: AcceptedRequest,
    public val outcome: Outcome,
    public val stages: PersistentList<StageRecord>,
    public val took: Duration
)
