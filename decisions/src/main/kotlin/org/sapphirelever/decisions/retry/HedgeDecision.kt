/*
 * Hedging: when a second attempt at an idempotent stage starts while the first still runs.
 */
package org.sapphirelever.decisions.retry

import kotlin.math.ceil
import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.sapphirelever.core.PipelineName
import org.sapphirelever.core.StageName

/** Identifies a stage of a pipeline. */
public data class StageKey(public val pipeline: PipelineName, public val stage: StageName)

/** Sliding window of durations of answered attempts at each stage. */
public data class StageLatencies(
    public val durations: PersistentMap<StageKey, PersistentList<Duration>> = persistentMapOf()
) {
    public fun with(key: StageKey, took: Duration): StageLatencies {
        val previous = durations[key] ?: persistentListOf()
        val window = if (previous.size >= WINDOW_SAMPLES) previous.removeAt(0) else previous
        val retained =
            if (key !in durations && durations.size >= MAXIMUM_STAGES) {
                durations.remove(durations.keys.first())
            } else {
                durations
            }
        return copy(durations = retained.put(key, window.add(took)))
    }

    /** The 95th percentile, or null while there are fewer than [MINIMUM_SAMPLES] durations. */
    public fun percentile95(key: StageKey): Duration? {
        val sorted = durations[key]?.sorted() ?: return null
        if (sorted.size < MINIMUM_SAMPLES) return null
        return sorted[ceil(sorted.size * HEDGE_PERCENTILE).toInt() - 1]
    }

    public companion object {
        public const val MINIMUM_SAMPLES: Int = 20
        private const val WINDOW_SAMPLES = 128
        private const val MAXIMUM_STAGES = 1_000
        private const val HEDGE_PERCENTILE = 0.95
    }
}

/**
 * Delay after which an attempt may be hedged, or null if it must not be: its stage is not
 * idempotent, its tokens are streamed to the caller, too few attempts were measured, or the delay
 * would pass the deadline.
 */
public fun StageLatencies.hedgeDelay(
    key: StageKey,
    idempotent: Boolean,
    streamsToCaller: Boolean,
    remaining: Duration
): Duration? {
    if (!idempotent || streamsToCaller) return null
    return percentile95(key)?.takeIf { it < remaining }
}
