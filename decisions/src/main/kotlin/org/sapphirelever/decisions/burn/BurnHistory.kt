/*
 * Burn of the error budget: how fast requests that miss the service-level objective use it up, and
 * which stages and causes used it. Counts are kept for each minute in a bounded history.
 */
package org.sapphirelever.decisions.burn

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap

/** Stage (empty if none had started) and error code of a request that missed the objective. */
public data class BurnCause(public val stage: String, public val code: String)

/** Requests of one minute; minutes count from an origin that the owner of the history chooses. */
public data class MinuteCounts(
    public val minute: Long,
    public val total: Long = 0,
    public val missed: PersistentMap<BurnCause, Long> = persistentMapOf()
) {
    public val missedTotal: Long get() = missed.values.sum()

    public operator fun plus(other: MinuteCounts): MinuteCounts {
        val causes = missed.keys + other.missed.keys
        val sums = causes.associateWith { (missed[it] ?: 0) + (other.missed[it] ?: 0) }
        return copy(total = total + other.total, missed = sums.toPersistentMap())
    }
}

/** Decision of the system, such as an adopted revision, that the report shows to operators. */
public data class RecordedDecision(
    public val minute: Long,
    public val source: String,
    public val what: String
)

/** Minutes with requests and decisions, oldest first, both bounded. */
public data class BurnHistory(
    public val minutes: PersistentList<MinuteCounts> = persistentListOf(),
    public val decisions: PersistentList<RecordedDecision> = persistentListOf()
) {
    /** Counts one request in [minute]; [cause] is null if it met the objective. */
    public fun withRequest(minute: Long, cause: BurnCause?): BurnHistory {
        val last = minutes.lastOrNull()
        // Requests that finish around the turn of a minute may be counted out of order.
        val same = last != null && last.minute >= minute
        val before = if (same) last else MinuteCounts(minute)
        val missed =
            if (cause == null) {
                before.missed
            } else {
                before.missed.put(cause, (before.missed[cause] ?: 0) + 1)
            }
        val counted = before.copy(total = before.total + 1, missed = missed)
        val next = if (same) minutes.set(minutes.lastIndex, counted) else minutes.add(counted)
        return copy(minutes = next.since(minute - KEPT_MINUTES))
    }

    public fun withDecision(decision: RecordedDecision): BurnHistory =
        copy(decisions = decisions.add(decision).takeLast(KEPT_DECISIONS).toPersistentList())

    /** Sums this and [other], whose minutes count from the same origin. */
    public operator fun plus(other: BurnHistory): BurnHistory {
        val sums =
            (minutes + other.minutes)
                .groupBy { it.minute }
                .map { (_, counts) -> counts.reduce(MinuteCounts::plus) }
        return BurnHistory(
            sums.sortedBy { it.minute }.toPersistentList(),
            (decisions + other.decisions).sortedBy { it.minute }.toPersistentList()
        )
    }

    private fun PersistentList<MinuteCounts>.since(first: Long): PersistentList<MinuteCounts> =
        if (first().minute > first) this else filter { it.minute > first }.toPersistentList()

    public companion object {
        /** The longest window of the report, 6 h. */
        public const val KEPT_MINUTES: Int = 360
        public const val KEPT_DECISIONS: Int = 200
    }
}

/** Objective: the share of requests that complete within their deadline. */
public data class Objective(public val share: Double = DEFAULT_SHARE) {
    /** Share of requests that may miss the objective. */
    public val budget: Double get() = 1 - share

    public companion object {
        /** Default objective: 99 of 100 admitted requests complete within their deadline. */
        public const val DEFAULT_SHARE: Double = 0.99
    }
}

/** Burn over one window; a [rate] of 1 uses up exactly the budget of the window. */
public data class WindowBurn(
    public val length: Duration,
    public val total: Long,
    public val missed: Long,
    public val rate: Double
)

/** Requests that [cause] made miss the objective, and their [share] of all missed ones. */
public data class CauseShare(
    public val cause: BurnCause,
    public val missed: Long,
    public val share: Double
)

/** Burn at one moment. [budgetLeft] is the remaining share of the budget of the longest window. */
public data class BurnReport(
    public val objective: Objective,
    public val budgetLeft: Double,
    public val windows: PersistentList<WindowBurn>,
    public val causes: PersistentList<CauseShare>,
    public val decisions: PersistentList<RecordedDecision>
)

/** Windows of the report: short ones show a sudden burn, the long one a slow burn. */
public val BURN_WINDOWS: List<Duration> = listOf(5.minutes, 1.hours, 6.hours)

/** The report at minute [now], including the requests of that minute. */
public fun BurnHistory.report(objective: Objective, now: Long): BurnReport {
    val windows = BURN_WINDOWS.map { window(it, objective, now) }
    return BurnReport(
        objective = objective,
        budgetLeft = 1 - windows.last().rate,
        windows = windows.toPersistentList(),
        causes = causes(now),
        decisions = decisions.sortedBy { it.minute }.toPersistentList()
    )
}

private fun BurnHistory.window(length: Duration, objective: Objective, now: Long): WindowBurn {
    val inside = minutes.filter { it.minute > now - length.inWholeMinutes && it.minute <= now }
    val total = inside.sumOf { it.total }
    val missed = inside.sumOf { it.missedTotal }
    val rate = if (total == 0L) 0.0 else missed.toDouble() / total / objective.budget
    return WindowBurn(length, total, missed, rate)
}

private fun BurnHistory.causes(now: Long): PersistentList<CauseShare> {
    val sums = mutableMapOf<BurnCause, Long>()
    minutes.filter { it.minute > now - BurnHistory.KEPT_MINUTES }.forEach { counts ->
        counts.missed.forEach { (cause, count) -> sums.merge(cause, count, Long::plus) }
    }
    val all = sums.values.sum()
    return sums
        .map { (cause, count) -> CauseShare(cause, count, count.toDouble() / all) }
        .sortedWith(compareBy({ -it.missed }, { it.cause.stage }, { it.cause.code }))
        .toPersistentList()
}
