/*
 * What a host observed of a target: its load, its health, its speed and the prompt parts that it
 * cached.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.TargetRecord

/**
 * Load that a target reported at [at]; [slownessPercent] is 100 at normal speed.
 *
 * @property own calls of this host that were in flight at that time, which the report includes
 */
public data class LoadReport(
    public val running: Int,
    public val waiting: Int,
    public val slots: Int,
    public val slownessPercent: Int,
    public val at: MonotonicTime,
    public val own: Int = 0
) {
    /** Time per unit of work relative to normal, within plausible bounds. */
    internal val slowness: Double
        get() = if (slownessPercent <= 0) 1.0 else (slownessPercent / PERCENT).coerceIn(SLOWNESSES)

    private companion object {
        val SLOWNESSES = 0.5..20.0
        const val PERCENT = 100.0
    }
}

/**
 * What this host knows of one target.
 *
 * @property outstanding calls of this host in flight
 * @property prompts calls of this host in flight that have a prompt, by their number
 * @property cached prompt parts that requests of this host loaded there, with the tokens that the
 *   engines of the service had loaded for this host at their last use
 * @property failures number of consecutive broken calls
 * @property failedAt time of the last broken call
 * @property slowedAt time of the last call that took far longer than its work should
 */
public data class TargetView(
    public val outstanding: Int = 0,
    public val prompts: PersistentMap<Long, PromptCall> = persistentMapOf(),
    public val cached: PersistentMap<String, Long> = persistentMapOf(),
    public val report: LoadReport? = null,
    public val speed: EngineSpeed = EngineSpeed(),
    public val failures: Int = 0,
    public val failedAt: MonotonicTime? = null,
    public val slowedAt: MonotonicTime? = null
) {
    /** Prompt tokens of calls from this host that have not produced an event yet. */
    public val unreadTokens: Int
        get() = prompts.values.sumOf { if (it.hasBegun) 0 else it.forecast.readTokens }

    /** Whether recent calls broke or were slow; such a target is used only if none is healthy. */
    public fun isUnhealthy(now: MonotonicTime): Boolean {
        if (slowedAt != null && now - slowedAt < FAILURE_COOLDOWN) return true
        val since = failedAt ?: return false
        return now - since < FAILURE_COOLDOWN * failures.coerceAtMost(MAXIMUM_COOLDOWN_FACTOR)
    }

    /**
     * Whether the target gets only little work, since it was slow recently and no call has run at
     * normal speed since.
     */
    public fun isOnProbation(now: MonotonicTime): Boolean =
        slowedAt != null && now - slowedAt < PROBATION_PERIOD

    private companion object {
        const val MAXIMUM_COOLDOWN_FACTOR = 4
    }
}

/** The target whose loss would break the fewest requests. */
public fun leastLoaded(
    candidates: List<TargetRecord>,
    views: Map<TargetId, TargetView>
): TargetRecord? = candidates.minByOrNull { target ->
    val view = views[target.id] ?: TargetView()
    maxOf(view.outstanding, view.report?.running ?: 0)
}

/** The healthy targets of this list, or all of them if none is healthy. */
internal fun List<TargetRecord>.healthyOrAll(
    views: Map<TargetId, TargetView>,
    now: MonotonicTime
): List<TargetRecord> = filterNot { views[it.id]?.isUnhealthy(now) == true }.ifEmpty { this }

/** Cooldown of a target after a slow call, and for each consecutive broken call. */
internal val FAILURE_COOLDOWN: Duration = 2.seconds

/** Time after a slow call during which a target gets only little work. */
private val PROBATION_PERIOD: Duration = 6.seconds
