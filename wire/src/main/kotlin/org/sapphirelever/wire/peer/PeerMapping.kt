/*
 * Mapping between messages and the types of the decisions.
 */
package org.sapphirelever.wire.peer

import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.HostId
import org.sapphirelever.core.Incarnation
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.TargetId
import org.sapphirelever.decisions.membership.Member
import org.sapphirelever.decisions.membership.MemberId
import org.sapphirelever.decisions.membership.MemberStatus
import org.sapphirelever.decisions.routing.Target

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
    status = status.ordinal
)

/** The member; a status of a later version of the protocol reads as suspect. */
public fun MemberMessage.toMember(): Member = Member(
    id = MemberId(Incarnation(incarnation), generation),
    host = HostId(host),
    dataCentre = DataCentre(dataCentre),
    peer = peer.toEndpoint(),
    http = http.toEndpoint(),
    version = version,
    status = MemberStatus.entries.getOrElse(status) { MemberStatus.SUSPECT }
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
