/*
 * What a host believes to be the configuration in force, and how old that belief is.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.forwarding.ForwardingConfiguration

/**
 * A moment on both clocks of a host. The monotonic clock stands still while the host is suspended;
 * the wall clock goes on, but may be stepped.
 */
public data class Moment(public val monotonic: MonotonicTime, public val wallMillis: Long) {
    /** Time since [earlier] on whichever clock shows more, so that no suspension is missed. */
    public fun since(earlier: Moment): Duration =
        maxOf(monotonic - earlier.monotonic, (wallMillis - earlier.wallMillis).milliseconds)
}

/** The adopted configuration and the last moment at which the store confirmed it. */
public data class ConfigurationBelief(
    public val table: RouteTable? = null,
    public val confirmedAt: Moment? = null
) {
    public val version: Long get() = table?.configuration?.version ?: 0

    /** Age of the confirmation, or null when there has been none. */
    public fun age(now: Moment): Duration? = confirmedAt?.let { now.since(it) }
}

/** Adopts [configuration] unless its version is older than the one in force. */
public fun ConfigurationBelief.adopted(
    configuration: ForwardingConfiguration
): ConfigurationBelief = if (configuration.version > version || table == null) {
    copy(table = RouteTable(configuration))
} else {
    this
}

/** Notes that the store answered a call that was sent at [sentAt]. */
public fun ConfigurationBelief.confirmed(sentAt: Moment): ConfigurationBelief =
    copy(confirmedAt = sentAt)
