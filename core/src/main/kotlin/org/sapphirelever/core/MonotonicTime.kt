/*
 * Monotonic time. Decisions compare and subtract these values and never read a wall clock, whose
 * adjustments would shorten or extend deadlines and leases.
 */
package org.sapphirelever.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** An instant on the monotonic clock of this process, in nanoseconds since an arbitrary origin. */
@JvmInline
public value class MonotonicTime(public val nanoseconds: Long) : Comparable<MonotonicTime> {
    override fun compareTo(other: MonotonicTime): Int = nanoseconds.compareTo(other.nanoseconds)

    public operator fun plus(duration: Duration): MonotonicTime =
        MonotonicTime(nanoseconds + duration.inWholeNanoseconds)

    public operator fun minus(duration: Duration): MonotonicTime =
        MonotonicTime(nanoseconds - duration.inWholeNanoseconds)

    public operator fun minus(other: MonotonicTime): Duration =
        (nanoseconds - other.nanoseconds).nanoseconds

    public companion object {
        public val ZERO: MonotonicTime = MonotonicTime(0)
    }
}

/** Source of monotonic time; tests and experiments supply a virtual clock. */
public fun interface MonotonicClock {
    public fun now(): MonotonicTime
}

/** Monotonic clock of the JVM. */
public object SystemMonotonicClock : MonotonicClock {
    override fun now(): MonotonicTime = MonotonicTime(System.nanoTime())
}
