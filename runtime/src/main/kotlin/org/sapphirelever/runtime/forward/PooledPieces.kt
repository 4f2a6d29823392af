/*
 * Stage work of all hosts in common: each service is assigned to one host, which makes the calls
 * for all.
 */
package org.sapphirelever.runtime.forward

import java.io.IOException
import org.sapphirelever.core.HostId
import org.sapphirelever.core.ServiceName
import org.sapphirelever.decisions.forwarding.ServiceOutlook
import org.sapphirelever.decisions.forwarding.assignmentOrder
import org.sapphirelever.runtime.log.logEvent

/**
 * Passes pieces to the host that their service is assigned to. Hosts that cannot reach it agree on
 * the next one in order, so that batches stay large when a host is lost.
 */
public class PooledPieces(
    private val local: PieceMaker,
    private val links: PieceLinks,
    private val state: ForwardingState
) : PieceMaker {
    override suspend fun make(batch: PieceBatch): List<StageResult> {
        for (owner in owners(batch.service)) {
            if (owner == state.profile.host) break
            try {
                return links.make(owner, batch)
            } catch (failure: PeerUnavailableException) {
                logEvent("stage-work-kept") {
                    "service" to batch.service
                    "owner" to owner
                    "request" to batch.orders.firstOrNull()?.request
                    "reason" to failure.message
                }
            }
        }
        return local.make(batch)
    }

    override fun release(results: List<StageResult>) {
        results.groupBy { it.account }.forEach { (account, made) ->
            if (account == null || !links.release(account, made)) local.release(made)
        }
    }

    override fun outlook(service: ServiceName): ServiceOutlook? {
        val owner = owners(service).firstOrNull() ?: state.profile.host
        return if (owner == state.profile.host) {
            local.outlook(service)
        } else {
            links.outlook(owner, service)
        }
    }

    /** The hosts to ask for pieces of [service], in order, without those that are avoided. */
    private fun owners(service: ServiceName): List<HostId> =
        assignmentOrder(service, state.hosts.value)
            .filter { it == state.profile.host || !links.isAvoided(it) }
            .take(MAXIMUM_OWNERS)

    private companion object {
        /** Hosts to ask before this host makes the calls; each may cost the time of a silence. */
        const val MAXIMUM_OWNERS = 3
    }
}

/** The host that a service is assigned to does not answer. */
public class PeerUnavailableException(message: String, cause: Throwable? = null) :
    IOException(message, cause)
