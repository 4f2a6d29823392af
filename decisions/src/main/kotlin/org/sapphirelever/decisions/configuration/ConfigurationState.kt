/*
 * Adoption of configurations. A host adopts only a revision greater than the one in force, so
 * that a stale reader, peer or platform replica cannot make it go back to an earlier one.
 */
package org.sapphirelever.decisions.configuration

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.sapphirelever.core.Revision
import org.sapphirelever.core.resource.Configuration
import org.sapphirelever.decisions.Decision
import org.sapphirelever.decisions.decide

/**
 * Configuration state of one host.
 *
 * @property inForce the adopted configuration
 * @property greatestAnnounced greatest revision that any peer or the platform announced
 * @property sourcesAsked whether the peers and the platform were asked, if there are any
 * @property ready whether the host may serve. It stays true: a host that serves continues with
 *   the revision in force while it fetches a newer one
 * @property history earlier configurations, from which differences are computed
 */
public data class ConfigurationState(
    public val inForce: Configuration = Configuration(),
    public val greatestAnnounced: Revision = Revision.NONE,
    public val sourcesAsked: Boolean = false,
    public val ready: Boolean = false,
    public val history: PersistentList<Configuration> = persistentListOf()
) {
    /** Why the host is not ready; empty if it is. */
    public val notReadyReason: String
        get() = when {
            ready -> ""
            !sourcesAsked -> "the other entry hosts have not been asked yet"
            inForce.revision == Revision.NONE -> "no peer and no platform has a configuration"
            else -> "revision $greatestAnnounced is announced, ${inForce.revision} is in force"
        }
}

/** Information about configurations that reaches a host. */
public sealed interface ConfigurationEvent {
    public data class Received(public val configuration: Configuration) : ConfigurationEvent

    /** A difference, which applies only to the revision it starts from. */
    public data class ChangeReceived(public val change: ConfigurationChange) : ConfigurationEvent

    public data class Announced(public val revision: Revision) : ConfigurationEvent

    /** Every source that a starting host can ask has been asked or does not answer. */
    public data object SourcesAsked : ConfigurationEvent
}

/** Result of an event, which the runtime acts on. */
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
    is ConfigurationEvent.ChangeReceived -> onChange(event.change)
    is ConfigurationEvent.Announced -> onAnnounced(event.revision)
    ConfigurationEvent.SourcesAsked -> copy(sourcesAsked = true).latchReady().decide()
}

private fun ConfigurationState.onReceived(
    received: Configuration
): Decision<ConfigurationState, ConfigurationAction> {
    if (received.revision <= inForce.revision) {
        return decide(ConfigurationAction.Ignored(received.revision))
    }
    val adopted = copy(
        inForce = received,
        greatestAnnounced = maxOf(greatestAnnounced, received.revision),
        history = history.add(inForce).takeLast(HISTORY_SIZE).toPersistentList()
    )
    return adopted.latchReady().decide(ConfigurationAction.Adopted(received))
}

private fun ConfigurationState.onChange(
    change: ConfigurationChange
): Decision<ConfigurationState, ConfigurationAction> = when {
    change.to <= inForce.revision -> decide(ConfigurationAction.Ignored(change.to))
    change.from != inForce.revision -> onAnnounced(change.to)
    else -> onReceived(inForce.applying(change))
}

private fun ConfigurationState.onAnnounced(
    revision: Revision
): Decision<ConfigurationState, ConfigurationAction> {
    if (revision <= inForce.revision) return decide()
    return copy(greatestAnnounced = maxOf(greatestAnnounced, revision))
        .decide(ConfigurationAction.Fetch(revision))
}

private fun ConfigurationState.latchReady(): ConfigurationState {
    val current = inForce.revision > Revision.NONE && inForce.revision >= greatestAnnounced
    return if (sourcesAsked && current) copy(ready = true) else this
}

/** Earlier revisions kept for differences; a host further behind gets the whole document. */
private const val HISTORY_SIZE = 16
