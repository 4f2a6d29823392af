/*
 * Counts requests for the report on service-level burn and serves the counts on `/v1/report`.
 */
package org.sapphirelever.runtime.metrics

import io.ktor.server.routing.get
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import kotlinx.serialization.encodeToString
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.HostId
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.Outcome
import org.sapphirelever.core.PipelineName
import org.sapphirelever.core.StageName
import org.sapphirelever.decisions.burn.BurnCause
import org.sapphirelever.decisions.burn.BurnHistory
import org.sapphirelever.decisions.burn.Objective
import org.sapphirelever.decisions.burn.RecordedDecision
import org.sapphirelever.runtime.StateCell
import org.sapphirelever.runtime.http.Routes
import org.sapphirelever.runtime.http.answer
import org.sapphirelever.runtime.http.respondJson
import org.sapphirelever.wire.MessageJson
import org.sapphirelever.wire.toMessage

/** Records the burn history of [host] against [objective]. */
public class BurnRecorder(
    private val host: HostId,
    private val objective: Objective,
    private val clock: MonotonicClock
) : RequestMetrics {
    private val history = StateCell(BurnHistory())

    public val routes: Routes =
        Routes {
            get("/v1/report") {
                answer(call) {
                    val message =
                        history.value.toMessage(host.value, objective.share, currentMinute())
                    call.respondJson(MessageJson.encodeToString(message))
                }
            }
        }

    /** Records a decision of this host, which the report lists next to the burn. */
    public fun recordDecision(description: String) {
        val decision = RecordedDecision(currentMinute(), host.value, description)
        history.update { it.withDecision(decision) }
    }

    /** Polls [read] and records each change of its value under [name], until cancelled. */
    public suspend fun recordChanges(name: String, read: () -> Any) {
        var previous = read()
        while (true) {
            delay(POLL_INTERVAL)
            val value = read()
            if (value != previous) recordDecision("$name $value")
            previous = value
        }
    }

    override fun requestFinished(request: FinishedRequest) {
        val cause = causeOf(request)
        history.update { it.withRequest(currentMinute(), cause) }
    }

    override fun stageFinished(stage: FinishedStage): Unit = Unit

    override fun refused(pipeline: PipelineName, stage: StageName, code: ErrorCode): Unit = Unit

    override fun answersDropped(pipeline: PipelineName, stage: StageName, count: Int): Unit = Unit

    private fun currentMinute(): Long = (clock.now() - MonotonicTime.ZERO).inWholeMinutes

    private companion object {
        /** The report has a resolution of one minute, so polling once a second suffices. */
        val POLL_INTERVAL = 1.seconds
    }
}

/** Why [request] missed the objective; null if it met it or the error is the caller's. */
internal fun causeOf(request: FinishedRequest): BurnCause? {
    val outcome = request.outcome
    val late = request.took - request.deadline > Duration.ZERO
    val stage =
        when (outcome) {
            is Outcome.Complete ->
                return if (late) BurnCause("", ErrorCode.DEADLINE_EXCEEDED.text) else null

            is Outcome.NotRun -> outcome.stage

            is Outcome.Unknown -> outcome.stage

            is Outcome.FailedAfterRunning -> outcome.stage
        }
    if (outcome.code.httpStatus < FIRST_SERVER_ERROR) return null
    return BurnCause(stage?.value.orEmpty(), outcome.code.text)
}

/** First HTTP status that reports an error of the system instead of one of the caller. */
private const val FIRST_SERVER_ERROR = 500
