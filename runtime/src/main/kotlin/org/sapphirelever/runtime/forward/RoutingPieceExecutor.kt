/*
 * Routing of pieces between hosts: each service is assigned to one host, which executes its pieces
 * for all hosts.
 */
package org.sapphirelever.runtime.forward

import java.io.IOException
import org.sapphirelever.core.HostId
import org.sapphirelever.core.ServiceName
import org.sapphirelever.decisions.forwarding.AnnouncedWork
import org.sapphirelever.decisions.forwarding.WaitEstimate
import org.sapphirelever.decisions.forwarding.assignmentOrder
import org.sapphirelever.runtime.log.logEvent

/**
 * Routes pieces to the host that their service is assigned to. Hosts that cannot reach it fall back
 * to the same next host in the assignment order, so that batches stay large when a host is lost.
 */
public class RoutingPieceExecutor(
    private val local: PieceExecutor,
    private val peers: PeerPieceClient,
    private val state: ForwardingState
) : PieceExecutor {
    override suspend fun execute(pieces: StagePieces): List<StageResult> {
        for (owner in owners(pieces.service)) {
            if (owner == state.profile.host) break
            try {
                return peers.execute(owner, pieces)
            } catch (failure: PeerUnavailableException) {
                logEvent("stage-work-kept") {
                    "service" to pieces.service
                    "owner" to owner
                    "request" to pieces.orders.firstOrNull()?.request
                    "reason" to failure.message
                }
            }
        }
        return local.execute(pieces)
    }

    override fun release(results: List<StageResult>) {
        results.groupBy { it.accountingHost }.forEach { (host, released) ->
            if (host == null || !peers.release(host, released)) local.release(released)
        }
    }

    override fun waitEstimate(service: ServiceName): WaitEstimate? {
        val owner = owners(service).firstOrNull() ?: state.profile.host
        return if (owner == state.profile.host) {
            local.waitEstimate(service)
        } else {
            peers.waitEstimate(owner, service)
        }
    }

    override fun announcedWork(): List<AnnouncedWork> =
        local.announcedWork() + peers.announcedWork()

    /** Hosts to try for pieces of [service], in assignment order, except avoided ones. */
    private fun owners(service: ServiceName): List<HostId> =
        assignmentOrder(service, state.hosts.value)
            .filter { it == state.profile.host || !peers.isAvoided(it) }
            .take(MAXIMUM_OWNERS)

    private companion object {
        /** Hosts to try before executing locally; each may cost one liveness timeout. */
        const val MAXIMUM_OWNERS = 3
    }
}

/** The host that a service is assigned to is unreachable. */
public class PeerUnavailableException(message: String, cause: Throwable? = null) :
    IOException(message, cause)
