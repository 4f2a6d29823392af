/*
 * Targets that may take work, from the records in the store. A store that was away may have let
 * records lapse whose targets live; such records are missed for a short time before they count.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.TargetRecord

/** A record as last seen; [missingSince] is set when the store no longer has it. */
public data class ListedTarget(
    public val record: TargetRecord,
    public val missingSince: MonotonicTime? = null
)

/**
 * Known targets.
 *
 * @property storeAway whether the store does not answer at this time
 * @property backSince when the store answered again after it was away
 */
public data class TargetDirectory(
    public val targets: PersistentMap<TargetId, ListedTarget> = persistentMapOf(),
    public val storeAway: Boolean = false,
    public val backSince: MonotonicTime? = null
) {
    private fun recovering(now: MonotonicTime): Boolean =
        storeAway || backSince?.let { now - it < RECOVERY } == true

    private fun ListedTarget.isUsable(now: MonotonicTime): Boolean =
        !record.leaving && (missingSince == null || recovering(now))

    /** Targets of [service] that may take new work. */
    public fun usable(service: ServiceName, now: MonotonicTime): List<TargetRecord> = targets.values
        .filter { it.record.service == service && it.isUsable(now) }
        .map { it.record }

    public companion object {
        /** Time after which a record that lapsed during an outage is back if its target lives. */
        public val RECOVERY: Duration = 2.seconds
    }
}

/** Notes a new or changed [record]. */
public fun TargetDirectory.put(record: TargetRecord): TargetDirectory =
    copy(targets = targets.put(record.id, ListedTarget(record)))

/** Notes that the store no longer has [id]. */
public fun TargetDirectory.removed(id: TargetId, now: MonotonicTime): TargetDirectory {
    val listed = targets[id] ?: return this
    if (listed.missingSince != null) return this
    return copy(targets = targets.put(id, listed.copy(missingSince = now)))
}

/** Replaces the records by a complete listing. */
public fun TargetDirectory.listed(
    records: Collection<TargetRecord>,
    now: MonotonicTime
): TargetDirectory {
    val present = records.map { it.id }.toSet()
    val put = records.fold(this) { directory, record -> directory.put(record) }
    return (targets.keys - present).fold(put) { directory, id -> directory.removed(id, now) }
}

/** Notes that the store does not answer. */
public fun TargetDirectory.storeLost(): TargetDirectory = copy(storeAway = true)

/** Notes that the store answers, and forgets records that have been missing for long. */
public fun TargetDirectory.storeAnswered(now: MonotonicTime): TargetDirectory {
    val back = if (storeAway) now else backSince
    val current = copy(storeAway = false, backSince = back)
    val expired =
        targets.filterValues { it.missingSince != null && now - it.missingSince > FORGET_AFTER }
    return expired.keys.fold(current) { directory, id ->
        directory.copy(targets = directory.targets.remove(id))
    }
}

/** Longer than any recovery, so that a record is never forgotten while it may come back. */
private val FORGET_AFTER = 30.seconds
