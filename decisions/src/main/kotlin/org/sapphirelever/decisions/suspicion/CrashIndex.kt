/*
 * Crashes and successes that all hosts observed, indexed so that the cost of one more report
 * depends on its size and not on the reports before it.
 */
package org.sapphirelever.decisions.suspicion

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.forwarding.TargetIncarnation
import org.sapphirelever.decisions.keys.Fingerprint

/**
 * When something happened, according to several reports.
 *
 * @property isExact whether these times are accurate to the delay of a report
 */
public data class ReportedTime(
    public val earliest: MonotonicTime,
    public val latest: MonotonicTime,
    public val isExact: Boolean
) {
    /** This time and that of [other]; an inexact one does not count beside an exact one. */
    internal fun merged(other: ReportedTime): ReportedTime = when {
        isExact && !other.isExact -> this

        other.isExact && !isExact -> other

        else -> ReportedTime(
            minOf(earliest, other.earliest),
            maxOf(latest, other.latest),
            isExact
        )
    }
}

/** A crash, with the depth of each trait of the requests that any host had there. */
public data class KnownCrash(
    public val time: ReportedTime,
    public val traits: PersistentMap<Fingerprint, Int> = persistentMapOf()
)

/** A trait, with the crashes of targets that ran requests with it. */
public data class CrashedTrait(
    public val trait: RequestTrait,
    public val targets: PersistentSet<TargetIncarnation> = persistentSetOf()
)

/**
 * Evidence of all hosts.
 *
 * @property suspects traits of so many crashes that they may be blocked
 * @property sweptAt time at which expired evidence was last removed
 */
public data class CrashIndex(
    public val crashes: PersistentMap<TargetIncarnation, KnownCrash> = persistentMapOf(),
    public val traits: PersistentMap<Fingerprint, CrashedTrait> = persistentMapOf(),
    public val survivals: PersistentMap<Fingerprint, ReportedTime> = persistentMapOf(),
    public val suspects: PersistentSet<Fingerprint> = persistentSetOf(),
    private val sweptAt: MonotonicTime? = null
) {
    /** Adds what one host observed. */
    internal fun added(evidence: HostEvidence, now: MonotonicTime): CrashIndex {
        val withCrashes = evidence.crashes.entries.fold(this) { all, (target, crash) ->
            val time = ReportedTime(crash.at, crash.at, evidence.isExact)
            if (now - crash.at < CrashEvidence.VALIDITY) all.added(target, crash, time) else all
        }
        val survivals = evidence.survivals.entries.fold(survivals) { all, (trait, at) ->
            val time = ReportedTime(at, at, evidence.isExact)
            all.put(trait, all[trait]?.merged(time) ?: time)
        }
        return withCrashes.copy(survivals = survivals).swept(now)
    }

    private fun added(
        target: TargetIncarnation,
        crash: ObservedCrash,
        time: ReportedTime
    ): CrashIndex {
        val known = crashes[target]
        val merged = KnownCrash(
            known?.time?.merged(time) ?: time,
            known?.traits ?: persistentMapOf()
        )
        val added = crash.traits.filterKeys { it !in merged.traits }
        val indexed = added.entries.fold(this) { all, (fingerprint, depth) ->
            all.indexed(RequestTrait(fingerprint, depth), target)
        }
        val whole = merged.copy(traits = merged.traits.putAll(added))
        return indexed.copy(crashes = indexed.crashes.put(target, whole))
    }

    private fun indexed(trait: RequestTrait, target: TargetIncarnation): CrashIndex {
        val known = traits[trait.fingerprint] ?: CrashedTrait(trait)
        val changed = known.copy(targets = known.targets.add(target))
        val needed = minimumCrashes(changed.trait)
        return copy(
            traits = traits.put(trait.fingerprint, changed),
            suspects =
                if (changed.targets.size >= needed) suspects.add(trait.fingerprint) else suspects
        )
    }

    /** Crashes of targets that ran requests with [trait], the recent ones only. */
    internal fun crashesWith(
        trait: CrashedTrait,
        now: MonotonicTime
    ): Map<TargetIncarnation, MonotonicTime> = trait.targets
        .associateWith { crashes.getValue(it).time.earliest }
        .filterValues { now - it < CrashEvidence.VALIDITY }

    /**
     * Removes what has expired, at most once per [SWEEP_PERIOD], and all but the newest crashes
     * when there are too many, so that the cost for each report stays small.
     */
    private fun swept(now: MonotonicTime): CrashIndex {
        val isDue = sweptAt?.let { now - it >= SWEEP_PERIOD } ?: true
        if (!isDue && crashes.size <= 2 * MAXIMUM_CRASHES) return this
        val kept = crashes.entries
            .filter { now - it.value.time.earliest < CrashEvidence.VALIDITY }
            .sortedByDescending { it.value.time.earliest }
            .take(MAXIMUM_CRASHES)
        if (kept.size == crashes.size) return copy(sweptAt = now)
        val rebuilt = kept.fold(CrashIndex(sweptAt = now)) { all, (target, crash) ->
            all.added(target, ObservedCrash(crash.time.earliest, crash.traits), crash.time)
        }
        val known = survivals.entries
            .filter { it.key in rebuilt.traits }
            .fold(persistentMapOf<Fingerprint, ReportedTime>()) { all, (trait, time) ->
                all.put(trait, time)
            }
        return rebuilt.copy(survivals = known)
    }

    private companion object {
        /** Crashes that are remembered; a block needs five at most. */
        const val MAXIMUM_CRASHES = 128
        val SWEEP_PERIOD: Duration = 1.minutes
    }
}
