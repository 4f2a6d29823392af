/*
 * Runs a request through the stages of its pipeline, one after the other, in the coroutine of the
 * connection it came on.
 */
package org.sapphirelever.runtime.request

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import org.sapphirelever.core.AttemptId
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.OrganisationName
import org.sapphirelever.core.Outcome
import org.sapphirelever.core.Priority
import org.sapphirelever.core.RequestId
import org.sapphirelever.core.RetryAdvice
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.resource.Configuration
import org.sapphirelever.core.resource.Pipeline
import org.sapphirelever.core.resource.Service
import org.sapphirelever.core.resource.Stage
import org.sapphirelever.decisions.attempt.AttemptResult
import org.sapphirelever.decisions.attempt.RequestProgress
import org.sapphirelever.runtime.dispatch.CallReport
import org.sapphirelever.runtime.dispatch.Dispatch
import org.sapphirelever.runtime.dispatch.Grant
import org.sapphirelever.runtime.dispatch.StageDemand
import org.sapphirelever.runtime.dispatch.TargetDispatcher
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.runtime.target.TargetCall
import org.sapphirelever.runtime.target.TargetClient
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

/** What happened in one stage. */
public data class StageRecord(
    public val stage: Stage,
    public val target: TargetId?,
    public val attempts: Int,
    public val took: Duration
)

/** Outcome of a request and the record of its stages. */
public data class ExecutedRequest(
    public val request: AcceptedRequest,
    public val outcome: Outcome,
    public val stages: PersistentList<StageRecord>
)

/** Executes requests against targets. */
public class RequestExecutor(
    private val dispatcher: TargetDispatcher,
    private val client: TargetClient,
    private val clock: MonotonicClock
) {
    private sealed interface StageEnd {
        data class Output(val text: String) : StageEnd

        data class Failed(val code: ErrorCode, val retry: RetryAdvice) : StageEnd
    }

    private data class StageRun(
        val end: StageEnd,
        val progress: RequestProgress,
        val record: StageRecord
    )

    public suspend fun execute(
        request: AcceptedRequest,
        configuration: Configuration,
        tokens: TokenSink = TokenSink.NONE
    ): ExecutedRequest {
        var progress = RequestProgress()
        var records = persistentListOf<StageRecord>()
        var input = request.input
        for (stage in request.pipeline.stages) {
            val service = configuration.services.getValue(stage.service)
            val run = runStage(request, stage, service, input, progress, tokens)
            progress = run.progress
            records = records.add(run.record)
            when (val end = run.end) {
                is StageEnd.Output -> input = end.text

                is StageEnd.Failed -> {
                    val outcome = progress.failure(end.code, stage.name, end.retry)
                    return ExecutedRequest(request, outcome, records)
                }
            }
        }
        return ExecutedRequest(request, Outcome.Complete(input), records)
    }

    private suspend fun runStage(
        request: AcceptedRequest,
        stage: Stage,
        service: Service,
        input: String,
        before: RequestProgress,
        tokens: TokenSink
    ): StageRun {
        val started = clock.now()
        var progress = before
        var tried = persistentSetOf<TargetId>()
        var end: StageEnd = StageEnd.Failed(ErrorCode.NO_TARGET, RetryAdvice.NEVER)
        while (tried.size < MAXIMUM_ATTEMPTS) {
            val demand = demand(request, stage, service, input, tried)
            val dispatch = dispatcher.acquire(demand)
            if (dispatch is Dispatch.Refused) {
                val retry = RetryAdvice.after(dispatch.retryAfter)
                if (tried.isEmpty()) end = StageEnd.Failed(dispatch.code, retry)
                break
            }
            val grant = (dispatch as Dispatch.Granted).grant
            tried = tried.add(grant.target.id)
            val result = attempt(request, demand, grant, input, tried.size, tokens)
            progress = progress.after(result, service.idempotent)
            end = stageEnd(result)
            if (!mayRepeat(result, service)) break
        }
        val record = StageRecord(stage, tried.lastOrNull(), tried.size, clock.now() - started)
        return StageRun(end, progress, record)
    }

    private fun demand(
        request: AcceptedRequest,
        stage: Stage,
        service: Service,
        input: String,
        tried: PersistentSet<TargetId>
    ): StageDemand = StageDemand(
        pipeline = request.pipeline,
        stage = stage,
        service = service,
        organisation = request.organisation,
        priority = request.priority,
        deadline = request.deadline,
        inputLength = input.length,
        declaredTokens = request.declaredTokens,
        excluded = tried
    )

    private suspend fun attempt(
        request: AcceptedRequest,
        demand: StageDemand,
        grant: Grant,
        input: String,
        number: Int,
        tokens: TokenSink
    ): AttemptResult {
        val call =
            TargetCall(
                attempt = AttemptId(request.id, demand.stage.name, number),
                target = grant.target,
                input = input,
                remaining = request.deadline - clock.now(),
                priority = request.priority,
                maximumTokens = demand.stage.maximumTokens,
                key = if (demand.service.idempotent) null else request.key,
                stream = request.stream
            )
        var report: CallReport? = null
        try {
            val called = client.call(call, tokens)
            report = CallReport(called.result, clock.now() - grant.grantedAt, called.load)
            logEvent("attempt-finished") {
                "request" to request.id
                "stage" to demand.stage.name
                "attempt" to number
                "target" to grant.target.id
                "result" to called.result::class.simpleName
            }
            return called.result
        } finally {
            dispatcher.release(demand, grant, report)
        }
    }

    private fun stageEnd(result: AttemptResult): StageEnd = when (result) {
        is AttemptResult.Answered -> StageEnd.Output(result.answer.output)
        is AttemptResult.NotRun -> StageEnd.Failed(result.code, RetryAdvice.NEVER)
        is AttemptResult.MayHaveRun -> StageEnd.Failed(result.code, RetryAdvice.NEVER)
        is AttemptResult.Failed -> StageEnd.Failed(result.code, RetryAdvice.NEVER)
    }

    /** Whether another target may run the stage after [result]. */
    private fun mayRepeat(result: AttemptResult, service: Service): Boolean = when (result) {
        is AttemptResult.NotRun -> true
        is AttemptResult.MayHaveRun -> service.idempotent
        is AttemptResult.Failed -> false
        is AttemptResult.Answered -> false
    }

    private companion object {
        const val MAXIMUM_ATTEMPTS = 3
    }
}
