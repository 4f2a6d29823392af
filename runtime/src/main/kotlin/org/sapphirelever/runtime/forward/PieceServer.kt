/*
 * Execution of pieces for other hosts, and answers to those that follow the store through this one.
 * Each of their connections is served by one task.
 */
package org.sapphirelever.runtime.forward

import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.TargetId
import org.sapphirelever.runtime.peer.PeerConnection
import org.sapphirelever.wire.peer.AbandonPieces
import org.sapphirelever.wire.peer.EvacuationsKnown
import org.sapphirelever.wire.peer.MadePieceMessage
import org.sapphirelever.wire.peer.MakePieces
import org.sapphirelever.wire.peer.PiecesMade
import org.sapphirelever.wire.peer.ReleaseResults
import org.sapphirelever.wire.peer.StoreChangesRequest

/** Executes pieces for other hosts with [executor]. */
public class PieceServer(
    private val executor: LocalPieceExecutor,
    private val state: ForwardingState,
    private val relay: StoreRelay
) {
    /** Serves [connection] until it closes; its unfinished pieces are then cancelled. */
    public suspend fun serve(connection: PeerConnection): Unit = coroutineScope {
        val jobs = ConcurrentHashMap<Long, Job>()
        val reports = launch { reportWork(connection, jobs) }
        launch { state.evacuations.sendTo(connection) }
        while (true) {
            when (val message = connection.receive(IDLE_TIMEOUT)) {
                is MakePieces -> {
                    val job = launch { answer(connection, message) }
                    jobs[message.number] = job
                    job.invokeOnCompletion { jobs.remove(message.number) }
                }

                is AbandonPieces -> jobs[message.number]?.cancel()

                is ReleaseResults -> release(message)

                is EvacuationsKnown -> state.evacuations.receive(message)

                is StoreChangesRequest -> {
                    // A connection of a host that follows the store carries nothing else.
                    reports.cancelAndJoin()
                    relay.serve(connection, message)
                }

                else -> throw IOException("unexpected ${message::class.simpleName}")
            }
        }
    }

    private suspend fun reportWork(connection: PeerConnection, jobs: Map<Long, Job>) {
        while (true) {
            delay(REPORT_PERIOD)
            val estimates = executor.waitEstimates()
            if (jobs.isNotEmpty() || estimates.isNotEmpty() || executor.isAnnouncementDue()) {
                connection.send(reportOf(estimates, executor.ownAnnouncedWork()))
            }
        }
    }

    private suspend fun answer(connection: PeerConnection, message: MakePieces) {
        val answer =
            try {
                val made = executor.execute(message.toPieces())
                val results = made.map { MadePieceMessage(it.handle, it.producer.id.value) }
                PiecesMade(message.number, results)
            } catch (failure: StageFailedException) {
                PiecesMade(message.number, failure = failure.reason)
            }
        connection.send(answer)
    }

    private fun release(message: ReleaseResults) {
        val targets = state.directory.value.targets
        val results =
            message.results.mapNotNull { made ->
                val producer = targets[TargetId(made.maker)]?.record
                // The results of a removed target no longer exist.
                producer?.let { StageResult(made.handle, it, 0) }
            }
        executor.release(results)
    }

    private fun MakePieces.toPieces(): StagePieces = StagePieces(
        service = ServiceName(service),
        resultBytes = resultBytes,
        rank = rank,
        deadline = state.clock.now() + remainingMillis.milliseconds,
        softDeadline = state.clock.now() + softDeadlineMillis.milliseconds,
        inputs = inputs.mapKeys { DataCentre(it.key) }.toPersistentMap(),
        origin = DataCentre(dataCentre),
        orders =
            pieces.map {
                val inputs = it.inputs.toPersistentList()
                PieceOrder(request, stage, it.piece, Duration.ZERO, it.key, inputs)
            },
        later = later.mapKeys { ServiceName(it.key) }.toPersistentMap(),
        laterWork = laterMillis.milliseconds
    )

    private companion object {
        /** A third of the liveness timeout of the connected host. */
        val REPORT_PERIOD = 150.milliseconds
        val IDLE_TIMEOUT = 60.seconds
    }
}
