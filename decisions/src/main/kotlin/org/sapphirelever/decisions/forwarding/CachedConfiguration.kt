/*
 * The configuration that a host applies, and when the store last confirmed it.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.forwarding.ForwardingConfiguration

/**
 * One reading of both clocks of a host. The monotonic clock stops while the host is suspended; the
 * wall clock continues, but may be stepped.
 */
public data class ClockReading(public val monotonic: MonotonicTime, public val wallMillis: Long) {
    /** Time since [earlier] by the clock that shows more, so that no suspension is missed. */
    public fun since(earlier: ClockReading): Duration =
        maxOf(monotonic - earlier.monotonic, (wallMillis - earlier.wallMillis).milliseconds)

    /** This reading [duration] later, or earlier if it is negative. */
    public fun plus(duration: Duration): ClockReading =
        ClockReading(monotonic + duration, wallMillis + duration.inWholeMilliseconds)
}

/**
 * The adopted configuration.
 *
 * @property confirmedAt time at which the store last confirmed it
 * @property supersededSince time since which the store sends changes that are not applied yet,
 *   which may replace the configuration; null if there are none
 */
public data class CachedConfiguration(
    public val table: RouteTable? = null,
    public val confirmedAt: ClockReading? = null,
    public val supersededSince: ClockReading? = null
) {
    public val version: Long get() = table?.configuration?.version ?: 0

    /** Time since the last confirmation, or null if there was none. */
    public fun age(now: ClockReading): Duration? = confirmedAt?.let { now.since(it) }
}

/** Adopts [configuration] if it is the first one or newer than the one in force. */
public fun CachedConfiguration.adopted(
    configuration: ForwardingConfiguration
): CachedConfiguration = if (configuration.version > version || table == null) {
    copy(table = RouteTable(configuration))
} else {
    this
}

/** Records that the store answered a call that was sent at [sentAt]. */
public fun CachedConfiguration.confirmed(sentAt: ClockReading): CachedConfiguration =
    copy(confirmedAt = sentAt, supersededSince = null)

/** Records that an answer with changes begins to arrive. */
public fun CachedConfiguration.changesArrive(now: ClockReading): CachedConfiguration =
    if (supersededSince == null) copy(supersededSince = now) else this

/** Records that the store cannot be reached, so that nothing is known of its changes. */
public fun CachedConfiguration.storeUnreachable(): CachedConfiguration =
    if (supersededSince == null) this else copy(supersededSince = null)
