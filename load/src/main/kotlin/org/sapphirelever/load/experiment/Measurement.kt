/*
 * Measurements of a run. Latencies count from the intended send time of a request, so that
 * delayed requests are measured in full (no coordinated omission).
 */
package org.sapphirelever.load.experiment

import kotlin.time.Duration
import org.HdrHistogram.Histogram

/** Result of a request. */
public enum class Ending { IN_TIME, LATE, REFUSED, FAILED }

/** One finished request. */
public data class Sample(
    public val organisation: String,
    public val long: Boolean,
    public val intendedAt: Duration,
    public val latency: Duration,
    public val ending: Ending
)

/** Samples of one run. */
public data class Measurement(
    public val samples: List<Sample>,
    public val prefixHitShare: Double = 0.0
) {
    public fun between(start: Duration, end: Duration): Measurement =
        copy(samples = samples.filter { it.intendedAt >= start && it.intendedAt < end })

    public fun forOrganisation(organisation: String): Measurement =
        copy(samples = samples.filter { it.organisation == organisation })

    public fun shortRequests(): Measurement = copy(samples = samples.filter { !it.long })

    public fun longRequests(): Measurement = copy(samples = samples.filter { it.long })

    private fun count(ending: Ending): Int = samples.count { it.ending == ending }

    /** Share of the admitted requests that completed in time. */
    public val attainment: Double
        get() = share(count(Ending.IN_TIME), samples.size - count(Ending.REFUSED))

    /** Share of all requests that completed in time. */
    public val served: Double get() = share(count(Ending.IN_TIME), samples.size)

    public val inTime: Int get() = count(Ending.IN_TIME)

    /** Latency in milliseconds at [percentile] of the requests that completed. */
    public fun percentile(percentile: Double): Double {
        val histogram = Histogram(SIGNIFICANT_DIGITS)
        samples.filter { it.ending == Ending.IN_TIME || it.ending == Ending.LATE }
            .forEach { histogram.recordValue(it.latency.inWholeMicroseconds.coerceAtLeast(1)) }
        return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI
    }

    private fun share(part: Int, whole: Int): Double =
        if (whole == 0) 1.0 else part.toDouble() / whole

    private companion object {
        const val SIGNIFICANT_DIGITS = 3
        const val MICROS_PER_MILLI = 1000.0
    }
}
