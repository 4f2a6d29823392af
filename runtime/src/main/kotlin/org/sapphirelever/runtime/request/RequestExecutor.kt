/*
 * Runs the stages of a request in order, in the coroutine of the connection that the request came
 * from.
 */
package org.sapphirelever.runtime.request

import kotlinx.collections.immutable.persistentListOf
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.Outcome
import org.sapphirelever.core.resource.Configuration
import org.sapphirelever.decisions.attempt.RequestProgress
import org.sapphirelever.runtime.dispatch.TargetDispatcher
import org.sapphirelever.runtime.target.TargetClient
import org.sapphirelever.runtime.target.TokenSink

/** Executes requests against targets; [repetition] is shared by all requests of the host. */
public class RequestExecutor(
    dispatcher: TargetDispatcher,
    client: TargetClient,
    private val clock: MonotonicClock,
    public val repetition: RepetitionState = RepetitionState()
) {
    private val attempts = AttemptRunner(dispatcher, client, clock, repetition)
    private val stages = StageRunner(dispatcher, attempts, clock, repetition)

    /**
     * Runs [request]. If it streams, [tokens] receives the tokens of the last stage, whose output
     * is the answer.
     */
    public suspend fun execute(
        request: AcceptedRequest,
        configuration: Configuration,
        tokens: TokenSink = TokenSink.NONE
    ): ExecutedRequest {
        val started = clock.now()
        var progress = RequestProgress()
        var records = persistentListOf<StageRecord>()
        var input = request.input
        for (stage in request.pipeline.stages) {
            val service = configuration.services.getValue(stage.service)
            val isLast = stage === request.pipeline.stages.last()
            val sink = if (request.stream && isLast) tokens else TokenSink.NONE
            val run = stages.run(StageWork(request, stage, service, input, sink), progress)
            progress = run.progress
            records = records.add(run.record)
            when (val end = run.end) {
                is StageEnd.Output -> input = end.text

                is StageEnd.Failed -> {
                    val outcome = progress.failure(end.code, stage.name, end.retry)
                    return ExecutedRequest(request, outcome, records, clock.now() - started)
                }
            }
        }
        return ExecutedRequest(request, Outcome.Complete(input), records, clock.now() - started)
    }
}
