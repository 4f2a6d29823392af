/*
 * Forecast of the engines that a service needs. Planners are interchangeable, so that experiments
 * compare them on the same demand.
 */
package org.sapphirelever.decisions.capacity

import kotlin.math.max
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** Wall-clock time as a day number and a minute of that day. */
public data class DayMoment(public val day: Int, public val minute: Int) {
    internal val bucket: Int get() = minute / BUCKET_MINUTES

    public companion object {
        /** Length of the intervals of [DemandHistory]. */
        public const val BUCKET_MINUTES: Int = 5
        public const val BUCKETS: Int = 24 * 60 / BUCKET_MINUTES
    }
}

/** Greatest demand, in engines, in each interval of the last days. */
public data class DemandHistory(
    private val days: PersistentMap<Int, PersistentMap<Int, Double>> = persistentMapOf()
) {
    public fun with(moment: DayMoment, demand: Double): DemandHistory {
        val day = days[moment.day] ?: persistentMapOf()
        val greatest = max(day[moment.bucket] ?: 0.0, demand)
        val expired = days.keys.filter { it < moment.day - KEPT_DAYS }
        val kept = expired.fold(days) { all, old -> all.remove(old) }
        return DemandHistory(kept.put(moment.day, day.put(moment.bucket, greatest)))
    }

    /** Demand by interval of [day], or null if that day is not known. */
    internal fun profile(day: Int): PersistentMap<Int, Double>? = days[day]

    private companion object {
        const val KEPT_DAYS = 3
    }
}

/** Computes how many engines a service will need; the result includes a reserve. */
public interface CapacityPlanner {
    public val name: String

    public fun requiredEngines(history: DemandHistory, now: DayMoment, demand: Double): Double
}

/** Plans for the present demand and a [reserve], which is a share of it. */
public class ReactivePlanner(private val reserve: Double = DEFAULT_RESERVE) : CapacityPlanner {
    override val name: String = "reactive"

    override fun requiredEngines(history: DemandHistory, now: DayMoment, demand: Double): Double =
        demand * (1 + reserve)

    public companion object {
        public const val DEFAULT_RESERVE: Double = 0.2
    }
}

/**
 * Plans for the greatest demand expected until a model load that starts now has ended. It expects
 * the demand of yesterday at the same time of day, shifted by the drift between the two days before
 * today and scaled by the ratio of today's demand to yesterday's. It never plans less than
 * [ReactivePlanner].
 *
 * @param lookAheadIntervals intervals to look ahead; covers the time of a rate-limited load
 */
public class ForecastPlanner(
    private val reserve: Double = ReactivePlanner.DEFAULT_RESERVE,
    private val lookAheadIntervals: Int = DEFAULT_LOOK_AHEAD_INTERVALS
) : CapacityPlanner {
    override val name: String = "forecast"

    override fun requiredEngines(history: DemandHistory, now: DayMoment, demand: Double): Double =
        max(demand, expected(history, now, demand)) * (1 + reserve)

    private fun expected(history: DemandHistory, now: DayMoment, demand: Double): Double {
        val yesterday = history.profile(now.day - 1) ?: return 0.0
        val shift = drift(history, now.day)
        val present = at(yesterday, now.bucket - shift)
        val scale = if (present > 0) (demand / present).coerceIn(SCALE_RANGE) else 1.0
        val ahead = (0..lookAheadIntervals).maxOf { at(yesterday, now.bucket + it - shift) }
        return ahead * scale
    }

    /** Intervals by which yesterday's demand came later than that of the day before. */
    private fun drift(history: DemandHistory, day: Int): Int {
        val yesterday = history.profile(day - 1) ?: return 0
        val before = history.profile(day - 2) ?: return 0
        return (-MAXIMUM_DRIFT..MAXIMUM_DRIFT).minByOrNull { shift ->
            (0 until DayMoment.BUCKETS).sumOf { bucket ->
                val difference = at(yesterday, bucket) - at(before, bucket - shift)
                difference * difference
            } + if (shift == 0) 0.0 else MINIMUM_GAIN
        } ?: 0
    }

    private fun at(profile: PersistentMap<Int, Double>, bucket: Int): Double =
        profile[bucket.mod(DayMoment.BUCKETS)] ?: 0.0

    public companion object {
        /** Three intervals of 5 min: a load limited by the weight store takes several minutes. */
        public const val DEFAULT_LOOK_AHEAD_INTERVALS: Int = 3

        /**
         * In intervals: an hour either way, since sunset moves by minutes a day, a clock change by
         * an hour.
         */
        private const val MAXIMUM_DRIFT = 12

        /** A drift must fit better than none by this much, so that noise causes no drift. */
        private const val MINIMUM_GAIN = 1e-9

        private val SCALE_RANGE = 0.5..2.0
    }
}
