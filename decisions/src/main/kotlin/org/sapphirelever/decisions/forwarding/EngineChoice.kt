/*
 * Chooses the engine, or other target, for a request: the one with the least sum of the expected
 * time to the first token and of what the request costs others there.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.EngineLimits
import org.sapphirelever.core.forwarding.TargetRecord
import org.sapphirelever.decisions.rendezvousRank

/** Size of stage results by the data centre that holds them. */
public typealias ResultBytes = Map<DataCentre, Long>

/**
 * Inputs of a choice.
 *
 * @property request identity of the request; equal targets are spread over requests by its hash
 * @property limits places and memory of an engine of the service, if it has engines
 * @property totals prompts that the service read for this host
 * @property hosts number of hosts that send requests to the service
 * @property results results of the stages of the request, which the target will fetch
 */
public data class ChoiceContext(
    public val views: Map<TargetId, TargetView>,
    public val request: String,
    public val dataCentre: DataCentre,
    public val now: MonotonicTime,
    public val limits: EngineLimits? = null,
    public val totals: PromptTotals = PromptTotals(),
    public val hosts: Int = 1,
    public val results: ResultBytes = emptyMap()
) {
    internal fun view(target: TargetId): TargetView = views[target] ?: TargetView()

    /** Delay by a target in another data centre and by results that it fetches from others. */
    internal fun transferMillis(target: TargetRecord): Double {
        val remotePenalty = if (target.dataCentre == dataCentre) 0.0 else REMOTE_TARGET_MILLIS
        val bytes = results.entries.sumOf { if (it.key == target.dataCentre) 0 else it.value }
        return remotePenalty + bytes * REMOTE_MILLIS_PER_MEGABYTE / BYTES_PER_MEGABYTE
    }

    private companion object {
        /** Penalty for another data centre, from which every event is transferred. */
        const val REMOTE_TARGET_MILLIS = 15.0

        /** Penalty per megabyte of results that are fetched from another data centre. */
        const val REMOTE_MILLIS_PER_MEGABYTE = 60.0
    }
}

/** The chosen [target] and what is expected there. */
public data class EngineChoice(
    public val target: TargetRecord,
    public val forecast: FirstTokenForecast
)

/** Chooses among [candidates] for a request with [prompt]; null if there are none. */
public fun chooseEngine(
    candidates: List<TargetRecord>,
    prompt: PromptShape,
    context: ChoiceContext
): EngineChoice? {
    val healthy = candidates.healthyOrAll(context.views, context.now)
    val forecasts = forecasts(healthy, prompt, context)
    val spread = if (forecasts is EngineForecasts) SPREAD_MILLIS else 0.0
    return healthy.map { EngineChoice(it, forecasts.at(it)) }.minByOrNull { choice ->
        choice.forecast.costMillis +
            spread * preference(context.request, choice.target.id)
    }
}

/** Forecast for a request that is sent to [target] without a choice. */
public fun forecastAt(
    target: TargetRecord,
    prompt: PromptShape,
    context: ChoiceContext
): EngineChoice = EngineChoice(target, forecasts(listOf(target), prompt, context).at(target))

/**
 * Expected time to the first token at the target that would be chosen among [candidates], or at an
 * idle one if there are none.
 */
public fun expectedFirstToken(
    candidates: List<TargetRecord>,
    prompt: PromptShape,
    context: ChoiceContext
): Duration {
    val choice = chooseEngine(candidates, prompt, context) ?: return MINIMUM_FIRST_TOKEN_TIME
    return maxOf(choice.forecast.waitMillis.milliseconds, MINIMUM_FIRST_TOKEN_TIME)
}

private fun forecasts(
    targets: List<TargetRecord>,
    prompt: PromptShape,
    context: ChoiceContext
): TargetForecasts = if (context.limits == null && prompt.tokens == 0) {
    PlainForecasts(context)
} else {
    EngineForecasts(context, prompt, targets)
}

/** A number from 0 to 1 that is equal on all hosts. */
private fun preference(request: String, target: TargetId): Double =
    rendezvousRank(request, target.value).mod(PREFERENCES).toDouble() / PREFERENCES

/** Shortest time assumed, as little is known of the network and of the load by other hosts. */
private val MINIMUM_FIRST_TOKEN_TIME = 150.milliseconds

/** Difference between engines that is below the uncertainty of their forecasts. */
private const val SPREAD_MILLIS = 10.0
private const val PREFERENCES = 64
internal const val BYTES_PER_MEGABYTE = 1_000_000.0
