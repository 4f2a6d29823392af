/*
 * Which parts of a prompt an engine probably still holds.
 */
package org.sapphirelever.decisions.forwarding

import org.sapphirelever.core.TargetId
import org.sapphirelever.decisions.rendezvousRank

/**
 * Tokens that the engines of a service have loaded since the last use of a part, as one host sees
 * them.
 *
 * @property loadedTokens tokens loaded for this host
 * @property engineShare tokens that each engine loaded for each token loaded for this host
 */
internal data class LoadedTokens(val loadedTokens: Long, val engineShare: Double) {
    fun since(lastUse: Long): Double = (loadedTokens - lastUse).coerceAtLeast(0) * engineShare
}

/**
 * Expected number of leading tokens of the prompt that the engine with this view holds.
 *
 * @param room tokens of its memory that running requests leave to cached parts
 * @param chance probability that a part is cached if this host does not know it
 */
internal fun TargetView.expectedKept(
    prompt: PromptShape,
    loaded: LoadedTokens,
    room: Double,
    chance: Double
): Double {
    val known = prompt.shared.takeWhile { part ->
        cached[part.id]?.let { loaded.since(it) <= room } == true
    }
    val unknownTokens = prompt.shared.drop(known.size).sumOf { it.tokens }
    return known.sumOf { it.tokens } + unknownTokens * chance
}

/**
 * Probability that an engine cached the shared parts of a prompt for another host. All hosts rank
 * the engines alike, so that a part is loaded at the first one, and at the second one if the first
 * is too busy.
 */
internal class SharedPlacement(prompt: PromptShape, engines: List<TargetId>) {
    private val first: TargetId?
    private val second: TargetId?

    init {
        val part = prompt.shared.lastOrNull()
        val ranks = part?.let { engines.map { engine -> rendezvousRank(it.id, engine.value) } }
        val best = ranks?.indices?.maxByOrNull { ranks[it] }
        first = best?.let { engines[it] }
        second = ranks?.indices?.filter { it != best }?.maxByOrNull { ranks[it] }
            ?.let { engines[it] }
    }

    fun chanceAt(engine: TargetId): Double = when (engine) {
        first -> FIRST_CHANCE
        second -> SECOND_CHANCE
        else -> 0.0
    }

    private companion object {
        const val FIRST_CHANCE = 0.6
        const val SECOND_CHANCE = 0.3
    }
}
