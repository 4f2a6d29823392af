/*
 * The stages of a request, each started when the results that it takes are there.
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
 * Urgency of the stages of a request.
 *
 * @property due moment after which results are of no use
 * @property aim moment until which the answer to the request is on time
 */
public data class StageTerms(
    public val rank: Int,
    public val due: MonotonicTime,
    public val aim: MonotonicTime
)

/** Expected time of the stages of a request when nothing else waits, and [now]. */
public data class StageExpectation(public val idle: Duration, public val now: Duration)

/** Runs the stages of requests; [maker] makes their pieces. */
public class StageWork(private val maker: PieceMaker, private val state: ForwardingState) {
    /**
     * Runs [stages] for [request] and returns the results that no other stage takes. Throws
     * [StageFailedException] when a piece cannot be made within [terms].
     */
    public suspend fun run(
        request: CallerRequest,
        stages: List<RouteStage>,
        terms: StageTerms
    ): PersistentList<StageResult> {
        val made = mutableListOf<StageResult>()
        try {
            return coroutineScope { runStages(request, stages, terms, made) }
        } catch (failure: Throwable) {
            // Results of a request that ended early only take room at their makers.
            synchronized(made) { made.toList() }.let(maker::release)
            throw failure
        }
    }

    /** Expected time until [stages] have ended for [request], which has this [rank]. */
    public fun expectedTime(
        request: CallerRequest,
        stages: List<RouteStage>,
        rank: Int
    ): StageExpectation {
        val table = state.belief.value.table
        val now = state.clock.now()
        val limits = { service: ServiceName -> table?.service(service)?.batching }
        val waits = { service: ServiceName -> maker.outlook(service)?.wait(rank, now) ?: ZERO }
        return StageExpectation(
            idle = expectedStageTime(stages, request.pieceCounts, limits) { ZERO },
            now = expectedStageTime(stages, request.pieceCounts, limits, waits)
        )
    }

    private suspend fun CoroutineScope.runStages(
        request: CallerRequest,
        stages: List<RouteStage>,
        terms: StageTerms,
        made: MutableList<StageResult>
    ): PersistentList<StageResult> {
        val taken = stages.flatMap { it.after }.toSet()
        val earlier = stagePredecessors(stages, request.pieceCounts)
        val results = stages.map { CompletableDeferred<List<StageResult>>() }
        stages.forEachIndexed { index, stage ->
            val count = request.pieceCounts.getOrElse(index) { 0 }
            launch {
                earlier[index].map { results[it] }.awaitAll()
                val inputs = stage.after.map { results[it] }.awaitAll().flatten()
                val ended = pieces(request, index, stage, inputs, count, terms)
                synchronized(made) { made += ended }
                results[index].complete(ended)
                maker.release(lastTaken(stages, results, index))
            }
        }
        val all = results.awaitAll()
        return all.filterIndexed { index, _ -> index !in taken }.flatten().toPersistentList()
    }

    /** Results that the stage at [index] was the last one to take. */
    @OptIn(ExperimentalCoroutinesApi::class)
    private fun lastTaken(
        stages: List<RouteStage>,
        results: List<CompletableDeferred<List<StageResult>>>,
        index: Int
    ): List<StageResult> = stages[index].after
        .filter { before ->
            stages.indices.none { before in stages[it].after && !results[it].isCompleted }
        }.flatMap { results[it].getCompleted() }

    private suspend fun pieces(
        request: CallerRequest,
        index: Int,
        stage: RouteStage,
        inputs: List<StageResult>,
        count: Int,
        terms: StageTerms
    ): List<StageResult> {
        if (count == 0) return emptyList()
        val handles = inputs.map { it.handle }.toPersistentList()
        val key = request.pieceKey.takeIf { stage.after.isEmpty() || handles.isEmpty() }
        val orders =
            List(count) { piece ->
                PieceOrder(request.id, index, piece, ZERO, key, handles)
            }
        val origin = state.profile.dataCentre
        val fetched = inputs.bytesByDataCentre().toPersistentMap()
        val batch =
            PieceBatch(
                service = stage.service,
                resultBytes = stage.resultBytes,
                rank = terms.rank,
                due = terms.due,
                aim = terms.aim,
                inputs = fetched,
                origin = origin,
                orders = orders
            )
        return maker.make(batch)
    }
}
