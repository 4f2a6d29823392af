/*
 * Interface between the request path, which owns crash marks, and the heartbeats that carry them.
 */
package org.sapphirelever.runtime.peer

import kotlin.time.Duration
import org.sapphirelever.core.TargetId

/** Mark of a request with [fingerprint] that preceded a crash of [target], [age] ago. */
public data class CrashMark(
    public val fingerprint: String,
    public val target: TargetId,
    public val age: Duration
)

/** Source and receiver of crash marks. */
public interface MarkExchange {
    /** Returns at most [limit] marks for one heartbeat; each is sent a bounded number of times. */
    public fun compose(limit: Int): List<CrashMark>

    /** Merges [marks] of another host. */
    public fun receive(marks: List<CrashMark>)

    /** Exchanges no marks. */
    public object None : MarkExchange {
        override fun compose(limit: Int): List<CrashMark> = emptyList()

        override fun receive(marks: List<CrashMark>): Unit = Unit
    }
}
