/*
 * Simulated callers. They follow the retry advice of each reply. After a broken connection or an
 * unknown outcome they send the request again through another host with the same key.
 */
package org.sapphirelever.faults

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.sapphirelever.core.OrganisationName
import org.sapphirelever.core.SapphireleverException
import org.sapphirelever.runtime.target.TokenSink
import org.sapphirelever.wire.OutcomeMessage
import org.sapphirelever.wire.RequestMessage

internal class Callers(private val simulation: Simulation) {
    private val kind = simulation.cell.pipeline

    /** Sends the request during which the faults occur, at first through host a. */
    suspend fun sendVictim() {
        val message = newRequest(VICTIM_INPUT, OFFICE, simulation.hosts.first())
        var hostNames = simulation.hosts.map { it.name }
        repeat(MAXIMUM_TRIES) {
            val host = firstReady(hostNames) ?: return delay(RETRY_DELAY)
            hostNames = hostNames.drop(1) + hostNames.first()
            val outcome = send(host, message)
            if (!shouldRetry(outcome)) return resendKeyed(message)
            delay(outcome?.retry?.afterMillis?.milliseconds ?: RETRY_DELAY)
        }
    }

    /** Sends a keyed request once more after its last reply; it must not run again (R4). */
    private suspend fun resendKeyed(message: RequestMessage) {
        if (message.key == null) return
        firstReady(simulation.hosts.map { it.name }.reversed())?.let { send(it, message) }
    }

    /** Sends the input of the victim for another organisation, which must still be served (R2). */
    suspend fun sendBystander(): OutcomeMessage? {
        val host = simulation.hosts.firstOrNull { it.isReady } ?: return null
        return host.handle(newRequest(VICTIM_INPUT, OTHER, host), TokenSink.NONE)
    }

    /** Sends a request in the background; [number] distinguishes its input from that of others. */
    fun sendAsync(host: SimulatedHost, number: Int) {
        simulation.scope.launch {
            val message = newRequest("burst$number-", OFFICE, host)
            send(host, message)
        }
    }

    private fun firstReady(hostNames: List<String>): SimulatedHost? =
        hostNames.firstNotNullOfOrNull { name ->
            simulation.hosts.firstOrNull { it.name == name && it.isReady }
        }

    private fun shouldRetry(outcome: OutcomeMessage?): Boolean = when {
        outcome == null -> true
        outcome.outcome == "outcome-unknown" -> true
        outcome.outcome == "not-run" -> outcome.retry?.again ?: false
        outcome.code == "suspected-crash" -> false
        outcome.outcome == "failed-after-running" -> outcome.sideEffects == "none"
        else -> false
    }

    private suspend fun send(host: SimulatedHost, message: RequestMessage): OutcomeMessage? {
        val tokens = mutableListOf<String>()
        var nextIndex = 0
        val sink = TokenSink { index, text ->
            check(index == nextIndex++) { "token $index out of order" }
            tokens.add(text)
        }
        val outcome = withTimeoutOrNull(RESPONSE_TIMEOUT) { host.handle(message, sink) }
        simulation.recorder.replies.add(
            CallerReply(
                message.input,
                message.key,
                host.label,
                outcome,
                tokens.toPersistentList(),
                simulation.clock.now(),
                message.stream,
                host.stopping
            )
        )
        return outcome
    }

    private fun newRequest(
        input: String,
        organisation: String,
        host: SimulatedHost
    ): RequestMessage {
        val key = if (kind == PipelineKind.KEYED) mintKey(host, organisation) else null
        return RequestMessage(
            pipeline = kind.name.lowercase(),
            organisation = organisation,
            deadlineMillis = DEADLINE.inWholeMilliseconds,
            input = input,
            key = key,
            stream = kind == PipelineKind.STREAMING
        )
    }

    private fun mintKey(host: SimulatedHost, organisation: String): String? = try {
        host.keyedRequests.mint(OrganisationName(organisation)).key
    } catch (_: SapphireleverException) {
        null
    }

    companion object {
        private const val VICTIM_INPUT = "victim-"
        private const val OFFICE = "office"
        private const val OTHER = "other"
        private const val MAXIMUM_TRIES = 5
        private val DEADLINE = 4.seconds
        private val RESPONSE_TIMEOUT = 6.seconds
        private val RETRY_DELAY = 2.seconds

        /** Input that the stage at which the faults occur receives for the victim. */
        fun poisonedInput(kind: PipelineKind): String =
            STAGES.getValue(kind).takeWhile { it != kind.stage }
                .fold(VICTIM_INPUT) { text, stage -> "$stage($text)" }
    }
}
