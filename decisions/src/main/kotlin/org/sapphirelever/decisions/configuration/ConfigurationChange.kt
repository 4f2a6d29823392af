/*
 * Differences between two configurations. Peers send them in place of the whole document, so that
 * the cost of a change depends on its size only.
 */
package org.sapphirelever.decisions.configuration

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.sapphirelever.core.Revision
import org.sapphirelever.core.resource.ChangeRecord
import org.sapphirelever.core.resource.Configuration
import org.sapphirelever.core.resource.Resource
import org.sapphirelever.core.resource.ResourceKind

/** Number of accepted changes whose identities a configuration keeps. */
public const val REMEMBERED_CHANGES: Int = 256

/** Kind and name of a resource. */
public data class ResourceName(public val kind: ResourceKind, public val name: String)

/** Resources that changed or were removed between revisions [from] and [to]. */
public data class ConfigurationChange(
    public val from: Revision,
    public val to: Revision,
    public val changed: PersistentList<Resource>,
    public val removed: PersistentList<ResourceName>,
    public val accepted: PersistentList<ChangeRecord>
)

/** The change from this configuration to [newer]. */
public fun Configuration.changeTo(newer: Configuration): ConfigurationChange = ConfigurationChange(
    from = revision,
    to = newer.revision,
    changed = newer.resources.filter { find(it.kind, it.key) != it }.toPersistentList(),
    removed = resources
        .filter { newer.find(it.kind, it.key) == null }
        .map { ResourceName(it.kind, it.key) }
        .toPersistentList(),
    accepted = newer.recentChanges.filter { it.revision > revision }.toPersistentList()
)

/** This configuration after [change], which must start from its revision. */
public fun Configuration.applying(change: ConfigurationChange): Configuration {
    val kept = change.removed.fold(this) { current, resource ->
        current.without(resource.kind, resource.name)
    }
    val changed = change.changed.fold(kept) { current, resource -> current.with(resource) }
    return changed.copy(
        revision = change.to,
        recentChanges = (recentChanges + change.accepted)
            .takeLast(REMEMBERED_CHANGES)
            .toPersistentList()
    )
}

/** The change from [base] to the configuration in force, or null if [base] is not kept. */
public fun ConfigurationState.changeSince(base: Revision): ConfigurationChange? =
    history.lastOrNull { it.revision == base && base > Revision.NONE }?.changeTo(inForce)
