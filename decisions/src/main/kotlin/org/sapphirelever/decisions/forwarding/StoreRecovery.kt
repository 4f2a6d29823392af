/*
 * Returns of the store from an older copy. What was written since that copy is gone, until its
 * writers write it again. For that time a host goes on with what it knows, if that is newer.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.sapphirelever.core.HostId
import org.sapphirelever.core.MonotonicTime

/** What a host does with an answer of the store. */
public enum class AnswerUse {
    APPLY,

    /** Changes of a new era do not continue what the host knows, so it needs a listing. */
    LIST,

    /** The answer is of an earlier era and arrives late. */
    DROP
}

/**
 * The latest era that this host knows, from the store or from another host.
 *
 * @property era null before the first answer
 * @property since when this host learned of it
 * @property isReturn whether this host knew an earlier era before
 * @property doubtedHosts known hosts that the store does not list since its return
 */
public data class StoreRecovery(
    public val era: Long? = null,
    public val since: MonotonicTime = MonotonicTime.ZERO,
    public val isReturn: Boolean = false,
    public val doubtedHosts: PersistentSet<HostId> = persistentSetOf()
) {
    /** Records that an answer or another host states [stated]; 0 stands for none. */
    public fun observed(stated: Long, now: MonotonicTime): StoreRecovery = when {
        stated <= 0 -> this
        era == null -> copy(era = stated, since = now)
        stated > era -> copy(era = stated, since = now, isReturn = true)
        else -> this
    }

    /** What a host that has read up to [known] does with an answer that reaches [answered]. */
    public fun use(
        known: StorePosition?,
        answered: StorePosition,
        isFullListing: Boolean
    ): AnswerUse = when {
        era != null && answered.era < era -> AnswerUse.DROP
        isFullListing -> AnswerUse.APPLY
        known == null || answered.era > known.era -> AnswerUse.LIST
        else -> AnswerUse.APPLY
    }

    /** Whether writers may still lack the time to write again, where [hosts] share the store. */
    public fun isSettling(now: MonotonicTime, hosts: Int): Boolean =
        isReturn && now - since < WRITING_TIME + rewriteSpread(hosts)

    /**
     * Whether a claim of another host may be lost, or may have been before this host started. It
     * would still be valid, as claims last for [lifetime].
     */
    public fun mayMissClaims(now: MonotonicTime, lifetime: Duration): Boolean =
        era != null && now - since < lifetime

    public companion object {
        /**
         * Time within which targets, hosts and the operator have written again, and within which
         * the store removes the record of a target that is gone: several heartbeats.
         */
        public val WRITING_TIME: Duration = 10.seconds

        /** Leaves each host time for the six calls of its announcement and both reports. */
        private val TIME_PER_HOST = 30.milliseconds

        /**
         * Time over which [hosts] spread what they write again, so that all of them together make
         * 200 calls a second at most.
         */
        public fun rewriteSpread(hosts: Int): Duration = TIME_PER_HOST * hosts
    }
}
