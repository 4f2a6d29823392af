/*
 * Result of a load run: outcomes and latencies, as a table and as JSON.
 */
package org.sapphirelever.load.http

import java.util.Locale
import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram

/** Percentiles of the latency of a pipeline or a stage, in milliseconds. */
@Serializable
public data class LatencyMessage(
    public val name: String,
    public val count: Long,
    public val p50Millis: Double,
    public val p99Millis: Double,
    public val p999Millis: Double,
    public val maximumMillis: Double
)

/**
 * Result of a load run.
 *
 * @property outcomes requests by outcome and code, for example `complete ok`
 * @property foreign answers that did not contain the text of their own request
 * @property inTime complete answers within the deadline, from the intended send time
 */
@Serializable
public data class LoadResult(
    public val sent: Long,
    public val outcomes: Map<String, Long>,
    public val foreign: Long,
    public val inTime: Long,
    public val latencies: List<LatencyMessage>
) {
    /** Whether every request received a complete answer, and its own. */
    public val allComplete: Boolean
        get() = foreign == 0L && outcomes.keys == setOf("complete ok")

    public fun table(): String = buildString {
        appendLine("requests %d, in time %d, foreign answers %d".format(sent, inTime, foreign))
        outcomes.toSortedMap().forEach { (outcome, count) ->
            appendLine("  %-40s %8d".format(outcome, count))
        }
        appendLine("%-30s %8s %9s %9s %9s %9s".format(*HEADINGS))
        latencies.forEach { appendLine(it.line()) }
    }

    private fun LatencyMessage.line(): String = "%-30s %8d %9.1f %9.1f %9.1f %9.1f".format(
        Locale.ROOT,
        name,
        count,
        p50Millis,
        p99Millis,
        p999Millis,
        maximumMillis
    )

    private companion object {
        val HEADINGS = arrayOf("milliseconds", "count", "p50", "p99", "p99.9", "max")
    }
}

/** Percentiles of this histogram, whose values are microseconds. */
internal fun Histogram.toMessage(name: String): LatencyMessage = LatencyMessage(
    name = name,
    count = totalCount,
    p50Millis = percentileMillis(MEDIAN),
    p99Millis = percentileMillis(P99),
    p999Millis = percentileMillis(P999),
    maximumMillis = maxValue / MICROS_PER_MILLI
)

private fun Histogram.percentileMillis(percentile: Double): Double =
    getValueAtPercentile(percentile) / MICROS_PER_MILLI

private const val MEDIAN = 50.0
private const val P99 = 99.0
private const val P999 = 99.9
private const val MICROS_PER_MILLI = 1000.0
