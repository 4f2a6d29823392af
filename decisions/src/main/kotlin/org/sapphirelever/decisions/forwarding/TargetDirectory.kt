/*
 * Targets that may take work, from the records in the store and from what targets state in their
 * answers. During an outage of the store, records of live targets may expire; such targets stay
 * usable for a short time after the outage.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.TargetIncarnation
import org.sapphirelever.core.forwarding.TargetRecord

/**
 * A record as last seen.
 *
 * @property missingSince since when the store no longer has it
 * @property returnedAt when this run of the target was listed for the first time, or again after
 *   its record was missing; it may have turned cold shortly before
 * @property coldUntil end of the time for which it stays cold, as it stated itself
 * @property held what the store lists since its return from an older copy, although its record was
 *   removed before; the copy may be older than the end of the target
 * @property wasLost whether a connection of this host to it failed or broke, and none was opened
 *   since; it may have restarted although its record does not say so
 */
public data class ListedTarget(
    public val record: TargetRecord,
    public val missingSince: MonotonicTime? = null,
    public val returnedAt: MonotonicTime? = null,
    public val coldUntil: MonotonicTime? = null,
    public val wasLost: Boolean = false,
    public val held: TargetRecord? = null
) {
    internal fun statedCold(duration: Duration, now: MonotonicTime): ListedTarget {
        if (!duration.isPositive()) return this
        val end = now + minOf(duration, LONGEST_COLD_PERIOD)
        return copy(coldUntil = maxOf(coldUntil ?: end, end))
    }

    private companion object {
        /** Longer than targets stay cold; bounds the effect of a mistaken value. */
        val LONGEST_COLD_PERIOD = 1.minutes
    }
}

/**
 * Known targets.
 *
 * @property evacuations data centres whose targets must get nothing
 * @property departures targets that stated in an answer that they leave, and when; a statement
 *   holds until the target restarts, whatever its record says
 * @property storeUnavailable whether the last call to the store failed
 * @property recoveredAt time at which the store answered again after an outage
 * @property outageSince time at which that outage, or the present one, was noticed
 */
public data class TargetDirectory(
    public val targets: PersistentMap<TargetId, ListedTarget> = persistentMapOf(),
    public val storeUnavailable: Boolean = false,
    public val recoveredAt: MonotonicTime? = null,
    public val outageSince: MonotonicTime? = null,
    public val departures: PersistentMap<TargetIncarnation, MonotonicTime> = persistentMapOf(),
    public val evacuations: Evacuations = Evacuations()
) {
    internal fun isRecovering(now: MonotonicTime): Boolean =
        storeUnavailable || recoveredAt?.let { now - it < RECOVERY_PERIOD } == true

    /** Whether [target] leaves, according to its record or to itself. */
    public fun isLeaving(target: TargetRecord): Boolean =
        target.leaving || target.incarnation in departures ||
            targets[target.id]?.record?.let { it.leaving && it.startedAt == target.startedAt } ==
            true

    /** Targets that leave, with the time of their statement if they made one. */
    public fun leaving(): Map<TargetRecord, MonotonicTime?> = targets.values
        .map { it.record }
        .filter { isLeaving(it) }
        .associateWith { departures[it.incarnation] }

    private fun ListedTarget.isUsable(now: MonotonicTime): Boolean =
        !isLeaving(record) && !evacuations.isEmptied(record.dataCentre) &&
            (missingSince == null || mayHaveExpired(missingSince, now))

    /** Whether an outage, and not the end of the target, may be why a record is missing. */
    internal fun mayHaveExpired(missingSince: MonotonicTime, now: MonotonicTime): Boolean =
        isRecovering(now) && outageSince?.let { missingSince >= it } == true

    /** Targets of [service] that may take new work. */
    public fun usable(service: ServiceName, now: MonotonicTime): List<TargetRecord> = targets.values
        .filter { it.record.service == service && it.isUsable(now) }
        .map { it.record }

    /**
     * How much longer [target] may be cold, if targets of its service are cold for [period] after
     * their start and after their data centre was emptied; zero if it is warm.
     */
    public fun coldFor(target: TargetRecord, period: Duration, now: MonotonicTime): Duration {
        val listed = targets[target.id]?.takeIf { it.record.incarnation == target.incarnation }
        val ends = listOfNotNull(
            listed?.coldUntil,
            listed?.returnedAt?.plus(period),
            evacuations.takenBackAt(target.dataCentre)?.plus(period)
        )
        return ends.maxOfOrNull { it - now }?.coerceAtLeast(Duration.ZERO) ?: Duration.ZERO
    }

    public companion object {
        /** Time within which a live target renews a record that expired during an outage. */
        public val RECOVERY_PERIOD: Duration = 2.seconds
    }
}

/** Adds [record], which was read at [now], unless a later one of its target is known. */
public fun TargetDirectory.put(record: TargetRecord, now: MonotonicTime): TargetDirectory {
    val latest = targets[record.id]
    if (latest != null && record.precedes(latest.record)) return this
    val known = latest?.takeIf { it.record.incarnation == record.incarnation }
    // After an outage, records return that expired although their targets went on.
    val wasAway = known == null || known.missingSince?.let { !mayHaveExpired(it, now) } == true
    val returnedAt = if (wasAway) now else known?.returnedAt
    val wasLost = known?.wasLost == true
    val merged = known?.let { record.after(it.record) } ?: record
    return withTarget(ListedTarget(merged, null, returnedAt, known?.coldUntil, wasLost), now)
}

private fun TargetDirectory.withTarget(listed: ListedTarget, now: MonotonicTime): TargetDirectory =
    copy(targets = targets.put(listed.record.id, listed.statedCold(listed.record.coldFor, now)))

/** Records that a connection to [target] could not be opened or broke. */
public fun TargetDirectory.connectionLost(target: TargetIncarnation): TargetDirectory =
    changed(target) { it.copy(wasLost = true) }

/** Records that a new connection to [target] was opened. */
public fun TargetDirectory.connectionOpened(
    target: TargetIncarnation,
    now: MonotonicTime
): TargetDirectory =
    changed(target) { if (it.wasLost) it.copy(wasLost = false, returnedAt = now) else it }

private fun TargetDirectory.changed(
    target: TargetIncarnation,
    change: (ListedTarget) -> ListedTarget
): TargetDirectory {
    val listed = targets[target.target]?.takeIf { it.record.incarnation == target } ?: return this
    return copy(targets = targets.put(target.target, change(listed)))
}

/** Records that [target] stated that it stays cold for [duration]. */
public fun TargetDirectory.statedCold(
    target: TargetIncarnation,
    duration: Duration,
    now: MonotonicTime
): TargetDirectory = changed(target) { it.statedCold(duration, now) }

/** Records that [target] stated that it leaves. */
public fun TargetDirectory.statedLeaving(
    target: TargetIncarnation,
    now: MonotonicTime
): TargetDirectory {
    if (target in departures) return this
    return copy(departures = currentDepartures(now).put(target, now))
}

/** The statements without those of targets that have certainly ended since. */
private fun TargetDirectory.currentDepartures(
    now: MonotonicTime
): PersistentMap<TargetIncarnation, MonotonicTime> {
    if (departures.size < PRUNED_DEPARTURES) return departures
    return departures.filter { (target, statedAt) ->
        targets[target.target]?.record?.incarnation == target || now - statedAt < LONGEST_DEPARTURE
    }.toPersistentMap()
}

/** Marks the record of [id] as missing from the store. */
public fun TargetDirectory.removed(id: TargetId, now: MonotonicTime): TargetDirectory {
    val listed = targets[id] ?: return this
    if (listed.missingSince != null) {
        return if (listed.held == null) {
            this
        } else {
            copy(targets = targets.put(id, listed.copy(held = null)))
        }
    }
    return copy(targets = targets.put(id, listed.copy(missingSince = now)))
}

/**
 * Applies a complete listing of the records in the store. A record that is known already says
 * nothing new, in particular not how long its target stays cold.
 */
public fun TargetDirectory.listed(
    records: Collection<TargetRecord>,
    now: ClockReading
): TargetDirectory {
    val isFirst = targets.isEmpty()
    val present = records.map { it.id }.toSet()
    val put = records.fold(this) { directory, record ->
        val known = targets[record.id]
        when {
            isFirst -> directory.withTarget(record.foundAt(now), now.monotonic)
            known?.record == record && known.missingSince == null -> directory
            else -> directory.put(record, now.monotonic)
        }
    }
    return (targets.keys - present)
        .fold(put) { directory, id -> directory.removed(id, now.monotonic) }
}

/** This record as a host finds it at its own start, with the start of the target by its clock. */
private fun TargetRecord.foundAt(now: ClockReading): ListedTarget {
    val age = startedAt?.let { (now.wallMillis - it).milliseconds.coerceAtLeast(Duration.ZERO) }
    return ListedTarget(this, returnedAt = age?.let { now.monotonic - it })
}

/** Marks the store as unavailable. */
public fun TargetDirectory.storeLost(now: MonotonicTime): TargetDirectory =
    copy(storeUnavailable = true, outageSince = if (isRecovering(now)) outageSince else now)

/** Marks the store as available and removes records that have been missing for long. */
public fun TargetDirectory.storeAnswered(now: MonotonicTime): TargetDirectory {
    val recovered = if (storeUnavailable) now else recoveredAt
    val current = copy(storeUnavailable = false, recoveredAt = recovered)
    val expired =
        targets.filterValues { it.missingSince != null && now - it.missingSince > RECORD_RETENTION }
    return expired.keys.fold(current) { directory, id ->
        directory.copy(targets = directory.targets.remove(id))
    }
}

/** Number of departures at which outdated ones are removed. */
private const val PRUNED_DEPARTURES = 1_024

/** Longer than a target without a record goes on serving. */
private val LONGEST_DEPARTURE = 10.minutes

/** Longer than a copy from which the store returns is old, so that it brings no target back. */
private val RECORD_RETENTION = 2.minutes
