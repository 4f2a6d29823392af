/*
 * Whether a host that works for this one still does.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.sapphirelever.core.MonotonicTime

/**
 * When a peer was last heard of, or first asked after a time without questions.
 *
 * @property pending questions without an answer
 */
public data class PeerLiveness(
    public val since: MonotonicTime = MonotonicTime.ZERO,
    public val pending: Int = 0
) {
    /** Whether the peer owes a sign of life. A peer without questions owes none. */
    public fun isSilent(now: MonotonicTime): Boolean = pending > 0 && now - since > SILENCE_LIMIT

    public companion object {
        /** A peer with pending work tells so every 150 ms; two of these may be lost. */
        public val SILENCE_LIMIT: Duration = 450.milliseconds
    }
}

public fun PeerLiveness.asked(now: MonotonicTime): PeerLiveness =
    PeerLiveness(if (pending == 0) maxOf(since, now) else since, pending + 1)

public fun PeerLiveness.heard(now: MonotonicTime): PeerLiveness = copy(since = now)

public fun PeerLiveness.answered(): PeerLiveness = copy(pending = (pending - 1).coerceAtLeast(0))
