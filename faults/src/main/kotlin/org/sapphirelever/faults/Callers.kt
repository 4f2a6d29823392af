/*
 * Callers. They act on the advice of each reply, and send again through other hosts with the same
 * key after a broken connection and after an unknown outcome.
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

internal class Callers(private val world: World) {
    private val kind = world.cell.pipeline

    /** The request that meets the faults, sent at first through host a. */
    suspend fun victim() {
        val message = message(VICTIM, OFFICE, world.hosts.first())
        var route = world.hosts.map { it.name }
        repeat(TRIES) {
            val host = next(route) ?: return delay(RECOVERY)
            route = route.drop(1) + route.first()
            val outcome = send(host, message)
            if (!again(outcome)) return check(message)
            delay(outcome?.retry?.afterMillis?.milliseconds ?: RECOVERY)
        }
    }

    /** A keyed request is sent once more after its end; it must not run again. */
    private suspend fun check(message: RequestMessage) {
        if (message.key == null) return
        next(world.hosts.map { it.name }.reversed())?.let { send(it, message) }
    }

    /** Another organisation sends the input of the victim; it has done no harm itself. */
    suspend fun bystander(): OutcomeMessage? {
        val host = world.hosts.firstOrNull { it.ready } ?: return null
        return host.handle(message(VICTIM, OTHER, host), TokenSink.NONE)
    }

    fun burst(host: WorldHost, number: Int) {
        world.network.launch {
            val message = message("burst$number-", OFFICE, host)
            send(host, message)
        }
    }

    private fun next(route: List<String>): WorldHost? = route.firstNotNullOfOrNull { name ->
        world.hosts.firstOrNull { it.name == name && it.ready }
    }

    private fun again(outcome: OutcomeMessage?): Boolean = when {
        outcome == null -> true
        outcome.outcome == "outcome-unknown" -> true
        outcome.outcome == "not-run" -> outcome.retry?.again ?: false
        outcome.code == "suspected-crash" -> false
        outcome.outcome == "failed-after-running" -> outcome.sideEffects == "none"
        else -> false
    }

    private suspend fun send(host: WorldHost, message: RequestMessage): OutcomeMessage? {
        val tokens = mutableListOf<String>()
        var first = 0
        val sink = TokenSink { index, text ->
            check(index == first++) { "token $index out of order" }
            tokens.add(text)
        }
        val outcome = withTimeoutOrNull(PATIENCE) { host.handle(message, sink) }
        world.recorder.replies.add(
            CallerReply(
                message.input,
                message.key,
                host.label,
                outcome,
                tokens.toPersistentList(),
                world.clock.now(),
                message.stream,
                host.stopping
            )
        )
        return outcome
    }

    private fun message(input: String, organisation: String, host: WorldHost): RequestMessage {
        val key = if (kind == PipelineKind.KEYED) mint(host, organisation) else null
        return RequestMessage(
            pipeline = kind.name.lowercase(),
            organisation = organisation,
            deadlineMillis = DEADLINE.inWholeMilliseconds,
            input = input,
            key = key,
            stream = kind == PipelineKind.STREAMING
        )
    }

    private fun mint(host: WorldHost, organisation: String): String? = try {
        host.keyed.mint(OrganisationName(organisation)).key
    } catch (_: SapphireleverException) {
        null
    }

    companion object {
        private const val VICTIM = "victim-"
        private const val OFFICE = "office"
        private const val OTHER = "other"
        private const val TRIES = 5
        private val DEADLINE = 4.seconds
        private val PATIENCE = 6.seconds
        private val RECOVERY = 2.seconds

        /** Input of the fault stage of the victim. */
        fun poisonedInput(kind: PipelineKind): String =
            STAGES.getValue(kind).takeWhile { it != kind.stage }
                .fold(VICTIM) { text, stage -> "$stage($text)" }
    }
}
