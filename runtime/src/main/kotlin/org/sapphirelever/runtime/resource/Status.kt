/*
 * Status of the system as one entry host knows it from heartbeats.
 */
package org.sapphirelever.runtime.resource

import org.sapphirelever.decisions.membership.Member
import org.sapphirelever.runtime.peer.PeerReport
import org.sapphirelever.runtime.peer.PeerState
import org.sapphirelever.wire.HostStatusMessage
import org.sapphirelever.wire.StatusMessage

public fun PeerState.toStatus(): StatusMessage {
    val current = configuration.value
    val table = membership.value
    val now = clock.now()
    val recent = reports.value.filterValues { now - it.receivedAt < PeerReport.VALIDITY }
    val desired = recent.values.maxOfOrNull { it.revision } ?: current.greatestAnnounced
    return StatusMessage(
        host = table.own.host.value,
        revision = current.inForce.revision.value,
        desiredRevision = maxOf(current.greatestAnnounced, desired).value,
        ready = current.ready,
        reason = current.notReadyReason,
        unreachable = table.unreachable.map { it.value }.sorted(),
        hosts = table.members.values.map { it.member }
            .sortedWith(compareBy({ it.dataCentre.value }, { it.host.value }, { it.id }))
            .map { if (it.id == table.own.id) ownStatus() else it.toStatus(recent[it.id]) }
    )
}

private fun PeerState.ownStatus(): HostStatusMessage {
    val current = configuration.value
    val own = membership.value.own.toStatus(null)
    return own.copy(revision = current.inForce.revision.value, ready = current.ready)
}

private fun Member.toStatus(report: PeerReport?): HostStatusMessage = HostStatusMessage(
    host = host.value,
    dataCentre = dataCentre.value,
    incarnation = id.incarnation.value,
    status = status.text,
    revision = report?.revision?.value,
    ready = report?.ready
)
