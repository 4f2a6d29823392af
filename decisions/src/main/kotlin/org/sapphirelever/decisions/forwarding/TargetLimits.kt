/*
 * Limits that targets name for the requests of all hosts together. A limit is divided among as many
 * hosts as can each send a request every two seconds; the others use different targets. All hosts
 * compute the same division from the list of hosts, so that a request needs no communication.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.math.abs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.forwarding.TargetIncarnation
import org.sapphirelever.decisions.Decision
import org.sapphirelever.decisions.decide

/** What a target stated in an answer; [rate] in requests a second, or null without a limit. */
public data class LimitStatement(public val rate: Double?, public val heardAt: MonotonicTime)

/** The last statement of each target. */
public typealias LimitStatements = PersistentMap<TargetIncarnation, LimitStatement>

/**
 * Requests that this host may send to one target.
 *
 * @property rate share of this host, in requests a second
 * @property tokens requests that it may send at [filledAt]
 */
public data class RequestShare(
    public val rate: Double,
    public val tokens: Double,
    public val filledAt: MonotonicTime
) {
    private val capacity: Double get() = maxOf(1.0, rate * BURST.toDouble(DurationUnit.SECONDS))

    public fun filled(now: MonotonicTime): RequestShare {
        val earned = rate * (now - filledAt).toDouble(DurationUnit.SECONDS)
        return copy(tokens = minOf(tokens + earned, capacity), filledAt = now)
    }

    /** Time until this host may send a request; infinite if it has no share. */
    public fun wait(now: MonotonicTime): Duration {
        val missing = 1.0 - filled(now).tokens
        return when {
            missing <= 0.0 -> ZERO
            rate <= 0.0 -> Duration.INFINITE
            else -> (missing / rate).seconds
        }
    }

    private companion object {
        /** Time whose requests may be sent at once. */
        val BURST = 0.5.seconds
    }
}

/** Place of this host among [hosts] that take shares in a limit, counted from 0. */
public data class SharePlace(public val place: Int, public val hosts: Int)

/**
 * Known limits.
 *
 * @property latest the last statement of each target, whichever host heard it
 * @property own statements that this host heard
 * @property published what this host last published of [own]
 */
public data class TargetLimits(
    public val latest: LimitStatements = persistentMapOf(),
    public val own: LimitStatements = persistentMapOf(),
    public val published: LimitStatements = persistentMapOf(),
    private val shares: PersistentMap<TargetIncarnation, RequestShare> = persistentMapOf()
) {
    /** Limit of [target] in requests a second, or null without a limit. */
    public fun limitOf(target: TargetIncarnation, now: MonotonicTime): Double? =
        latest[target]?.takeIf { now - it.heardAt < VALIDITY }?.rate

    /** Records that [target] stated the limit [rate], or null for none. */
    public fun heard(target: TargetIncarnation, rate: Double?, now: MonotonicTime): TargetLimits {
        if (rate == null && limitOf(target, now) == null) return this
        val statement = LimitStatement(rate, now)
        return copy(
            latest = latest.put(target, statement),
            own = own.valid(now).put(target, statement)
        )
    }

    /** Adds what another host heard. */
    public fun received(statements: LimitStatements, now: MonotonicTime): TargetLimits {
        val newer = statements.filter { (target, statement) ->
            latest[target]?.let { it.heardAt < statement.heardAt } ?: true
        }
        return copy(latest = latest.valid(now).putAll(newer))
    }

    /** Whether other hosts lack what this host heard. */
    public fun isPublicationDue(now: MonotonicTime): Boolean = own.any { (target, statement) ->
        val known = published[target]
        val rate = statement.rate
        val knownRate = known?.rate
        when {
            known == null -> true
            rate == null || knownRate == null -> rate != knownRate
            abs(rate - knownRate) > rate * NOTABLE_CHANGE -> true
            else -> statement.heardAt > known.heardAt && now - known.heardAt > REFRESH_PERIOD
        }
    }

    /** Whether a share of [target] was started and has not ended. */
    public fun hasShare(target: TargetIncarnation): Boolean = target in shares

    /**
     * Time until this host, at [place], may send a request to [target]. [coldShare] is the rate of
     * this host if the target is cold, in requests a second.
     */
    public fun wait(
        target: TargetIncarnation,
        now: MonotonicTime,
        coldShare: Double? = null,
        place: () -> SharePlace
    ): Duration = share(target, now, coldShare, place)?.wait(now) ?: ZERO

    /** Takes one request to [target] from the share of this host; no action if none is left. */
    public fun take(
        target: TargetIncarnation,
        now: MonotonicTime,
        coldShare: Double? = null,
        place: () -> SharePlace
    ): Decision<TargetLimits, Unit> {
        val filled = share(target, now, coldShare, place)?.filled(now) ?: return decide(Unit)
        if (filled.tokens < 1.0) return copy(shares = shares.put(target, filled)).decide()
        val remaining = filled.copy(tokens = filled.tokens - 1.0)
        return Decision(copy(shares = shares.put(target, remaining)), persistentListOf(Unit))
    }

    /** Starts the share of this host in the limit of [target], if there is one, without tokens. */
    public fun started(
        target: TargetIncarnation,
        now: MonotonicTime,
        coldShare: Double? = null,
        place: () -> SharePlace
    ): TargetLimits {
        val share = share(target, now, coldShare, place)
            ?: return if (target in shares) copy(shares = shares.remove(target)) else this
        return copy(shares = shares.recent(now).put(target, share))
    }

    private fun PersistentMap<TargetIncarnation, RequestShare>.recent(now: MonotonicTime) =
        if (size < PRUNED_SIZE) {
            this
        } else {
            filterValues { now - it.filledAt < VALIDITY }.toPersistentMap()
        }

    private fun share(
        target: TargetIncarnation,
        now: MonotonicTime,
        coldShare: Double?,
        place: () -> SharePlace
    ): RequestShare? {
        val limitShare = limitOf(target, now)?.let { shareOf(it, place()) }
        val rate = listOfNotNull(limitShare, coldShare).minOrNull() ?: return null
        return shares[target]?.filled(now)?.copy(rate = rate) ?: RequestShare(rate, 0.0, now)
    }

    private fun LimitStatements.valid(now: MonotonicTime): LimitStatements =
        if (size < PRUNED_SIZE) {
            this
        } else {
            filterValues { now - it.heardAt < VALIDITY }.toPersistentMap()
        }

    public companion object {
        /**
         * Time after which a limit lapses without an answer that confirms it. The hosts with a
         * share go on sending, so this happens only without requests.
         */
        public val VALIDITY: Duration = 60.seconds

        /** Shorter than [VALIDITY], so that a lost publication ends no limit. */
        private val REFRESH_PERIOD = 20.seconds

        /** Number of statements at which outdated ones are removed. */
        private const val PRUNED_SIZE = 256

        /** Relative change of a limit that other hosts need to know. */
        private const val NOTABLE_CHANGE = 0.1
    }
}

/** Share in [limit] of the host at [place], in requests a second. */
public fun shareOf(limit: Double, place: SharePlace): Double {
    val sharing = (limit / MINIMUM_SHARE).toInt().coerceIn(1, place.hosts.coerceAtLeast(1))
    if (place.place !in 0 until sharing) return 0.0
    return USABLE_RATIO * maxOf(limit, TRIAL_RATE) / sharing
}

/** Smallest useful share of a host, in requests a second. */
private const val MINIMUM_SHARE = 0.5

/** Part of a limit that is used; the rest covers a host that joins or leaves. */
private const val USABLE_RATIO = 0.9

/** Rate at which a target that takes no requests is asked whether it still does not. */
private const val TRIAL_RATE = 0.1
