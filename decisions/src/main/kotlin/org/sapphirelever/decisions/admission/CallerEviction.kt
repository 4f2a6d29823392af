/*
 * Which callers are closed when a host has no room for another one: those that hold most and make
 * least progress.
 */
package org.sapphirelever.decisions.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import org.sapphirelever.core.MonotonicTime

/** What a host does for a caller. */
public enum class CallerPhase {
    /** It waits for the first byte of a request. */
    IDLE,

    /** It receives a request, which nobody has seen yet. */
    RECEIVING,

    /** The request runs, or its answer is on its way and the caller takes it. */
    RUNNING,

    /** It writes an answer, which the caller does not take at the moment. */
    SENDING
}

/**
 * Bytes that a peer moves. A span of [SPAN] starts anew with the first byte after its end.
 *
 * @property wasSlow whether hardly anything moved in the span before
 */
public data class PeerProgress(
    public val spanStart: MonotonicTime,
    public val spanBytes: Long = 0,
    public val lastMoveAt: MonotonicTime = spanStart,
    public val wasSlow: Boolean = false
) {
    private val isSlow: Boolean get() = spanBytes < MINIMUM_SPAN_BYTES

    public fun moved(bytes: Long, now: MonotonicTime): PeerProgress = if (now - spanStart > SPAN) {
        PeerProgress(now, bytes, wasSlow = isSlow)
    } else {
        copy(spanBytes = spanBytes + bytes, lastMoveAt = now)
    }

    /** Whether the peer moved nothing for [STALL], or hardly anything in a whole span. */
    public fun isStalled(now: MonotonicTime): Boolean {
        val isSpanSlow = isSlow && now - spanStart >= SPAN
        return wasSlow || isSpanSlow || now - lastMoveAt >= STALL
    }

    /** Time since the last byte, or since the start of a slow span. */
    public fun stalledFor(now: MonotonicTime): Duration =
        if (now - lastMoveAt >= STALL) now - lastMoveAt else now - spanStart

    public companion object {
        public val SPAN: Duration = 10.seconds

        /** Longer than the pauses of a sound caller on a slow or lossy link. */
        public val STALL: Duration = 2.seconds

        /** A tenth of the rate of the slowest links in use. */
        public const val MINIMUM_SPAN_BYTES: Long = 1_024
    }
}

/** What the host keeps for the caller [id]: [bytes], in [phase]. */
public data class CallerHold(
    public val id: Long,
    public val phase: CallerPhase,
    public val bytes: Long,
    public val progress: PeerProgress
) {
    /** Whether the host waits for this caller, so that its end loses no request that runs. */
    internal fun mayBeClosed(now: MonotonicTime): Boolean = when (phase) {
        CallerPhase.IDLE -> true
        CallerPhase.RUNNING -> false
        CallerPhase.RECEIVING, CallerPhase.SENDING -> progress.isStalled(now)
    }

    internal fun weight(now: MonotonicTime): Double = (bytes + CONNECTION_BYTES) *
        progress.stalledFor(now).toDouble(DurationUnit.SECONDS)

    private companion object {
        /** A connection without a request, with its task and the buffers of the kernel. */
        const val CONNECTION_BYTES = 4_096L
    }
}

/** The caller to close so that another one can be accepted; null if all make progress. */
public fun callerToClose(holds: Collection<CallerHold>, now: MonotonicTime): CallerHold? =
    holds.filter { it.mayBeClosed(now) }.maxByOrNull { it.weight(now) }

/**
 * The callers to close so that [bytes] become free, at most as many as needed; empty if all that
 * may be closed hold less.
 */
public fun callersToClose(
    holds: Collection<CallerHold>,
    bytes: Long,
    now: MonotonicTime
): List<CallerHold> {
    val candidates =
        holds
            .filter { it.bytes > 0 && it.mayBeClosed(now) }
            .sortedByDescending { it.weight(now) }
    var missing = bytes
    val chosen = candidates.takeWhile { hold -> (missing > 0).also { missing -= hold.bytes } }
    return if (missing > 0) emptyList() else chosen
}
