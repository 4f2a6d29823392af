/*
 * Forecast of a whole request when it arrives, over all its stages and its engine.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.forwarding.BatchLimits
import org.sapphirelever.core.forwarding.RouteStage

/**
 * Expected duration of the stages of a request.
 *
 * @property idle with idle services
 * @property expected with the work that waits or is on its way
 * @property postponed the same behind all requests that can be on time
 * @property busiest service with the longest backlog, if any
 * @property work time that this service needs for the request
 * @property reportAge age of the last report on this service, if it is still believed
 */
public data class StageTimes(
    public val idle: Duration = Duration.ZERO,
    public val expected: Duration = Duration.ZERO,
    public val postponed: Duration = Duration.ZERO,
    public val busiest: ServiceName? = null,
    public val work: Duration = Duration.ZERO,
    public val reportAge: Duration? = null
)

/**
 * Expected duration of [stages] for a request of [rank], with [counts] pieces of each stage.
 * [limits] and [backlogs] are those of the services.
 */
public fun forecastStages(
    stages: List<RouteStage>,
    counts: List<Int>,
    rank: Int,
    limits: (ServiceName) -> BatchLimits?,
    backlogs: (ServiceName) -> ServiceBacklog,
    now: MonotonicTime
): StageTimes {
    val pieces =
        stages.indices
            .groupBy { stages[it].service }
            .mapValues { (_, indices) -> indices.sumOf { counts.getOrElse(it) { 0 } } }
            .filterValues { it > 0 }
    val known = pieces.keys.associateWith(backlogs)
    val busiest = known.values.maxByOrNull { it.expected(rank, now) }
    fun time(backlog: (ServiceBacklog) -> Duration): Duration =
        expectedStageTime(stages, counts, limits) { service ->
            known[service]?.let(backlog) ?: Duration.ZERO
        }
    val rate = busiest?.piecesPerMilli(now) ?: 0.0
    return StageTimes(
        idle = time { Duration.ZERO },
        expected = time { it.expected(rank, now) },
        postponed = time { it.postponed(rank, now) },
        busiest = busiest?.service,
        work =
            if (busiest == null || rate <= 0) {
                Duration.ZERO
            } else {
                (pieces.getValue(busiest.service) / rate).milliseconds
            },
        reportAge = busiest?.estimate?.takeUnless { it.isOutOfDate(now) }?.let { now - it.at }
    )
}
