/*
 * Targets after the store returned from an older copy. The copy may list targets that have ended
 * since, and lack those that have started.
 */
package org.sapphirelever.decisions.forwarding

import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.forwarding.TargetRecord

/**
 * Applies the first listing after the return. Targets that it lacks stay usable for as long as
 * after an outage. A target whose record was removed before stays unusable: what the copy holds of
 * it is held back until the target has had time to write again, or the store to remove it.
 */
public fun TargetDirectory.relisted(
    records: Collection<TargetRecord>,
    now: ClockReading
): TargetDirectory {
    val present = records.map { it.id }.toSet()
    val put = records.fold(returned(now.monotonic)) { directory, record ->
        val known = directory.targets[record.id]
        val missingSince = known?.missingSince
        when {
            known == null -> directory.put(record, now.monotonic)

            missingSince != null && !directory.mayHaveExpired(missingSince, now.monotonic) ->
                directory.copy(
                    targets = directory.targets.put(record.id, known.copy(held = record))
                )

            known.record == record && missingSince == null -> directory

            else -> directory.put(record.keepingDeparture(known.record), now.monotonic)
        }
    }
    return (targets.keys - present)
        .fold(put) { directory, id -> directory.removed(id, now.monotonic) }
}

/** Applies what was held back: these targets are alive, since the store still lists them. */
public fun TargetDirectory.settled(now: MonotonicTime): TargetDirectory =
    targets.values.mapNotNull { it.held }.fold(this) { directory, record ->
        directory.copy(
            targets = directory.targets.put(record.id, ListedTarget(record, returnedAt = now))
        )
    }

/** The end of an outage that may not have been noticed. */
private fun TargetDirectory.returned(now: MonotonicTime): TargetDirectory = copy(
    storeUnavailable = false,
    recoveredAt = now,
    outageSince = if (isRecovering(now)) outageSince else now
)

/** Without a start time, a record of the copy does not show that the target restarted. */
private fun TargetRecord.keepingDeparture(known: TargetRecord): TargetRecord =
    if (known.leaving && startedAt == null) copy(leaving = true) else this
