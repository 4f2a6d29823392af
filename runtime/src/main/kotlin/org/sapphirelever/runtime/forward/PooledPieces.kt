/*
 * Stage work of all hosts in common: each service is assigned to one host, which makes the calls
 * for all. A host that cannot reach it makes its own calls meanwhile.
 */
package org.sapphirelever.runtime.forward

import java.io.IOException
import org.sapphirelever.core.HostId
import org.sapphirelever.core.ServiceName
import org.sapphirelever.decisions.rendezvousRank
import org.sapphirelever.runtime.log.logEvent

/** The host that [service] is assigned to, of [hosts]. */
public fun assignedHost(service: ServiceName, hosts: Collection<HostId>): HostId? =
    hosts.maxByOrNull { rendezvousRank(service.value, it.value) }

/** Passes pieces to the host that their service is assigned to. */
public class PooledPieces(
    private val local: PieceMaker,
    private val links: PieceLinks,
    private val state: ForwardingState
) : PieceMaker {
    override suspend fun make(batch: PieceBatch): List<StageResult> {
        val owner = owner(batch.service) ?: return local.make(batch)
        return try {
            links.make(owner, batch)
        } catch (failure: PeerUnavailableException) {
            logEvent("stage-work-kept") {
                "service" to batch.service
                "owner" to owner
                "request" to batch.orders.firstOrNull()?.request
                "reason" to failure.message
            }
            local.make(batch)
        }
    }

    override fun release(results: List<StageResult>) {
        results.groupBy { owner(it.maker.service) }.forEach { (owner, made) ->
            if (owner == null || !links.release(owner, made)) local.release(made)
        }
    }

    /** The host that the service is assigned to, or null if that is this host or is not known. */
    private fun owner(service: ServiceName): HostId? =
        assignedHost(service, state.hosts.value.keys)?.takeIf { it != state.profile.host }
}

/** The host that a service is assigned to does not answer. */
public class PeerUnavailableException(message: String, cause: Throwable? = null) :
    IOException(message, cause)
