/*
 * How a host follows the store: by calls that the store answers at the next change, or after a
 * wait if there is none. In steady state a call per wait confirms the configuration, and a change
 * is known as soon as it is made.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * One answered call.
 *
 * @property sentAt time of the call
 * @property answeredAt time of the answer
 * @property wait time for which the store was asked to wait for a change
 * @property hasChanges whether the answer holds changes
 * @property relayedAge age at [sentAt] of the confirmation that another host passed on, negative if
 *   the store confirmed later; null if the store itself answered
 */
public data class WatchCall(
    public val sentAt: ClockReading,
    public val answeredAt: ClockReading,
    public val wait: Duration,
    public val hasChanges: Boolean,
    public val relayedAge: Duration? = null
) {
    /**
     * Latest time of which the answer is certain to tell. An answer without changes tells of the
     * whole wait, but for a time during which a store may not notice changes. Of any other one only
     * the time of the call is certain, since it may have been delayed on its way.
     */
    public val confirmedAt: ClockReading
        get() {
            if (relayedAge != null) return sentAt.plus(-maxOf(relayedAge, -took))
            val certain = (wait - UNNOTICED_TIME).coerceAtLeast(Duration.ZERO)
            if (hasChanges || took < wait) return sentAt
            return sentAt.plus(certain)
        }

    /** Time until the answer. */
    internal val took: Duration get() = answeredAt.monotonic - sentAt.monotonic

    private companion object {
        /** A store that compacts its history may answer watches late by this time. */
        val UNNOTICED_TIME = 1_000.milliseconds
    }
}

/**
 * When to call.
 *
 * @property busyCalls number of the latest calls that all brought changes
 * @property pause pause before the next call
 */
public data class WatchSchedule(
    public val busyCalls: Int = 0,
    public val pause: Duration = Duration.ZERO
) {
    /**
     * The schedule after [call]. The pause grows while changes keep coming, so that lasting changes
     * of other hosts cost one call in each [LONGEST_PAUSE], however many there are.
     */
    public fun after(call: WatchCall): WatchSchedule = when {
        // The host that relays it limits the calls to the store.
        call.relayedAge != null ->
            WatchSchedule(pause = (RELAYED_PERIOD - call.took).coerceAtLeast(Duration.ZERO))

        call.hasChanges -> {
            val growing = PAUSE_PER_BUSY_CALL * (busyCalls + 1)
            WatchSchedule(busyCalls + 1, growing.coerceAtMost(LONGEST_PAUSE))
        }

        // This store does not wait.
        call.took < call.wait -> WatchSchedule(pause = LONGEST_PAUSE)

        else -> WatchSchedule(pause = (SHORTEST_PERIOD - call.took).coerceAtLeast(Duration.ZERO))
    }

    private companion object {
        val PAUSE_PER_BUSY_CALL = 100.milliseconds

        /** Leaves time for two calls within the strictest bound of a change, which is 2 s. */
        val LONGEST_PAUSE = 700.milliseconds

        /** Bounds the rate of requests to a peer that answers at once. */
        val RELAYED_PERIOD = 50.milliseconds

        /** Bounds the rate of calls whose wait is short. */
        val SHORTEST_PERIOD = 250.milliseconds
    }
}

/**
 * Time for which the store may hold the next call of a host whose configuration has this [age], so
 * that its answer arrives before the age exceeds [maximumReadyAge].
 */
public fun watchWait(age: Duration?, maximumReadyAge: Duration): Duration {
    val left = maximumReadyAge - ANSWER_TIME - (age ?: maximumReadyAge)
    return left.coerceIn(SHORTEST_WAIT, LONGEST_WAIT)
}

/**
 * Whether a listing is shorter than an answer of [answerBytes] with changes. A listing holds only
 * the latest version of each entry; the last one had [listingBytes].
 */
public fun isListingShorter(answerBytes: Long, listingBytes: Long): Boolean =
    answerBytes > maxOf(listingBytes, SHORT_ANSWER_BYTES)

/**
 * Age of the last confirmation of the configuration up to which a host reports ready. It never
 * exceeds the age above which keys are refused, because a host that refuses keys must not receive
 * callers.
 */
public fun maximumReadyAge(maximumRevocationDelay: Duration): Duration =
    minOf(MAXIMUM_READY_AGE, maximumConfigurationAge(maximumRevocationDelay))

/**
 * Lower than the age above which keys are refused, so that the load balancer redirects callers
 * before requests fail.
 */
private val MAXIMUM_READY_AGE = 3.seconds

/** Time of an answer beyond the wait, with a slow store. */
private val ANSWER_TIME = 300.milliseconds

/** An answer of this size takes less time than another call on all but the slowest links. */
private const val SHORT_ANSWER_BYTES = 131_072L

private val SHORTEST_WAIT = 1.milliseconds

/** A connection that went silent is noticed after this time and that of an answer. */
private val LONGEST_WAIT = 1_700.milliseconds
