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
import org.sapphirelever.core.forwarding.RouteStage
import org.sapphirelever.decisions.forwarding.expectedStageTime
import org.sapphirelever.decisions.forwarding.stagePredecessors

/**
 * Priority and deadlines of the stages of a request.
 *
 * @property rank priority, where 0 is the most urgent
 * @property deadline time after which results are of no use
 * @property softDeadline time until which the response to the request meets its objective
 */
public data class StageSchedule(
    public val rank: Int,
    public val deadline: MonotonicTime,
    public val softDeadline: MonotonicTime
)

/** Expected duration of the stages of a request with empty queues and with the current ones. */
public data class StageTimeEstimate(public val unloaded: Duration, public val current: Duration)

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

    /** Expected time until [stages] are complete for [request], whose priority is [rank]. */
    public fun expectedTime(
        request: CallerRequest,
        stages: List<RouteStage>,
        rank: Int
    ): StageTimeEstimate {
        val table = state.configuration.value.table
        val now = state.clock.now()
        val limits = { service: ServiceName -> table?.service(service)?.batching }
        val waits = { service: ServiceName ->
            executor.waitEstimate(service)?.expectedWait(rank, now) ?: ZERO
        }
        return StageTimeEstimate(
            unloaded = expectedStageTime(stages, request.pieceCounts, limits) { ZERO },
            current = expectedStageTime(stages, request.pieceCounts, limits, waits)
        )
    }

    private suspend fun CoroutineScope.runStages(
        request: CallerRequest,
        stages: List<RouteStage>,
        schedule: StageSchedule,
        made: MutableList<StageResult>
    ): PersistentList<StageResult> {
        val consumed = stages.flatMap { it.after }.toSet()
        val predecessors = stagePredecessors(stages, request.pieceCounts)
        val results = stages.map { CompletableDeferred<List<StageResult>>() }
        stages.forEachIndexed { index, stage ->
            val count = request.pieceCounts.getOrElse(index) { 0 }
            launch {
                predecessors[index].map { results[it] }.awaitAll()
                val inputs = stage.after.map { results[it] }.awaitAll().flatten()
                val produced = runStage(request, index, stage, inputs, count, schedule)
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
        index: Int,
        stage: RouteStage,
        inputs: List<StageResult>,
        count: Int,
        schedule: StageSchedule
    ): List<StageResult> {
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
                orders = orders
            )
        return executor.execute(pieces)
    }
}
