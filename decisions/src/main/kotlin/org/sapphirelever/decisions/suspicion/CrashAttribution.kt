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

/** A trait, and the crashes since the last success of a request with it. */
private class Suspect(
    val trait: RequestTrait,
    val isProven: Boolean,
    val crashes: List<ObservedCrash>
) {
    val firstAt: MonotonicTime = crashes.minOf { it.at }
    val lastAt: MonotonicTime = crashes.maxOf { it.at }

    val isConvincing: Boolean
        get() {
            val threshold = when {
                isProven -> PROVEN_THRESHOLD
                trait.isWholeRequest -> WHOLE_REQUEST_THRESHOLD
                else -> UNPROVEN_PART_THRESHOLD
            }
            return crashes.size >= threshold.crashes && lastAt - firstAt >= threshold.spread
        }
}

/**
 * The traits that explain [crashes]. Each crash is attributed to one trait, so that traits which
 * the crashed requests merely had in common with others are not blocked: first a trait without any
 * known success, then the one with most crashes, then the deepest, which fewest requests have.
 */
internal fun attributeCrashes(
    crashes: List<ObservedCrash>,
    lastSurvival: (Fingerprint) -> MonotonicTime?
): PersistentMap<Fingerprint, TraitBlock> {
    var blocks = persistentMapOf<Fingerprint, TraitBlock>()
    var unexplained = crashes
    while (true) {
        val cause = suspects(unexplained, lastSurvival)
            .filter { it.isConvincing }
            .minWithOrNull(
                compareBy<Suspect> { it.isProven }
                    .thenByDescending { it.crashes.size }
                    .thenByDescending { it.trait.depth }
            ) ?: return blocks
        val trait = cause.trait.fingerprint
        val block =
            TraitBlock(trait, cause.isProven, cause.crashes.size, cause.firstAt, cause.lastAt)
        blocks = blocks.put(trait, block)
        unexplained = unexplained.filterNot { trait in it.traits }
    }
}

private fun suspects(
    crashes: List<ObservedCrash>,
    lastSurvival: (Fingerprint) -> MonotonicTime?
): List<Suspect> = crashes
    .flatMap { crash -> crash.traits.keys.map { it to crash } }
    .groupBy({ it.first }, { it.second })
    .mapNotNull { (trait, all) ->
        val survivedAt = lastSurvival(trait)
        val counted = all.filter { survivedAt == null || it.at > survivedAt }
        val depth = all.minOf { it.traits.getValue(trait) }
        if (counted.isEmpty()) {
            null
        } else {
            Suspect(RequestTrait(trait, depth), survivedAt != null, counted)
        }
    }
