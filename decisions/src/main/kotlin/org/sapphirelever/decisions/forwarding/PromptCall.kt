/*
 * Course of a call with a prompt, as it changes the view of its engine.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.time.DurationUnit
import kotlinx.collections.immutable.toPersistentMap
import org.sapphirelever.core.MonotonicTime

/**
 * A call with a prompt in flight.
 *
 * @property forecast what was expected at the engine when the call was sent
 * @property hasBegun whether an event has arrived, so that the engine has read the prompt
 */
public data class PromptCall(
    public val prompt: PromptShape,
    public val forecast: FirstTokenForecast,
    public val sentAt: MonotonicTime,
    public val hasBegun: Boolean = false
)

/** Records that [call] is sent; its [number] identifies it until its end. */
public fun TargetView.withPrompt(number: Long, call: PromptCall): TargetView =
    copy(prompts = prompts.put(number, call))

/**
 * Records the first event of the call [number] at [now]. [loadedTokens] is
 * [PromptTotals.loadedTokens] of its service.
 */
public fun TargetView.withFirstEvent(
    number: Long,
    now: MonotonicTime,
    loadedTokens: Long
): TargetView {
    val call = prompts[number] ?: return this
    val elapsedMillis = (now - call.sentAt).toDouble(DurationUnit.MILLISECONDS)
    val sample = speedSample(elapsedMillis, call.forecast.standardMillis, report)
    return copy(
        prompts = prompts.put(number, call.copy(hasBegun = true)),
        speed = sample?.let { speed.with(it) } ?: speed
    ).withCached(call.prompt.shared, loadedTokens)
}

/** Records the end of the call [number]. */
public fun TargetView.withoutPrompt(number: Long): TargetView =
    copy(prompts = prompts.remove(number))

/**
 * Records that the engine has prefilled [parts] of a prompt, which it then caches; [loadedTokens]
 * is [PromptTotals.loadedTokens] of its service.
 */
public fun TargetView.withCached(parts: List<PromptPart>, loadedTokens: Long): TargetView {
    val known =
        if (cached.size < CACHED_PARTS_THRESHOLD) {
            cached
        } else {
            val newest = cached.entries.sortedByDescending { it.value }
            newest.take(CACHED_PARTS_THRESHOLD / 2).associate { it.key to it.value }
                .toPersistentMap()
        }
    return copy(cached = parts.fold(known) { all, part -> all.put(part.id, loadedTokens) })
}

/** Number of cached parts per engine at which a host forgets the least recently used half. */
internal const val CACHED_PARTS_THRESHOLD: Int = 1_000
