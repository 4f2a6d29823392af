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

/** Owner of the burn history of [host]. */
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
                        history.value.toMessage(host.value, objective.share, minute())
                    call.respondJson(MessageJson.encodeToString(message))
                }
            }
        }

    /** Notes a decision of this host, so that the report shows it beside the burn. */
    public fun decided(what: String) {
        val decision = RecordedDecision(minute(), host.value, what)
        history.update { it.withDecision(decision) }
    }

    /** Notes each new value of [read] under [name], checked once a second, until cancelled. */
    public suspend fun follow(name: String, read: () -> Any) {
        var known = read()
        while (true) {
            delay(FOLLOW_INTERVAL)
            val value = read()
            if (value != known) decided("$name $value")
            known = value
        }
    }

    override fun requestFinished(request: FinishedRequest) {
        val cause = causeOf(request)
        history.update { it.withRequest(minute(), cause) }
    }

    override fun stageFinished(stage: FinishedStage): Unit = Unit

    override fun refused(pipeline: PipelineName, stage: StageName, code: ErrorCode): Unit = Unit

    override fun answersDropped(pipeline: PipelineName, stage: StageName, count: Int): Unit = Unit

    private fun minute(): Long = (clock.now() - MonotonicTime.ZERO).inWholeMinutes

    private companion object {
        /** The report counts in minutes, so a second is exact enough. */
        val FOLLOW_INTERVAL = 1.seconds
    }
}

/** Why [request] missed the objective, or null if it met it or its caller was at fault. */
internal fun causeOf(request: FinishedRequest): BurnCause? {
    val outcome = request.outcome
    val late = request.took - request.limit > Duration.ZERO
    val stage =
        when (outcome) {
            is Outcome.Complete ->
                return if (late) BurnCause("", ErrorCode.DEADLINE_EXCEEDED.text) else null

            is Outcome.NotRun -> outcome.stage

            is Outcome.Unknown -> outcome.stage

            is Outcome.FailedAfterRunning -> outcome.stage
        }
    if (outcome.code.httpStatus < FIRST_SERVER_FAULT) return null
    return BurnCause(stage?.value.orEmpty(), outcome.code.text)
}

/** HTTP statuses from here on tell a fault of the system and not of the caller. */
private const val FIRST_SERVER_FAULT = 500
