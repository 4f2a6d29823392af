/*
 * Evidence on which requests crash targets. A target that crashes breaks all its requests, so each
 * host records what its requests on that target had in common, and which requests with these traits
 * succeeded. Hosts exchange this evidence and draw the same conclusions from it.
 */
package org.sapphirelever.decisions.suspicion

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.sapphirelever.core.HostId
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.forwarding.TargetIncarnation
import org.sapphirelever.decisions.keys.Fingerprint

/** A crash, with the depth of each trait of the requests that were running there. */
public data class ObservedCrash(
    public val at: MonotonicTime,
    public val traits: PersistentMap<Fingerprint, Int> = persistentMapOf()
)

/** What one host observed; [survivals] holds the last success of a request with a trait. */
public data class HostEvidence(
    public val crashes: PersistentMap<TargetIncarnation, ObservedCrash> = persistentMapOf(),
    public val survivals: PersistentMap<Fingerprint, MonotonicTime> = persistentMapOf()
)

/**
 * Evidence of this host and of [others].
 *
 * @property blocks traits whose requests are not sent to targets
 * @property publishedAt time of the last publication of the evidence of this host
 */
public data class CrashEvidence(
    public val own: HostEvidence = HostEvidence(),
    public val others: PersistentMap<HostId, HostEvidence> = persistentMapOf(),
    public val blocks: PersistentMap<Fingerprint, TraitBlock> = persistentMapOf(),
    public val publishedAt: MonotonicTime? = null,
    private val olderSurvivals: PersistentMap<Fingerprint, MonotonicTime> = persistentMapOf()
) {
    /** The block of one of [traits] that lasts longest, or null if none is blocked. */
    public fun blockOf(traits: List<RequestTrait>, now: MonotonicTime): TraitBlock? = traits
        .mapNotNull { blocks[it.fingerprint] }
        .filter { now - it.lastCrashAt < VALIDITY }
        .maxByOrNull { it.trialDueAt }

    /** Records that requests with [traits] were running on [target] when it crashed. */
    public fun crashed(
        target: TargetIncarnation,
        traits: List<RequestTrait>,
        now: MonotonicTime
    ): CrashEvidence {
        val known = own.crashes[target] ?: ObservedCrash(now)
        val added = traits.take(MAXIMUM_TRAITS - known.traits.size.coerceAtMost(MAXIMUM_TRAITS))
        val crash = added.fold(known) { all, trait ->
            all.copy(traits = all.traits.put(trait.fingerprint, trait.depth))
        }
        return copy(own = own.copy(crashes = own.crashes.put(target, crash).newest(now)))
            .reassessed(now)
    }

    /** Records that a target answered a request with [traits] and did not crash. */
    public fun survived(traits: List<RequestTrait>, now: MonotonicTime): CrashEvidence {
        val isFull = own.survivals.size >= MAXIMUM_SURVIVALS
        val recent = if (isFull) persistentMapOf() else own.survivals
        val survivals = traits.fold(recent) { all, trait -> all.put(trait.fingerprint, now) }
        val recorded =
            copy(
                own = own.copy(survivals = survivals),
                olderSurvivals = if (isFull) own.survivals else olderSurvivals
            )
        return if (traits.any { it.fingerprint in blocks }) recorded.reassessed(now) else recorded
    }

    /** Replaces the evidence of [host]. */
    public fun received(host: HostId, evidence: HostEvidence, now: MonotonicTime): CrashEvidence {
        val recent = others.filterValues { it.isRecent(now) }.toPersistentMap()
        return copy(others = recent.put(host, evidence)).reassessed(now)
    }

    /** Time of the last known success of a request with [trait]. */
    public fun lastSurvival(trait: Fingerprint): MonotonicTime? {
        val ownSurvival = own.survivals[trait] ?: olderSurvivals[trait]
        val otherSurvivals = others.values.mapNotNull { it.survivals[trait] }
        return (otherSurvivals + listOfNotNull(ownSurvival)).maxOrNull()
    }

    /**
     * Whether other hosts may lack the successes of [traits]: several crashes since the last
     * publication could make them block one of them.
     */
    public fun isSurvivalDisputed(traits: List<RequestTrait>): Boolean {
        if (traits.any { it.fingerprint in blocks }) return true
        val recent = (others.values + own)
            .flatMap { it.crashes.entries }
            .filter { crash -> publishedAt?.let { crash.value.at > it } ?: true }
        return traits.any { trait ->
            val targets = recent.filter { trait.fingerprint in it.value.traits }.map { it.key }
            targets.distinct().size >= DISPUTED_CRASHES
        }
    }

    /** What this host publishes: its crashes, and its successes with the traits of any crash. */
    public fun publication(): HostEvidence {
        val traits = allCrashes().flatMap { it.traits.keys }.toSet()
        val survivals = traits
            .mapNotNull { trait ->
                (own.survivals[trait] ?: olderSurvivals[trait])?.let { trait to it }
            }.sortedByDescending { it.second }
            .take(MAXIMUM_TRAITS)
        return HostEvidence(own.crashes, survivals.toMap().toPersistentMap())
    }

    /** Draws the conclusions from all evidence. */
    public fun reassessed(now: MonotonicTime): CrashEvidence {
        val recent = allCrashes().filter { now - it.at < VALIDITY }
        return copy(blocks = attributeCrashes(recent, ::lastSurvival))
    }

    /** All known crashes, each with the traits that any host observed. */
    private fun allCrashes(): List<ObservedCrash> = (others.values + own)
        .flatMap { it.crashes.entries }
        .groupBy({ it.key }, { it.value })
        .values
        .map { reports ->
            ObservedCrash(
                // Reports of other hosts arrive late, so the earliest time is the most accurate.
                reports.minOf { it.at },
                reports.fold(persistentMapOf()) { all, report -> all.putAll(report.traits) }
            )
        }

    private fun HostEvidence.isRecent(now: MonotonicTime): Boolean =
        crashes.values.any { now - it.at < VALIDITY }

    public companion object {
        /** Time after which a crash no longer counts. */
        public val VALIDITY: Duration = 10.minutes

        /** Crashes that a host remembers of its own requests. */
        public const val MAXIMUM_CRASHES: Int = 32

        /** Traits that a host reports for one crash. */
        public const val MAXIMUM_TRAITS: Int = 128

        /** Traits with a known success, in each of two generations. */
        public const val MAXIMUM_SURVIVALS: Int = 8_192
        private const val DISPUTED_CRASHES = 2

        /** Period at which hosts read the store. */
        private val MINIMUM_PERIOD = 700.milliseconds
        private val PERIOD_PER_HOST = 10.milliseconds

        /**
         * Shortest time between publications by one host, so that all of [hosts] together write at
         * most about a hundred times a second.
         */
        public fun publicationPeriod(hosts: Int): Duration = maxOf(
            MINIMUM_PERIOD,
            PERIOD_PER_HOST * hosts
        )
    }
}

private fun PersistentMap<TargetIncarnation, ObservedCrash>.newest(
    now: MonotonicTime
): PersistentMap<TargetIncarnation, ObservedCrash> {
    val valid = entries.filter { now - it.value.at < CrashEvidence.VALIDITY }
    if (valid.size == size && size <= CrashEvidence.MAXIMUM_CRASHES) return this
    return valid
        .sortedByDescending { it.value.at }
        .take(CrashEvidence.MAXIMUM_CRASHES)
        .associate { it.key to it.value }
        .toPersistentMap()
}
