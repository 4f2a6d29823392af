/*
 * Execution of the stages of a request. Each starts when its input results are available.
 */
package org.sapphirelever.runtime.forward

import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.forwarding.BatchLimits
import org.sapphirelever.core.forwarding.RouteStage
import org.sapphirelever.decisions.forwarding.ServiceBacklog
import org.sapphirelever.decisions.forwarding.StageTimes
import org.sapphirelever.decisions.forwarding.expectedLaterTimes
import org.sapphirelever.decisions.forwarding.forecastStages
import org.sapphirelever.decisions.forwarding.laterPieces
import org.sapphirelever.decisions.forwarding.permittedPiecesPerMilli
import org.sapphirelever.decisions.forwarding.stagePredecessors

/**
 * Priority and deadlines of the stages of a request.
 *
 * @property rank priority, where 0 is the most urgent
 * @property deadline time after which results are of no use
 * @property softDeadline time until which the response to the request meets its objective
 * @property targetTime time that the target of the request needs after the stages
 */
public data class StageSchedule(
    public val rank: Int,
    public val deadline: MonotonicTime,
    public val softDeadline: MonotonicTime,
    public val targetTime: Duration = ZERO
)

/** Runs the stages of requests; [executor] executes their pieces. */
public class StageExecutor(
    private val executor: PieceExecutor,
    private val state: ForwardingState
) {
    /**
     * Runs [stages] for [request] and returns the results that no other stage consumes. Throws
     * [StageFailedException] if a piece fails or misses the deadline of [schedule].
     */
    public suspend fun run(
        request: CallerRequest,
        stages: List<RouteStage>,
        schedule: StageSchedule
    ): PersistentList<StageResult> {
        stages.zip(request.pieceCounts)
            .filter { (_, count) -> count > 0 }
            .forEach { (stage, _) -> requireTargets(stage.service) }
        val made = mutableListOf<StageResult>()
        try {
            return coroutineScope { runStages(request, stages, schedule, made) }
        } catch (failure: Throwable) {
            // The results of a failed request would only occupy capacity at their producers.
            synchronized(made) { made.toList() }.let(executor::release)
            throw failure
        }
    }

    /** Fails the request at once if all targets of [service] are in emptied data centres. */
    private fun requireTargets(service: ServiceName) {
        if (!state.evacuations.areAllEmptied(service)) return
        throw StageFailedException("$service: data centres emptied")
    }

    /** Expected duration of [stages] for [request], whose priority is [rank]. */
    public fun expectedTimes(
        request: CallerRequest,
        stages: List<RouteStage>,
        rank: Int
    ): StageTimes {
        if (stages.isEmpty()) return StageTimes()
        val announced = executor.announcedWork()
        val backlogs = { service: ServiceName ->
            val targets = state.usableTargets(service).size
            val rate = limits(service)?.permittedPiecesPerMilli(targets)
            ServiceBacklog(service, executor.waitEstimate(service), announced, rate ?: 0.0)
        }
        val now = state.clock.now()
        return forecastStages(stages, request.pieceCounts, rank, ::limits, backlogs, now)
    }

    private fun limits(service: ServiceName): BatchLimits? =
        state.configuration.value.table?.service(service)?.batching

    private suspend fun CoroutineScope.runStages(
        request: CallerRequest,
        stages: List<RouteStage>,
        schedule: StageSchedule,
        made: MutableList<StageResult>
    ): PersistentList<StageResult> {
        val consumed = stages.flatMap { it.after }.toSet()
        val predecessors = stagePredecessors(stages, request.pieceCounts)
        val laterTimes = expectedLaterTimes(stages, request.pieceCounts, ::limits)
        val results = stages.map { CompletableDeferred<List<StageResult>>() }
        stages.forEachIndexed { index, stage ->
            launch {
                predecessors[index].map { results[it] }.awaitAll()
                val inputs = stage.after.map { results[it] }.awaitAll().flatten()
                val produced = runStage(request, stages, index, inputs, laterTimes[index], schedule)
                synchronized(made) { made += produced }
                results[index].complete(produced)
                executor.release(lastConsumed(stages, results, index))
            }
        }
        val all = results.awaitAll()
        return all.filterIndexed { index, _ -> index !in consumed }.flatten().toPersistentList()
    }

    /** Results whose last consumer was the stage at [index]. */
    @OptIn(ExperimentalCoroutinesApi::class)
    private fun lastConsumed(
        stages: List<RouteStage>,
        results: List<CompletableDeferred<List<StageResult>>>,
        index: Int
    ): List<StageResult> = stages[index].after
        .filter { before ->
            stages.indices.none { before in stages[it].after && !results[it].isCompleted }
        }.flatMap { results[it].getCompleted() }

    private suspend fun runStage(
        request: CallerRequest,
        stages: List<RouteStage>,
        index: Int,
        inputs: List<StageResult>,
        laterTime: Duration,
        schedule: StageSchedule
    ): List<StageResult> {
        val stage = stages[index]
        val count = request.pieceCounts.getOrElse(index) { 0 }
        if (count == 0) return emptyList()
        requireTargets(stage.service)
        val handles = inputs.map { it.handle }.toPersistentList()
        val key = request.pieceKey.takeIf { stage.after.isEmpty() || handles.isEmpty() }
        val orders =
            List(count) { piece ->
                PieceOrder(request.id, index, piece, ZERO, key, handles)
            }
        val origin = state.profile.dataCentre
        val inputBytes = inputs.bytesByDataCentre().toPersistentMap()
        val pieces =
            StagePieces(
                service = stage.service,
                resultBytes = stage.resultBytes,
                rank = schedule.rank,
                deadline = schedule.deadline,
                softDeadline = schedule.softDeadline,
                inputs = inputBytes,
                origin = origin,
                orders = orders,
                later = laterPieces(stages, request.pieceCounts, index).toPersistentMap(),
                laterWork = laterTime + schedule.targetTime
            )
        return executor.execute(pieces)
    }
}
