/*
 * Exponentially weighted averages of measured times: the mean and the mean absolute deviation.
 */
package org.sapphirelever.decisions.prediction

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.sapphirelever.core.ServiceName

/**
 * Exponentially weighted mean and mean absolute deviation of a time.
 *
 * @property samples number of samples so far
 */
public data class TimeEstimate(
    public val mean: Duration = Duration.ZERO,
    public val deviation: Duration = Duration.ZERO,
    public val samples: Int = 0
) {
    public val known: Boolean get() = samples > 0

    /** Estimate of the 95th percentile; 2.5 mean deviations are two standard deviations. */
    public val percentile95: Duration get() = mean + deviation * PERCENTILE_95_DEVIATIONS

    /** The estimate after [sample]: an equal-weight mean at first, exponentially weighted later. */
    public fun with(sample: Duration): TimeEstimate {
        val weight = maxOf(1.0 / (samples + 1), DECAY_WEIGHT)
        val difference = sample - mean
        val error = if (known) difference.absoluteValue else Duration.ZERO
        return TimeEstimate(
            mean = mean + difference * weight,
            deviation = deviation + (error - deviation) * weight,
            samples = if (samples == Int.MAX_VALUE) samples else samples + 1
        )
    }

    private companion object {
        const val PERCENTILE_95_DEVIATIONS = 2.5
        const val DECAY_WEIGHT = 0.05
    }
}

/** Kind of stage call with one common time estimate: calls to one service in one size class. */
public data class StageKind(public val service: ServiceName, public val size: SizeClass)

/** Measured times of calls by service and size class. */
public data class StageTimes(
    public val estimates: PersistentMap<StageKind, TimeEstimate> = persistentMapOf()
) {
    public fun of(kind: StageKind): TimeEstimate = estimates[kind] ?: TimeEstimate()

    public fun with(kind: StageKind, sample: Duration): StageTimes =
        StageTimes(estimates.put(kind, of(kind).with(sample)))
}
