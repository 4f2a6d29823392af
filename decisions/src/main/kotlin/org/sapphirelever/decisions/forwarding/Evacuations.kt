/*
 * Data centres that an operator wants emptied. Each change carries the position of the store at
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
 * @property position position of the store at the change
 * @property since when this host learned of it
 * @property isDoubted whether the store no longer lists it since its return from an older copy
 */
public data class EvacuationState(
    public val isEmptied: Boolean,
    public val position: StorePosition,
    public val since: MonotonicTime,
    public val isDoubted: Boolean = false
)

/**
 * The last known state of each data centre that was ever to be emptied.
 *
 * @property readUpTo position of the store up to which this host has read all changes
 */
public data class Evacuations(
    public val states: PersistentMap<DataCentre, EvacuationState> = persistentMapOf(),
    public val readUpTo: StorePosition = StorePosition.START
) {
    /** Data centres whose targets must get nothing. */
    public val emptied: Map<DataCentre, EvacuationState> get() = states.filterValues {
        it.isEmptied
    }

    public fun isEmptied(dataCentre: DataCentre): Boolean = states[dataCentre]?.isEmptied == true

    /** When this host learned that [dataCentre] takes work again; null if it was not emptied. */
    public fun takenBackAt(dataCentre: DataCentre): MonotonicTime? =
        states[dataCentre]?.takeIf { !it.isEmptied }?.since

    /** Applies a change made at [position], unless a later one is known. */
    public fun changed(
        dataCentre: DataCentre,
        isEmptied: Boolean,
        position: StorePosition,
        now: MonotonicTime
    ): Evacuations {
        val known = states[dataCentre]
        if (known != null && known.position >= position) return this
        val since = if (known?.isEmptied == isEmptied) known.since else now
        val changed = EvacuationState(isEmptied, position, since)
        val kept = if (known == null) bounded() else states
        return copy(states = kept.put(dataCentre, changed))
    }

    /** Applies a listing of the [present] evacuations, by revision, as of [position]. */
    public fun listed(
        present: Map<DataCentre, Long>,
        position: StorePosition,
        now: MonotonicTime
    ): Evacuations {
        val put = present(present, position.era, now)
        return (put.emptied.keys - present.keys).fold(put) { all, dataCentre ->
            all.changed(dataCentre, isEmptied = false, position, now)
        }.read(position)
    }

    /**
     * Applies a listing after the store returned from an older copy, which may lack evacuations.
     * They stay in force, in doubt; an evacuation that the copy holds is in force, too.
     */
    public fun relisted(
        present: Map<DataCentre, Long>,
        position: StorePosition,
        now: MonotonicTime
    ): Evacuations {
        val put = present(present, position.era, now)
        val doubted = (put.emptied.keys - present.keys).associateWith {
            put.states.getValue(it).copy(isDoubted = true)
        }
        return put.copy(states = put.states.putAll(doubted)).read(position)
    }

    /** Takes back the evacuations in doubt: nobody wrote them again up to [position]. */
    public fun settled(position: StorePosition, now: MonotonicTime): Evacuations =
        states.filterValues { it.isEmptied && it.isDoubted }.keys.fold(this) { all, dataCentre ->
            all.changed(dataCentre, isEmptied = false, position, now)
        }

    private fun present(present: Map<DataCentre, Long>, era: Long, now: MonotonicTime) =
        present.entries.fold(this) { all, (dataCentre, revision) ->
            all.changed(dataCentre, isEmptied = true, StorePosition(era, revision), now)
        }

    /** Records that all changes up to [position] have been read from the store. */
    public fun read(position: StorePosition): Evacuations =
        if (position > readUpTo) copy(readUpTo = position) else this

    /**
     * Applies a change that another host knows. The store has the last word on what it was read up
     * to, since the other host may not have heard from it for long.
     */
    public fun received(
        dataCentre: DataCentre,
        isEmptied: Boolean,
        position: StorePosition,
        now: MonotonicTime
    ): Evacuations =
        if (position <= readUpTo) this else changed(dataCentre, isEmptied, position, now)

    private fun bounded(): PersistentMap<DataCentre, EvacuationState> {
        if (states.size < MAXIMUM_STATES) return states
        val oldest = states.filterValues { !it.isEmptied }.minByOrNull { it.value.position }
        return oldest?.let { states.remove(it.key) } ?: states
    }

    private companion object {
        /** More than there are data centres; names that were mistaken are forgotten first. */
        const val MAXIMUM_STATES = 256
    }
}
