/*
 * Attribution of crashes to the trait that explains most of them.
 */
package org.sapphirelever.decisions.suspicion

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.decisions.keys.Fingerprint

/**
 * A trait whose requests are not sent to targets.
 *
 * @property isProven whether a request with it has ever succeeded
 * @property crashes crashes attributed to it, between [firstCrashAt] and [lastCrashAt]
 */
public data class TraitBlock(
    public val trait: Fingerprint,
    public val isProven: Boolean,
    public val crashes: Int,
    public val firstCrashAt: MonotonicTime,
    public val lastCrashAt: MonotonicTime
) {
    /**
     * Time from which one request may be tried, in case the trait is blocked wrongly. The delay
     * grows with the time for which the crashes have lasted, so that trials become rare.
     */
    public val trialDueAt: MonotonicTime
        get() = lastCrashAt + maxOf(FIRST_TRIAL_DELAY, (lastCrashAt - firstCrashAt) * 2)

    private companion object {
        val FIRST_TRIAL_DELAY: Duration = 8.seconds
    }
}

/**
 * Evidence that blocks a trait.
 *
 * @property spread time between the first and the last crash; targets that fail at the same moment
 *   have a common cause other than their requests
 */
private data class BlockThreshold(val crashes: Int, val spread: Duration)

/** For a single request, which its caller may send again at once. */
private val WHOLE_REQUEST_THRESHOLD = BlockThreshold(2, Duration.ZERO)

private val UNPROVEN_PART_THRESHOLD = BlockThreshold(3, 300.milliseconds)

/** For a trait that requests have survived before, though not since the crashes. */
private val PROVEN_THRESHOLD = BlockThreshold(5, 2.seconds)

private fun unprovenThreshold(trait: RequestTrait): BlockThreshold =
    if (trait.isWholeRequest) WHOLE_REQUEST_THRESHOLD else UNPROVEN_PART_THRESHOLD

/** Crashes of requests with [trait] without which it is never blocked. */
internal fun minimumCrashes(trait: RequestTrait): Int = unprovenThreshold(trait).crashes

/** A trait, and the crashes since the last success of a request with it. */
private class Suspect(
    val trait: RequestTrait,
    val isProven: Boolean,
    val crashes: Collection<MonotonicTime>
) {
    val firstAt: MonotonicTime = crashes.min()
    val lastAt: MonotonicTime = crashes.max()

    val isConvincing: Boolean
        get() {
            val threshold = if (isProven) PROVEN_THRESHOLD else unprovenThreshold(trait)
            return crashes.size >= threshold.crashes && lastAt - firstAt >= threshold.spread
        }
}

/**
 * The traits that explain the crashes of [index]. Each crash is attributed to one trait, so that
 * traits which the crashed requests merely had in common with others are not blocked: first a trait
 * without any known success, then the one with most crashes, then the deepest, which fewest
 * requests have.
 */
internal fun attributeCrashes(
    index: CrashIndex,
    now: MonotonicTime,
    lastSurvival: (Fingerprint) -> MonotonicTime?
): PersistentMap<Fingerprint, TraitBlock> {
    var blocks = persistentMapOf<Fingerprint, TraitBlock>()
    var unexplained = index.suspects.associateWith { fingerprint ->
        index.crashesWith(index.traits.getValue(fingerprint), now)
    }
    while (true) {
        val cause = unexplained
            .mapNotNull { (fingerprint, crashes) ->
                val trait = index.traits.getValue(fingerprint).trait
                suspect(trait, crashes.values, lastSurvival(fingerprint))
            }.filter { it.isConvincing }
            .minWithOrNull(
                compareBy<Suspect> { it.isProven }
                    .thenByDescending { it.crashes.size }
                    .thenByDescending { it.trait.depth }
            ) ?: return blocks
        val trait = cause.trait.fingerprint
        val block =
            TraitBlock(trait, cause.isProven, cause.crashes.size, cause.firstAt, cause.lastAt)
        blocks = blocks.put(trait, block)
        val explained = unexplained.getValue(trait).keys
        unexplained = unexplained.mapValues { (_, crashes) -> crashes - explained }
    }
}

private fun suspect(
    trait: RequestTrait,
    crashes: Collection<MonotonicTime>,
    survivedAt: MonotonicTime?
): Suspect? {
    val counted = crashes.filter { survivedAt == null || it > survivedAt }
    return if (counted.isEmpty()) null else Suspect(trait, survivedAt != null, counted)
}
