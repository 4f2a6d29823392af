/*
 * Choice of the model engine for a request: where its prompt is read soonest, given what each
 * engine has cached and what else it has to read.
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

/** One part of a prompt. Requests share parts; a cached part needs all parts before it. */
public data class PromptPart(public val id: String, public val tokens: Int)

/** What the choice depends on; [shared] are the parts that other requests have as well. */
public data class PromptShape(
    public val shared: PersistentList<PromptPart> = persistentListOf(),
    public val ownTokens: Int = 0,
    public val outputTokens: Int = 0
) {
    public val tokens: Int get() = ownTokens + shared.sumOf { it.tokens }
}

/** Load of a target by its own last report. */
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
 * @property outstanding calls of this host that have not ended
 * @property unreadTokens prompt tokens that this host sent and that gave no event yet
 * @property cached parts that this host's requests had read there, the latest last
 * @property failures consecutive calls that broke
 * @property failedAt time of the last of them
 * @property slowedAt time of the last call that took far longer than its work
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
    /** Whether recent calls broke or dragged; such a target is taken only if no other is left. */
    public fun isSuspect(now: MonotonicTime): Boolean {
        if (slowedAt != null && now - slowedAt < FAILURE_MEMORY) return true
        val since = failedAt ?: return false
        return now - since < FAILURE_MEMORY * failures.coerceAtMost(MAXIMUM_FAILURES)
    }

    /** Whether a target that was slow is to show with little work that it no longer is. */
    public fun isOnTrial(now: MonotonicTime): Boolean =
        slowedAt != null && now - slowedAt < TRIAL_MEMORY

    private companion object {
        const val MAXIMUM_FAILURES = 4
    }
}

/** Notes that the engine has read [parts] of a prompt. */
public fun TargetView.read(parts: List<PromptPart>, now: MonotonicTime): TargetView {
    val kept =
        if (cached.size < CACHED_PARTS) {
            cached
        } else {
            cached.filterValues { now - it < CACHE_MEMORY }.toPersistentMap()
        }
    return copy(cached = parts.fold(kept) { all, part -> all.put(part.id, now) })
}

/** Parts of one engine that a host remembers before it drops old ones. */
internal const val CACHED_PARTS: Int = 1_000

/** An engine drops the parts used least lately; one not used for so long is probably gone. */
private val CACHE_MEMORY = 60.seconds

/** Size of stage results by the data centre that keeps them. */
public typealias ResultBytes = Map<DataCentre, Long>

/** Chooses among [candidates] for a request whose stage [results] the engine fetches. */
public fun chooseEngine(
    candidates: List<TargetRecord>,
    views: Map<TargetId, TargetView>,
    prompt: PromptShape,
    results: ResultBytes,
    here: DataCentre,
    now: MonotonicTime
): TargetRecord? {
    val sound = candidates.soundOrAll(views, now)
    val home = prompt.shared.lastOrNull()?.let { homeOf(it.id, sound) }
    return sound.minByOrNull { engine ->
        val view = views[engine.id] ?: TargetView()
        val distance = if (engine.dataCentre == here) 0.0 else REMOTE_MILLIS
        val crossing = results.filterKeys { it != engine.dataCentre }.values.sum()
        expectedMillis(view, prompt, engine.id == home, now) + distance +
            crossing * REMOTE_MILLIS_PER_MEGABYTE / BYTES_PER_MEGABYTE
    }
}

/** These targets without suspect ones, or all of them if there are no others. */
internal fun List<TargetRecord>.soundOrAll(
    views: Map<TargetId, TargetView>,
    now: MonotonicTime
): List<TargetRecord> = filterNot { views[it.id]?.isSuspect(now) == true }.ifEmpty { this }

private fun homeOf(part: String, engines: List<TargetRecord>): TargetId? =
    engines.maxByOrNull { rendezvousRank(part, it.id.value) }?.id

private fun expectedMillis(
    view: TargetView,
    prompt: PromptShape,
    isHome: Boolean,
    now: MonotonicTime
): Double {
    val report = view.report?.takeIf { now - it.at < REPORT_LIFETIME }
    val slowness = (report?.slownessPercent ?: USUAL_PERCENT).toDouble() / USUAL_PERCENT
    val others = ((report?.running ?: 0) - view.outstanding).coerceAtLeast(0)
    val waiting = report?.waiting ?: 0
    val toRead = prompt.ownTokens + view.unreadTokens + unreadShared(view, prompt, isHome)
    val reading = toRead / PREFILL_TOKENS_PER_MILLI
    return slowness * (reading + (view.outstanding + others) * RUNNING_MILLIS) +
        waiting * WAITING_MILLIS
}

/**
 * Shared tokens of [prompt] that the engine has probably not cached, with their weight: reading
 * them there delays its other requests and takes the place of other parts in its cache.
 */
private fun unreadShared(view: TargetView, prompt: PromptShape, isHome: Boolean): Double {
    val known = prompt.shared.takeWhile { it.id in view.cached }.sumOf { it.tokens }
    val shared = prompt.shared.sumOf { it.tokens }
    // Other hosts send the same part to the same engine, so its home has probably read it.
    return (shared - known) * REREAD_WEIGHT * (if (isHome) UNSEEN_AT_HOME else 1.0)
}

/** Prompt tokens that an engine reads in a millisecond, about, when nothing else runs. */
internal const val PREFILL_TOKENS_PER_MILLI = 40.0

/** Delay that one running request adds to the others, in milliseconds. */
private const val RUNNING_MILLIS = 2.0

/** Delay that one waiting request stands for, in milliseconds. */
private const val WAITING_MILLIS = 60.0

/** Added for an engine in another data centre, since its events cross between them. */
private const val REMOTE_MILLIS = 15.0

/** Added for each megabyte of results that crosses between data centres to the engine. */
private const val REMOTE_MILLIS_PER_MEGABYTE = 60.0
internal const val BYTES_PER_MEGABYTE = 1_000_000.0

/** Share of a part's tokens that are counted as unread at its home without own knowledge. */
private const val UNSEEN_AT_HOME = 0.2

/** Weight of a shared token that is read again against one that has to be read anyway. */
private const val REREAD_WEIGHT = 5.0

private const val USUAL_PERCENT = 100

/** Period over which a target's failures count against it. */
internal val FAILURE_MEMORY: Duration = 2.seconds

/** Period after a slow call in which a target gets little work. */
private val TRIAL_MEMORY: Duration = 6.seconds

/** Age after which a report says nothing about the load of a target. */
private val REPORT_LIFETIME: Duration = FAILURE_MEMORY
