/*
 * Conversions between peer messages and domain types.
 */
package org.sapphirelever.wire.peer

import kotlinx.collections.immutable.toPersistentList
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.HostId
import org.sapphirelever.core.Incarnation
import org.sapphirelever.core.Revision
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.resource.Configuration
import org.sapphirelever.core.resource.ResourceKind
import org.sapphirelever.decisions.configuration.ConfigurationChange
import org.sapphirelever.decisions.configuration.ResourceName
import org.sapphirelever.decisions.configuration.TargetVersion
import org.sapphirelever.decisions.membership.Member
import org.sapphirelever.decisions.membership.MemberId
import org.sapphirelever.decisions.membership.MemberStatus
import org.sapphirelever.decisions.routing.Target
import org.sapphirelever.wire.toConfiguration
import org.sapphirelever.wire.toMessage

public fun Endpoint.toMessage(): EndpointMessage = EndpointMessage(address, port)

public fun EndpointMessage.toEndpoint(): Endpoint = Endpoint(address, port)

public fun Member.toMessage(): MemberMessage = MemberMessage(
    incarnation = id.incarnation.value,
    generation = id.generation,
    host = host.value,
    dataCentre = dataCentre.value,
    peer = peer.toMessage(),
    http = http.toMessage(),
    version = version,
    status = status.ordinal,
    successor = successor?.value,
    successorPeer = successorPeer?.toMessage()
)

/** Converts to a member; a status that only a later protocol version knows becomes suspect. */
public fun MemberMessage.toMember(): Member = Member(
    id = MemberId(Incarnation(incarnation), generation),
    host = HostId(host),
    dataCentre = DataCentre(dataCentre),
    peer = peer.toEndpoint(),
    http = http.toEndpoint(),
    version = version,
    status = MemberStatus.entries.getOrElse(status) { MemberStatus.SUSPECT },
    successor = successor?.let(::Incarnation),
    successorPeer = successorPeer?.toEndpoint()
)

public fun Target.toMessage(): TargetMessage =
    TargetMessage(id.value, service.value, dataCentre.value, endpoint.toMessage(), leaving)

public fun TargetMessage.toTarget(): Target = Target(
    id = TargetId(id),
    service = ServiceName(service),
    dataCentre = DataCentre(dataCentre),
    endpoint = endpoint.toEndpoint(),
    leaving = leaving
)

public fun TargetVersion.toMessage(): TargetVersionMessage = TargetVersionMessage(fencing, number)

public fun TargetVersionMessage.toVersion(): TargetVersion = TargetVersion(fencing, number)

public fun ConfigurationChange.toMessage(): ConfigurationDelta {
    val partial = changed.fold(Configuration()) { part, resource -> part.with(resource) }
        .copy(revision = to, recentChanges = accepted)
    val removals = removed.map { RemovedMessage(it.kind.text, it.name) }
    return ConfigurationDelta(from.value, partial.toMessage(), removals)
}

/** Converts to a change; omits removals of resource kinds that this version does not know. */
public fun ConfigurationDelta.toChange(): ConfigurationChange {
    val partial = changed.toConfiguration()
    return ConfigurationChange(
        from = Revision(from),
        to = partial.revision,
        changed = partial.resources.toPersistentList(),
        removed = removed.mapNotNull { it.toResourceName() }.toPersistentList(),
        accepted = partial.recentChanges
    )
}

private fun RemovedMessage.toResourceName(): ResourceName? =
    ResourceKind.fromText(kind)?.let { ResourceName(it, name) }
