/*
 * Order of the records of a target. A store may execute a write seconds after it was sent, so the
 * order in which records are read does not tell which one the target wrote last.
 */
package org.sapphirelever.decisions.forwarding

import org.sapphirelever.core.forwarding.TargetRecord

/**
 * Whether the target wrote this record before [known]: in an earlier run, or earlier in the same
 * one. Records without a start time have no order.
 */
public fun TargetRecord.precedes(known: TargetRecord): Boolean {
    val ownStart = startedAt ?: return false
    val knownStart = known.startedAt ?: return false
    if (ownStart != knownStart) return ownStart < knownStart
    val ownNumber = sequence ?: return false
    val knownNumber = known.sequence ?: return false
    return ownNumber < knownNumber
}

/**
 * This record, read after [known] of the same run. Unless its number shows that the target wrote it
 * later, it does not end a shutdown that [known] announced.
 */
internal fun TargetRecord.after(known: TargetRecord): TargetRecord {
    val ownNumber = sequence
    val knownNumber = known.sequence
    val isLater = ownNumber != null && knownNumber != null && ownNumber > knownNumber
    val staysLeaving = known.leaving && startedAt != null && !isLater
    return if (staysLeaving) copy(leaving = true) else this
}
