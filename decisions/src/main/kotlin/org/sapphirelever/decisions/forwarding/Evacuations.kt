/*
 * Data centres that an operator wants emptied. Each change carries the revision of the store at
 * which it was made, so that changes may arrive more than once, in any order, and from other hosts.
 */
package org.sapphirelever.decisions.forwarding

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.MonotonicTime

/**
 * Whether a data centre is to be emptied.
 *
 * @property revision revision of the store at the change
 * @property since when this host learned of it
 */
public data class EvacuationState(
    public val isEmptied: Boolean,
    public val revision: Long,
    public val since: MonotonicTime
)

/**
 * The last known state of each data centre that was ever to be emptied.
 *
 * @property readUpTo revision of the store up to which this host has read all changes
 */
public data class Evacuations(
    public val states: PersistentMap<DataCentre, EvacuationState> = persistentMapOf(),
    public val readUpTo: Long = 0
) {
    /** Data centres whose targets must get nothing. */
    public val emptied: Map<DataCentre, EvacuationState> get() = states.filterValues {
        it.isEmptied
    }

    public fun isEmptied(dataCentre: DataCentre): Boolean = states[dataCentre]?.isEmptied == true

    /** When this host learned that [dataCentre] takes work again; null if it was not emptied. */
    public fun takenBackAt(dataCentre: DataCentre): MonotonicTime? =
        states[dataCentre]?.takeIf { !it.isEmptied }?.since

    /** Applies a change made at [revision], unless a later one is known. */
    public fun changed(
        dataCentre: DataCentre,
        isEmptied: Boolean,
        revision: Long,
        now: MonotonicTime
    ): Evacuations {
        val known = states[dataCentre]
        if (known != null && known.revision >= revision) return this
        val since = if (known?.isEmptied == isEmptied) known.since else now
        val changed = EvacuationState(isEmptied, revision, since)
        val kept = if (known == null) bounded() else states
        return copy(states = kept.put(dataCentre, changed))
    }

    /** Applies a listing of the [present] evacuations, by revision, as of [revision]. */
    public fun listed(
        present: Map<DataCentre, Long>,
        revision: Long,
        now: MonotonicTime
    ): Evacuations {
        val put = present.entries.fold(this) { all, (dataCentre, changedAt) ->
            all.changed(dataCentre, isEmptied = true, changedAt, now)
        }
        return (put.emptied.keys - present.keys).fold(put) { all, dataCentre ->
            all.changed(dataCentre, isEmptied = false, revision, now)
        }.read(revision)
    }

    /** Records that all changes up to [revision] have been read from the store. */
    public fun read(revision: Long): Evacuations =
        if (revision > readUpTo) copy(readUpTo = revision) else this

    /**
     * Applies a change that another host knows. The store has the last word on what it was read up
     * to, since the other host may not have heard from it for long.
     */
    public fun received(
        dataCentre: DataCentre,
        isEmptied: Boolean,
        revision: Long,
        now: MonotonicTime
    ): Evacuations =
        if (revision <= readUpTo) this else changed(dataCentre, isEmptied, revision, now)

    private fun bounded(): PersistentMap<DataCentre, EvacuationState> {
        if (states.size < MAXIMUM_STATES) return states
        val oldest = states.filterValues { !it.isEmptied }.minByOrNull { it.value.revision }
        return oldest?.let { states.remove(it.key) } ?: states
    }

    private companion object {
        /** More than there are data centres; names that were mistaken are forgotten first. */
        const val MAXIMUM_STATES = 256
    }
}
