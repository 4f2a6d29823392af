/*
 * Detects a peer that no longer answers the requests of this host.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
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
