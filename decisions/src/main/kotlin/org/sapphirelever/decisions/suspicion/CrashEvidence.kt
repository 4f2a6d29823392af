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
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.forwarding.TargetIncarnation
import org.sapphirelever.decisions.keys.Fingerprint

/** A crash, with the depth of each trait of the requests that were running there. */
public data class ObservedCrash(
    public val at: MonotonicTime,
    public val traits: PersistentMap<Fingerprint, Int> = persistentMapOf()
)

/**
 * What one host observed.
 *
 * @property survivals last success of a request with a trait
 * @property isExact whether the times are accurate to the delay of a report; those of a report of
 *   unknown age are as wrong as the clocks of the hosts differ
 */
public data class HostEvidence(
    public val crashes: PersistentMap<TargetIncarnation, ObservedCrash> = persistentMapOf(),
    public val survivals: PersistentMap<Fingerprint, MonotonicTime> = persistentMapOf(),
    public val isExact: Boolean = true
)

/**
 * Evidence of this host and of others.
 *
 * @property blocks traits whose requests are not sent to targets
 * @property publishedAt time of the last publication of the evidence of this host
 */
public data class CrashEvidence(
    public val own: HostEvidence = HostEvidence(),
    public val blocks: PersistentMap<Fingerprint, TraitBlock> = persistentMapOf(),
    public val publishedAt: MonotonicTime? = null,
    private val olderSurvivals: PersistentMap<Fingerprint, MonotonicTime> = persistentMapOf(),
    private val index: CrashIndex = CrashIndex()
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
        val observed = HostEvidence(persistentMapOf(target to crash))
        return copy(
            own = own.copy(crashes = own.crashes.put(target, crash).newest(now)),
            index = index.added(observed, now)
        ).reassessed(now)
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

    /** Adds the evidence that another host published. */
    public fun received(evidence: HostEvidence, now: MonotonicTime): CrashEvidence =
        copy(index = index.added(evidence, now)).reassessed(now)

    /** Time of the last known success of a request with [trait]. */
    public fun lastSurvival(trait: Fingerprint): MonotonicTime? = listOfNotNull(
        own.survivals[trait] ?: olderSurvivals[trait],
        index.survivals[trait]?.latest
    ).maxOrNull()

    /**
     * Whether other hosts may lack the successes of [traits]: several crashes since the last
     * publication could make them block one of them.
     */
    public fun isSurvivalDisputed(traits: List<RequestTrait>): Boolean {
        if (traits.any { it.fingerprint in blocks }) return true
        return traits.any { trait ->
            val targets = index.traits[trait.fingerprint]?.targets ?: return@any false
            targets.count { target ->
                val latest = index.crashes.getValue(target).time.latest
                publishedAt?.let { latest > it } ?: true
            } >= DISPUTED_CRASHES
        }
    }

    /** What this host publishes: its crashes, and its successes with the traits of any crash. */
    public fun publication(): HostEvidence {
        val survivals = olderSurvivals.putAll(own.survivals).entries
            .filter { it.key in index.traits }
            .sortedByDescending { it.value }
            .take(MAXIMUM_TRAITS)
            .associate { it.key to it.value }
        return HostEvidence(own.crashes, survivals.toPersistentMap())
    }

    private fun reassessed(now: MonotonicTime): CrashEvidence =
        copy(blocks = attributeCrashes(index, now, ::lastSurvival))

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
