/*
 * Progress of one call to a target, and the mapping of its messages to events of the attempt.
 */
package org.sapphirelever.runtime.target

import io.ktor.client.network.sockets.ConnectTimeoutException
import java.net.ConnectException
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.SerializationException
import org.sapphirelever.core.AttemptId
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.Incarnation
import org.sapphirelever.core.RequestId
import org.sapphirelever.core.StageName
import org.sapphirelever.decisions.attempt.AnswerIdentity
import org.sapphirelever.decisions.attempt.AttemptAction
import org.sapphirelever.decisions.attempt.AttemptEvent
import org.sapphirelever.decisions.attempt.AttemptResult
import org.sapphirelever.decisions.attempt.AttemptState
import org.sapphirelever.decisions.attempt.RefusalReason
import org.sapphirelever.decisions.attempt.StageAnswer
import org.sapphirelever.decisions.attempt.on
import org.sapphirelever.wire.LoadMessage
import org.sapphirelever.wire.MessageJson
import org.sapphirelever.wire.RefusalMessage
import org.sapphirelever.wire.RunAnswerMessage
import org.sapphirelever.wire.RunMessage
import org.sapphirelever.wire.StreamDoneMessage

/** Attempt state of one call, with the load and the counts for its [CallResult]. */
internal class CallProgress(private var state: AttemptState) {
    private var load: ReportedLoad? = null
    private var droppedAnswers: Int = 0
    private var resumes: Int = 0
    private var connectionBroken: Boolean = false

    val finished: Boolean get() = state is AttemptState.Finished

    /** Whether the target may still be running the attempt although its result is of no use. */
    val mayStillRun: Boolean
        get() = when ((state as? AttemptState.Finished)?.result) {
            is AttemptResult.Answered, is AttemptResult.NotRun, is AttemptResult.Failed -> false
            is AttemptResult.MayHaveRun, null -> true
        }

    fun on(event: AttemptEvent) {
        val decision = state.on(event)
        state = decision.state
        droppedAnswers +=
            decision.actions.count { it is AttemptAction.DropForeignAnswer }
    }

    fun onLoad(message: LoadMessage?) {
        if (message == null) return
        load =
            ReportedLoad(
                running = message.running,
                queued = message.queued,
                slots = message.slots,
                age = message.ageMillis.milliseconds
            )
    }

    fun onRefusal(body: String) {
        try {
            val message = MessageJson.decodeFromString<RefusalMessage>(body)
            onLoad(message.load)
            val reason = RefusalReason.fromText(message.refused)
            on(
                reason?.let { AttemptEvent.Refused(it) }
                    ?: AttemptEvent.Failure("unknown refusal ${message.refused}")
            )
        } catch (malformed: SerializationException) {
            // A reply that is not a valid refusal does not prove that the call was not run.
            onFailure(malformed)
        }
    }

    fun onResumed() {
        resumes++
    }

    fun onConnectionBroken() {
        connectionBroken = true
    }

    /** Records a failure; only a failed connect proves that no byte was sent. */
    fun onFailure(failure: Exception) {
        when (failure) {
            is ConnectException, is ConnectTimeoutException -> on(AttemptEvent.ConnectFailed)

            is SerializationException -> on(AttemptEvent.Failure("malformed answer"))

            else -> {
                onConnectionBroken()
                on(AttemptEvent.SendStarted)
                on(AttemptEvent.ConnectionLost)
            }
        }
    }

    fun result(): CallResult {
        val finished = state as? AttemptState.Finished
        val result =
            finished?.result
                ?: AttemptResult.MayHaveRun(ErrorCode.TARGET_LOST)
        return CallResult(result, load, droppedAnswers, resumes, connectionBroken)
    }
}

internal fun TargetCall.toMessage(): RunMessage = RunMessage(
    request = attempt.request.value,
    stage = attempt.stage.value,
    attempt = attempt.number,
    deadlineMillis = remaining.inWholeMilliseconds,
    priority = priority.text,
    input = input,
    maximumTokens = maximumTokens,
    key = key
)

internal fun RunAnswerMessage.toAnswer(): StageAnswer =
    StageAnswer(answerIdentity(request, stage, attempt, incarnation), output, tokens)

internal fun StreamDoneMessage.toAnswer(output: String): StageAnswer =
    StageAnswer(answerIdentity(request, stage, attempt, incarnation), output, tokens)

private fun answerIdentity(
    request: String,
    stage: String,
    attempt: Int,
    incarnation: String
): AnswerIdentity = AnswerIdentity(
    AttemptId(RequestId(request), StageName(stage), attempt),
    Incarnation(incarnation)
)
