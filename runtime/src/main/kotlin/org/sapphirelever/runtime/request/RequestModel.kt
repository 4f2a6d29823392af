/*
 * Accepted requests, and the records of their stages and attempts.
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

/** A request that passed all checks. */
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

/** Work of one stage. [tokens] is [TokenSink.NONE] unless the stage streams to the caller. */
public data class StageWork(
    public val request: AcceptedRequest,
    public val stage: Stage,
    public val service: Service,
    public val input: String,
    public val tokens: TokenSink
)

/** One attempt at a stage. [cancelled] is set if the other attempt of a hedge answered first. */
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

/** Attempts at one stage, in the order of their numbers. */
public data class StageRecord(
    public val stage: Stage,
    public val attempts: PersistentList<AttemptRecord>,
    public val took: Duration
) {
    /** Target that answered, otherwise the target of the last attempt; null without attempts. */
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
