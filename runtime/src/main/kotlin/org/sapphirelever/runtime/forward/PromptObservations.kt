/*
 * What engines did with the prompts that this host sent them: how fast they read, which parts they
 * keep, and how large and how long the requests of a service are.
 */
package org.sapphirelever.runtime.forward

import java.util.concurrent.atomic.AtomicLong
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.TargetId
import org.sapphirelever.decisions.forwarding.FirstTokenForecast
import org.sapphirelever.decisions.forwarding.PromptCall
import org.sapphirelever.decisions.forwarding.PromptShape
import org.sapphirelever.decisions.forwarding.PromptTotals
import org.sapphirelever.decisions.forwarding.withFirstEvent
import org.sapphirelever.decisions.forwarding.withPrompt
import org.sapphirelever.decisions.forwarding.withoutPrompt
import org.sapphirelever.runtime.StateCell

/** Observations of one host; those of single engines are in their views. */
public class PromptObservations(private val state: ForwardingState) {
    private val allTotals: StateCell<PersistentMap<ServiceName, PromptTotals>> =
        StateCell(persistentMapOf())
    private val lastNumber = AtomicLong()

    /** Prompt tokens that engines probably had to read. */
    public val readTokens: Long get() = allTotals.value.values.sumOf { it.readTokens }

    /** Prompt tokens that engines probably had kept. */
    public val keptTokens: Long get() = allTotals.value.values.sumOf { it.keptTokens }

    public fun totals(service: ServiceName): PromptTotals =
        allTotals.value[service] ?: PromptTotals()

    /** Records that [prompt] is sent to [target], where [forecast] is expected. */
    internal fun send(
        service: ServiceName,
        target: TargetId,
        prompt: PromptShape,
        forecast: FirstTokenForecast
    ): PromptObservation {
        val number = lastNumber.incrementAndGet()
        val call = PromptCall(prompt, forecast, state.clock.now())
        state.updateView(target) { it.withPrompt(number, call) }
        return PromptObservation(service, target, call, number)
    }

    /** A prompt from its sending to the end of its request. */
    internal inner class PromptObservation(
        private val service: ServiceName,
        private val target: TargetId,
        private val call: PromptCall,
        private val number: Long
    ) {
        private var begunAt: MonotonicTime? = null

        /** Records the first event, before which the engine has read the prompt. */
        fun begin() {
            val now = state.clock.now()
            begunAt = now
            val totals = updateTotals { it.withPrompt(call.prompt, call.forecast.readTokens) }
            state.updateView(target) { it.withFirstEvent(number, now, totals.loadedTokens) }
        }

        /** Records the end of the request, or of the attempt to send it. */
        fun end() {
            begunAt?.let { begun ->
                updateTotals { it.withResidence(state.clock.now() - begun) }
            }
            state.updateView(target) { it.withoutPrompt(number) }
        }

        private fun updateTotals(change: (PromptTotals) -> PromptTotals): PromptTotals =
            allTotals.update { it.put(service, change(it[service] ?: PromptTotals())) }
                .getValue(service)
    }
}
