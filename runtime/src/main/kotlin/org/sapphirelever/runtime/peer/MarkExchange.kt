/*
 * Boundary between the request path, which owns crash marks, and the heartbeats that carry them.
 */
package org.sapphirelever.runtime.peer

import kotlin.time.Duration
import org.sapphirelever.core.TargetId

/** A request with [fingerprint] preceded the crash of [target], [age] ago. */
public data class CrashMark(
    public val fingerprint: String,
    public val target: TargetId,
    public val age: Duration
)

/** Gives and takes crash marks. */
public interface MarkExchange {
    /** Marks for one heartbeat, at most [limit]; each is given a bounded number of times. */
    public fun compose(limit: Int): List<CrashMark>

    /** Takes marks of another host. */
    public fun receive(marks: List<CrashMark>)

    /** Exchanges no marks. */
    public object None : MarkExchange {
        override fun compose(limit: Int): List<CrashMark> = emptyList()

        override fun receive(marks: List<CrashMark>): Unit = Unit
    }
}
