/*
 * Detects a peer that no longer answers the requests of this host.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.sapphirelever.core.MonotonicTime

/**
 * Liveness of a peer, which sends messages regularly while it has requests to answer.
 *
 * @property silentSince the later of its last message and the last request sent to it while none
 *   was pending
 * @property pending requests without a response
 */
public data class PeerLiveness(
    public val silentSince: MonotonicTime = MonotonicTime.ZERO,
    public val pending: Int = 0
) {
    /** Whether the peer has requests to answer, but has sent nothing for too long. */
    public fun isSilent(now: MonotonicTime): Boolean =
        pending > 0 && now - silentSince > LIVENESS_TIMEOUT

    public companion object {
        /** A peer with pending requests reports every 150 ms; two reports may be lost. */
        public val LIVENESS_TIMEOUT: Duration = 450.milliseconds
    }
}

public fun PeerLiveness.requestSent(now: MonotonicTime): PeerLiveness =
    PeerLiveness(if (pending == 0) maxOf(silentSince, now) else silentSince, pending + 1)

public fun PeerLiveness.messageReceived(now: MonotonicTime): PeerLiveness = copy(silentSince = now)

public fun PeerLiveness.answered(): PeerLiveness = copy(pending = (pending - 1).coerceAtLeast(0))

/**
 * How long a peer that was lost gets no requests. A host that is only slow, such as one that has
 * just started, answers a new connection at once and is lost again under load; each time its
 * pending work is made once more by another host.
 *
 * @property losses losses of the peer that followed each other closely
 * @property lostAt time of the latest one
 */
public data class PeerAvoidance(
    public val losses: Int = 0,
    public val lostAt: MonotonicTime = MonotonicTime.ZERO
) {
    /** Time from the loss until the peer is tried again. */
    public val pause: Duration
        get() {
            val doublings = (losses - 1).coerceIn(0, MAXIMUM_DOUBLINGS)
            return FIRST_PAUSE * (1 shl doublings)
        }

    public fun lost(now: MonotonicTime): PeerAvoidance {
        val isRepeated = losses > 0 && now - lostAt < pause + STABLE_TIME
        return PeerAvoidance(if (isRepeated) losses + 1 else 1, now)
    }

    private companion object {
        val FIRST_PAUSE = 1.seconds

        /** Pauses of up to 8 s, about the time that the slowest hosts take to start. */
        const val MAXIMUM_DOUBLINGS = 3

        /** Time without a loss after which earlier ones no longer count. */
        val STABLE_TIME = 5.seconds
    }
}
