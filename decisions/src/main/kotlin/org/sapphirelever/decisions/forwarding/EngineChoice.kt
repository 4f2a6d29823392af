/*
 * Chooses the model engine for a request: the one that finishes the prefill of its prompt first,
 * given what each engine has cached and which other work it has.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.TargetRecord
import org.sapphirelever.decisions.rendezvousRank

/**
 * One part of a prompt, which several requests may share. An engine reuses a cached part only if it
 * has cached all parts before it.
 */
public data class PromptPart(public val id: String, public val tokens: Int)

/** Sizes of a prompt; [shared] are its leading parts, which other requests have as well. */
public data class PromptShape(
    public val shared: PersistentList<PromptPart> = persistentListOf(),
    public val ownTokens: Int = 0,
    public val outputTokens: Int = 0
) {
    public val tokens: Int get() = ownTokens + shared.sumOf { it.tokens }
}

/** Load that a target reported at [at]; [slownessPercent] is 100 at normal speed. */
public data class LoadReport(
    public val running: Int,
    public val waiting: Int,
    public val slots: Int,
    public val slownessPercent: Int,
    public val at: MonotonicTime
)

/**
 * What this host knows of one target.
 *
 * @property outstanding calls of this host in flight
 * @property unreadTokens prompt tokens of calls from this host that have not produced an event yet
 * @property cached prompt parts that requests of this host loaded there, with their last use
 * @property failures number of consecutive broken calls
 * @property failedAt time of the last broken call
 * @property slowedAt time of the last call that took far longer than its work should
 */
public data class TargetView(
    public val outstanding: Int = 0,
    public val unreadTokens: Int = 0,
    public val cached: PersistentMap<String, MonotonicTime> = persistentMapOf(),
    public val report: LoadReport? = null,
    public val failures: Int = 0,
    public val failedAt: MonotonicTime? = null,
    public val slowedAt: MonotonicTime? = null
) {
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

/** Records that the engine has prefilled [parts] of a prompt, which it then caches. */
public fun TargetView.withCached(parts: List<PromptPart>, now: MonotonicTime): TargetView {
    val kept =
        if (cached.size < CACHED_PARTS_THRESHOLD) {
            cached
        } else {
            cached.filterValues { now - it < CACHE_ENTRY_LIFETIME }.toPersistentMap()
        }
    return copy(cached = parts.fold(kept) { all, part -> all.put(part.id, now) })
}

/** Number of cached parts per engine at which a host starts to forget old ones. */
internal const val CACHED_PARTS_THRESHOLD: Int = 1_000

/** An engine evicts the least recently used parts; one unused for this long is probably gone. */
private val CACHE_ENTRY_LIFETIME = 60.seconds

/** Size of stage results by the data centre that holds them. */
public typealias ResultBytes = Map<DataCentre, Long>

/** Chooses the engine for a request; the engine will fetch the stage [results]. */
public fun chooseEngine(
    candidates: List<TargetRecord>,
    views: Map<TargetId, TargetView>,
    prompt: PromptShape,
    results: ResultBytes,
    localDataCentre: DataCentre,
    now: MonotonicTime
): TargetRecord? {
    val healthy = candidates.healthyOrAll(views, now)
    val preferred = prompt.shared.lastOrNull()?.let { preferredEngine(it.id, healthy) }
    return healthy.minByOrNull { engine ->
        val view = views[engine.id] ?: TargetView()
        val remotePenalty = if (engine.dataCentre == localDataCentre) 0.0 else REMOTE_ENGINE_MILLIS
        val transferBytes = results.filterKeys { it != engine.dataCentre }.values.sum()
        expectedMillis(view, prompt, engine.id == preferred, now) + remotePenalty +
            transferBytes * REMOTE_MILLIS_PER_MEGABYTE / BYTES_PER_MEGABYTE
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

private fun preferredEngine(part: String, engines: List<TargetRecord>): TargetId? =
    engines.maxByOrNull { rendezvousRank(part, it.id.value) }?.id

private fun expectedMillis(
    view: TargetView,
    prompt: PromptShape,
    isPreferred: Boolean,
    now: MonotonicTime
): Double {
    val report = view.report?.takeIf { now - it.at < REPORT_LIFETIME }
    val slowness = (report?.slownessPercent ?: NORMAL_PERCENT).toDouble() / NORMAL_PERCENT
    val others = ((report?.running ?: 0) - view.outstanding).coerceAtLeast(0)
    val waiting = report?.waiting ?: 0
    val tokens = prompt.ownTokens + view.unreadTokens + uncachedTokens(view, prompt, isPreferred)
    val prefillMillis = tokens / PREFILL_TOKENS_PER_MILLI
    return slowness * (prefillMillis + (view.outstanding + others) * RUNNING_REQUEST_MILLIS) +
        waiting * WAITING_REQUEST_MILLIS
}

/**
 * Weighted number of shared tokens of [prompt] that the engine has probably not cached. Their
 * prefill delays its other requests and evicts other parts from its cache.
 */
private fun uncachedTokens(view: TargetView, prompt: PromptShape, isPreferred: Boolean): Double {
    val cached = prompt.shared.takeWhile { it.id in view.cached }.sumOf { it.tokens }
    val shared = prompt.shared.sumOf { it.tokens }
    // All hosts prefer the same engine for a part, so it has probably been cached there.
    return (shared - cached) * CACHE_MISS_WEIGHT * (if (isPreferred) PREFERRED_MISS_RATIO else 1.0)
}

/** Approximate number of prompt tokens that an idle engine prefills in a millisecond. */
internal const val PREFILL_TOKENS_PER_MILLI = 40.0

/** Delay that each running request adds to the others, in milliseconds. */
private const val RUNNING_REQUEST_MILLIS = 2.0

/** Delay that each waiting request adds, in milliseconds. */
private const val WAITING_REQUEST_MILLIS = 60.0

/** Penalty for an engine in another data centre, from which every event is transferred. */
private const val REMOTE_ENGINE_MILLIS = 15.0

/** Penalty per megabyte of results that the engine fetches from another data centre. */
private const val REMOTE_MILLIS_PER_MEGABYTE = 60.0
internal const val BYTES_PER_MEGABYTE = 1_000_000.0

/**
 * Share of the tokens of a part counted as uncached at its preferred engine if this host does not
 * know whether the engine has cached it.
 */
private const val PREFERRED_MISS_RATIO = 0.2

/** Weight of a cache miss relative to a token that any engine would have to prefill. */
private const val CACHE_MISS_WEIGHT = 5.0

private const val NORMAL_PERCENT = 100

/** Cooldown of a target after a slow call, and for each consecutive broken call. */
internal val FAILURE_COOLDOWN: Duration = 2.seconds

/** Time after a slow call during which a target gets only little work. */
private val PROBATION_PERIOD: Duration = 6.seconds

/** Age after which a report says nothing about the current load of a target. */
private val REPORT_LIFETIME: Duration = FAILURE_COOLDOWN
