/*
 * Adoption of configurations. A host adopts only a revision greater than the one in force, so
 * that a stale reader, peer or platform replica cannot take it back.
 */
package org.sapphirelever.decisions.configuration

import org.sapphirelever.core.Revision
import org.sapphirelever.core.resource.Configuration
import org.sapphirelever.decisions.Decision
import org.sapphirelever.decisions.decide

/**
 * Configuration of one host.
 *
 * @property inForce the adopted configuration
 * @property greatestAnnounced greatest revision that any peer or the platform announced
 */
public data class ConfigurationState(
    public val inForce: Configuration = Configuration(),
    public val greatestAnnounced: Revision = Revision.NONE
) {
    /** Whether the host may serve: it has a configuration and none newer is known to exist. */
    public val ready: Boolean
        get() = inForce.revision > Revision.NONE && inForce.revision >= greatestAnnounced
}

/** What a host learns about configurations. */
public sealed interface ConfigurationEvent {
    public data class Received(public val configuration: Configuration) : ConfigurationEvent

    public data class Announced(public val revision: Revision) : ConfigurationEvent
}

/** What the host does after it learned something. */
public sealed interface ConfigurationAction {
    public data class Adopted(public val configuration: Configuration) : ConfigurationAction

    /** The received revision is not newer than the one in force. */
    public data class Ignored(public val revision: Revision) : ConfigurationAction

    /** A newer revision exists; ask for it. */
    public data class Fetch(public val revision: Revision) : ConfigurationAction
}

public fun ConfigurationState.on(
    event: ConfigurationEvent
): Decision<ConfigurationState, ConfigurationAction> = when (event) {
    is ConfigurationEvent.Received -> onReceived(event.configuration)
    is ConfigurationEvent.Announced -> onAnnounced(event.revision)
}

private fun ConfigurationState.onReceived(
    received: Configuration
): Decision<ConfigurationState, ConfigurationAction> {
    if (received.revision <= inForce.revision) {
        return decide(ConfigurationAction.Ignored(received.revision))
    }
    val announced = maxOf(greatestAnnounced, received.revision)
    return copy(inForce = received, greatestAnnounced = announced)
        .decide(ConfigurationAction.Adopted(received))
}

private fun ConfigurationState.onAnnounced(
    revision: Revision
): Decision<ConfigurationState, ConfigurationAction> {
    if (revision <= inForce.revision) return decide()
    return copy(greatestAnnounced = maxOf(greatestAnnounced, revision))
        .decide(ConfigurationAction.Fetch(revision))
}
