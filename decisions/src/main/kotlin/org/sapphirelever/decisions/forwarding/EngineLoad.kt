/*
 * Load of an engine now, as far as a late report and this host's own calls tell.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.math.pow
import kotlin.time.Duration.Companion.seconds
import org.sapphirelever.core.MonotonicTime

/** Expected number of requests that run and wait at an engine. */
internal data class EngineLoad(val running: Double, val waiting: Double) {
    val requests: Double get() = running + waiting
}

/**
 * Load by the requests of other hosts. A report loses weight with age in favour of [mean], the mean
 * of all engines: otherwise all hosts that read the same late report would choose the same engine.
 */
internal class OthersLoad(views: Collection<TargetView>, private val now: MonotonicTime) {
    private val mean: EngineLoad

    init {
        var weights = PRIOR_WEIGHT
        var running = 0.0
        var waiting = 0.0
        for (report in views.mapNotNull { it.report }) {
            val weight = weight(report)
            weights += weight
            // A single long queue, or a false report, says little of the other engines.
            running += weight * minOf(report.othersRunning, report.slots.coerceAtLeast(0))
            waiting += weight * minOf(report.othersWaiting, report.slots.coerceAtLeast(0))
        }
        mean = EngineLoad(running / weights, waiting / weights)
    }

    fun at(report: LoadReport?): EngineLoad {
        if (report == null) return mean
        val weight = weight(report)
        return EngineLoad(
            mean.running + (report.othersRunning - mean.running) * weight,
            mean.waiting + (report.othersWaiting - mean.waiting) * weight
        )
    }

    /** Slowness of the moment, which returns to the [usual] one with the age of the report. */
    fun slowness(report: LoadReport?, usual: Double): Double =
        if (report == null) usual else usual + (report.slowness - usual) * weight(report)

    private fun weight(report: LoadReport): Double =
        HALF.pow((now - report.at).coerceAtLeast(0.seconds) / REPORT_HALF_LIFE)

    private companion object {
        const val HALF = 0.5

        /** Requests that ran at the time of a report end within about a second. */
        val REPORT_HALF_LIFE = 1.seconds

        /** Weight of an idle engine in the mean, which counts if there are few reports. */
        const val PRIOR_WEIGHT = 1.0
    }
}

private val LoadReport.others: Int
    get() = (plausible(running) + plausible(waiting) - own).coerceAtLeast(0)

/** Requests of this host are counted as waiting only if others cannot explain the waiting ones. */
private val LoadReport.othersWaiting: Int get() = minOf(plausible(waiting), others)
private val LoadReport.othersRunning: Int get() = others - othersWaiting

private fun plausible(requests: Int): Int = requests.coerceIn(0, MAXIMUM_REQUESTS)

/** More requests than any engine holds. */
private const val MAXIMUM_REQUESTS = 2_000
