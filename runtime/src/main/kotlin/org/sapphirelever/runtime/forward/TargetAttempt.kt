/*
 * One call to a target for a request, and the classification of its response.
 */
package org.sapphirelever.runtime.forward

import java.util.Locale
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.decisions.forwarding.EngineChoice
import org.sapphirelever.decisions.suspicion.RequestTrait
import org.sapphirelever.runtime.log.logEvent

/**
 * Sends [admitted] once to the target of [choice], with the [results] of its stages. Events of a
 * stream are written as they arrive; [onFirstEvent] runs before the first one.
 *
 * @property isTrial whether the request is sent to find out whether it still crashes targets
 */
internal class TargetAttempt(
    private val parts: ForwardingParts,
    private val admitted: AdmittedRequest,
    private val stream: StreamDelivery,
    choice: EngineChoice,
    private val results: List<StageResult>,
    private val isTrial: Boolean,
    private val onFirstEvent: () -> Unit
) {
    private val state = parts.state
    private val guard = parts.guard
    private val request = admitted.request
    private val target = choice.target
    private val forecast = choice.forecast
    private var firstEventAt: MonotonicTime? = null
    private var isSustained = false

    suspend fun run(): AttemptOutcome {
        val remaining = admitted.deadline - state.clock.now()
        logChoice(remaining)
        val prompt = request.prompt?.let {
            state.prompts.send(admitted.granted.service, target.id, it, forecast)
        }
        try {
            val head = parts.protocol.targetHead(request, options(remaining))
            val sent = TargetRequest(head, admitted.body)
            val outcome =
                cancellable {
                    parts.calls.call(
                        target,
                        sent,
                        request.id,
                        remaining + RESPONSE_GRACE
                    ) { receive(it, prompt) }
                }
            return toAttemptOutcome(outcome)
        } finally {
            prompt?.end()
        }
    }

    private fun options(remaining: Duration): TargetCallOptions = TargetCallOptions(
        target.id,
        admitted.granted.organisation,
        remaining,
        admitted.granted.rank.takeIf { request.prompt != null },
        results.map { it.handle }.toPersistentList(),
        stream.lastEventId
    )

    private suspend fun toAttemptOutcome(outcome: CallOutcome<AttemptOutcome>): AttemptOutcome =
        when (outcome) {
            is CallOutcome.Completed -> outcome.value

            is CallOutcome.NotSent ->
                AttemptOutcome.NotRun("not-sent: ${outcome.reason}", sent = false)

            is CallOutcome.Lost -> {
                if (outcome.broken) guard.checkForCrash(request.id, suspectTraits(), target)
                AttemptOutcome.MayHaveRun("lost: ${outcome.reason}")
            }
        }

    /**
     * Runs [call]. Cancels it when calls must end because the host stops, and when a trait of the
     * request is blocked before its first event; the target then drops the request.
     */
    private suspend fun <T> cancellable(call: suspend () -> CallOutcome<T>): CallOutcome<T> =
        coroutineScope {
            val calling = async { call() }
            val stopWatch = launch {
                parts.shutdown.awaitCallsEnd()
                calling.cancel()
            }
            val blockWatch = launch {
                guard.awaitCancellingBlock(admitted.traits)
                if (!isTrial && firstEventAt == null) calling.cancel()
            }
            try {
                calling.await()
            } catch (_: CancellationException) {
                ensureActive()
                val reason = if (parts.shutdown.endsCalls) STOPPING else SUSPECTED_CRASH
                CallOutcome.Lost(reason, broken = false)
            } finally {
                stopWatch.cancel()
                blockWatch.cancel()
            }
        }

    private suspend fun receive(
        source: OpenResponse,
        prompt: PromptObservations.PromptObservation?
    ): AttemptOutcome {
        val reply = source.reply
        if (reply.notRun) {
            source.body.skipWholeOrThrow()
            return AttemptOutcome.NotRun("refused-${reply.status}", sent = true)
        }
        if (reply.isSuccess && (!reply.sealed || reply.hasContentEncoding)) {
            return AttemptOutcome.MayHaveRun("answer of target ${target.id} is not its own")
        }
        if (admitted.route.repetition.isStream && reply.isSuccess) {
            if (!stream.mayContinueWith(source)) {
                return AttemptOutcome.MayHaveRun("target ${target.id} does not resume the stream")
            }
            stream.deliver(source) { recordEvents(prompt) }
            guard.survived(admitted.traits)
            return AttemptOutcome.Delivered(ForwardOutcome(reply.status, "answered", target.id))
        }
        val complete = CompleteResponse(source, source.readWholeOrThrow(admitted.memory), target.id)
        if (reply.status >= FIRST_SERVER_ERROR) return AttemptOutcome.Failed(complete)
        guard.survived(admitted.traits)
        return AttemptOutcome.Answered(complete)
    }

    private fun recordEvents(prompt: PromptObservations.PromptObservation?) {
        val now = state.clock.now()
        val startedAt = firstEventAt
        if (startedAt == null) {
            firstEventAt = now
            prompt?.begin()
            onFirstEvent()
        } else if (!isSustained && now - startedAt >= SUSTAINED_ANSWER) {
            isSustained = true
            // The request itself may still crash the target, up to the end of its stream.
            guard.survived(admitted.traits.filterNot { it.isWholeRequest })
        }
    }

    /** The traits that may be why the target crashed during this request. */
    private fun suspectTraits(): List<RequestTrait> =
        admitted.traits.filter { !isSustained || it.isWholeRequest }

    private fun logChoice(remaining: Duration) {
        val view = state.targetViews[target.id]
        logEvent("target-chosen") {
            "request" to request.id
            "route" to admitted.route.name
            "target" to target.id
            "parts" to request.prompt?.shared?.joinToString(",") { it.id }
            "remaining-ms" to remaining.inWholeMilliseconds
            "outstanding" to view?.outstanding
            "unread-tokens" to view?.unreadTokens
            "expected-ms" to forecast.waitMillis.toLong()
            "others-ms" to forecast.othersMillis.toLong()
            "kept-tokens" to forecast.keptTokens
            "read-tokens" to forecast.readTokens
            "speed" to
                view?.speed?.takeIf { it.samples.isNotEmpty() }?.let {
                    "%.2f".format(
                        Locale.ROOT,
                        it.ratio * it.slowness
                    )
                }
            "report" to view?.report?.let { "${it.running}/${it.waiting}/${it.slots}" }
            "report-age-ms" to
                view?.report?.let { (state.clock.now() - it.at).inWholeMilliseconds }
        }
    }

    private companion object {
        const val FIRST_SERVER_ERROR = 500

        /**
         * Time for which a target must send events before the parts of the prompt count as
         * harmless; a target that they crash crashes when it begins its answer.
         */
        val SUSTAINED_ANSWER = 1.seconds
    }
}
