/*
 * Stage work of requests: pieces of many requests share calls to the targets of a service.
 */
package org.sapphirelever.runtime.forward

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.BatchLimits
import org.sapphirelever.core.forwarding.RouteStage
import org.sapphirelever.core.forwarding.TargetRecord
import org.sapphirelever.decisions.Decision
import org.sapphirelever.decisions.forwarding.PieceContext
import org.sapphirelever.decisions.forwarding.PieceQueue
import org.sapphirelever.decisions.forwarding.StageCall
import org.sapphirelever.decisions.forwarding.WaitingPiece
import org.sapphirelever.decisions.forwarding.add
import org.sapphirelever.decisions.forwarding.ended
import org.sapphirelever.decisions.forwarding.remove
import org.sapphirelever.runtime.StateCell
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.runtime.transport.readWhole

/** A result of a stage and the target that keeps it. */
public data class StageResult(public val handle: String, public val maker: TargetRecord)

/** The stages of a request did not end; the request itself has not run. */
public class StageFailedException(public val reason: String) : java.io.IOException(reason)

/** Makes pieces of stages for all requests of this host; calls run in [scope]. */
public class StageWork(
    private val scope: CoroutineScope,
    private val calls: TargetCalls,
    private val protocol: ForwardProtocol,
    private val state: ForwardingState,
    private val releases: ResultRelease
) {
    private val queues = ConcurrentHashMap<ServiceName, ServiceQueue>()

    /**
     * Runs [stages] for [request] and returns the results that no other stage takes. Throws
     * [StageFailedException] when a piece cannot be made before [due].
     */
    public suspend fun run(
        request: CallerRequest,
        stages: List<RouteStage>,
        rank: Int,
        due: MonotonicTime
    ): PersistentList<StageResult> {
        val made = mutableListOf<StageResult>()
        try {
            return coroutineScope { runStages(request, stages, rank, due, made) }
        } catch (failure: Throwable) {
            // Results of a request that ended early only take room at their makers.
            synchronized(made) { made.toList() }.let(releases::release)
            throw failure
        }
    }

    private suspend fun CoroutineScope.runStages(
        request: CallerRequest,
        stages: List<RouteStage>,
        rank: Int,
        due: MonotonicTime,
        made: MutableList<StageResult>
    ): PersistentList<StageResult> {
        val taken = stages.flatMap { it.after }.toSet()
        val results = mutableListOf<Deferred<List<StageResult>>>()
        stages.forEachIndexed { index, stage ->
            val count = request.pieceCounts.getOrElse(index) { 0 }
            val before = stage.after.map { results[it] }
            results += async {
                val inputs = before.awaitAll().flatten()
                val ended = pieces(request, index, stage, inputs, count, rank, due)
                synchronized(made) { made += ended }
                ended
            }
        }
        val all = results.awaitAll()
        val intermediate = all.filterIndexed { index, _ -> index in taken }.flatten()
        releases.release(intermediate)
        return all.filterIndexed { index, _ -> index !in taken }.flatten().toPersistentList()
    }

    private suspend fun pieces(
        request: CallerRequest,
        index: Int,
        stage: RouteStage,
        inputs: List<StageResult>,
        count: Int,
        rank: Int,
        due: MonotonicTime
    ): List<StageResult> {
        if (count == 0) return emptyList()
        val limits =
            state.belief.value.table?.service(stage.service)?.batching
                ?: throw StageFailedException("service ${stage.service} runs no stages")
        val handles = inputs.map { it.handle }.toPersistentList()
        val key = request.pieceKey.takeIf { stage.after.isEmpty() || handles.isEmpty() }
        val orders =
            List(count) { piece ->
                PieceOrder(request.id, index, piece, Duration.ZERO, key, handles)
            }
        return queue(stage.service).make(orders, limits, rank, due)
    }

    private fun queue(service: ServiceName): ServiceQueue =
        queues.computeIfAbsent(service) { ServiceQueue(it) }

    /** A piece that waits for its result. */
    private class Pending(
        val order: PieceOrder,
        val waiting: WaitingPiece,
        val tries: Int,
        val result: CompletableDeferred<StageResult>
    )

    /** Waiting pieces and calls of one service. */
    private inner class ServiceQueue(private val service: ServiceName) {
        private val queue = StateCell(PieceQueue())
        private val pending = ConcurrentHashMap<Long, Pending>()

        suspend fun make(
            orders: List<PieceOrder>,
            limits: BatchLimits,
            rank: Int,
            due: MonotonicTime
        ): List<StageResult> {
            val pieces =
                orders.map { order ->
                    state.countRequest(service)
                    val waiting = WaitingPiece(numbers.incrementAndGet(), rank, due)
                    Pending(order, waiting, 0, CompletableDeferred())
                }
            try {
                submit(pieces, limits)
                return pieces.map { it.result }.awaitAll()
            } finally {
                val results = pieces.map { it.result }.toSet()
                val left = pending.values.filter { it.result in results }
                left.forEach { pending.remove(it.waiting.number) }
                queue.update { state -> state.remove(left.map { it.waiting.number }.toSet()) }
            }
        }

        private fun submit(pieces: List<Pending>, limits: BatchLimits) {
            pieces.forEach { pending[it.waiting.number] = it }
            queue
                .decide { it.add(pieces.map { piece -> piece.waiting }, context(limits)) }
                .forEach { start(it, limits) }
        }

        private fun start(call: StageCall, limits: BatchLimits) {
            val pieces = call.numbers.mapNotNull { pending.remove(it) }
            scope.launch {
                try {
                    if (pieces.isNotEmpty()) perform(call.target, pieces, limits)
                } finally {
                    queue
                        .decide { it.ended(call.target.id, context(limits)) }
                        .forEach { start(it, limits) }
                }
            }
        }

        private suspend fun perform(
            target: TargetRecord,
            pieces: List<Pending>,
            limits: BatchLimits
        ) {
            val now = state.clock.now()
            val orders = pieces.map { it.order.copy(remaining = it.waiting.due - now) }
            val longest = orders.maxOf { it.remaining }
            val request = protocol.stageCall(target.id, orders)
            val end =
                calls.call(target, request, null, longest) { response ->
                    val body = response.body.readWhole(RESULTS_LIMIT)
                    response.reply to body
                }
            val results = results(end, pieces.size)
            logEvent("stage-call") {
                "service" to service
                "target" to target.id
                "pieces" to pieces.size
                "waiting" to queue.value.waiting.size
                "took-ms" to (state.clock.now() - now).inWholeMilliseconds
                "requests" to pieces.map { it.order.request }.distinct().joinToString(",")
                "failed" to results.filterNot { it is PieceResult.Made }.firstOrNull()
            }
            pieces.zip(results).forEach { (piece, result) ->
                finish(piece, result, target, limits)
            }
        }

        private fun results(
            end: CallEnd<Pair<TargetReply, ByteArray?>>,
            count: Int
        ): List<PieceResult> = when (end) {
            is CallEnd.NotSent -> failed(end.reason, count)

            is CallEnd.Lost -> failed(end.reason, count)

            is CallEnd.Ended -> {
                val (reply, body) = end.value
                val made = if (reply.isSuccess) body?.let { protocol.stageResults(it, count) } else null
                made ?: failed("status ${reply.status}", count)
            }
        }

        private fun failed(reason: String, count: Int): List<PieceResult> =
            List(count) { PieceResult.Failed(reason) }

        private fun finish(
            piece: Pending,
            result: PieceResult,
            target: TargetRecord,
            limits: BatchLimits
        ) {
            when (result) {
                is PieceResult.Made -> {
                    val made = StageResult(result.handle, target)
                    if (!piece.result.complete(made)) releases.release(listOf(made))
                }

                is PieceResult.Late -> fail(piece, "late")

                is PieceResult.InputGone -> fail(piece, "input gone")

                is PieceResult.Failed -> retry(piece, target.id, result.reason, limits)
            }
        }

        private fun retry(piece: Pending, failed: TargetId, reason: String, limits: BatchLimits) {
            val left = piece.waiting.due - state.clock.now()
            val hopeless = left < limits.callTime + limits.pieceTime
            if (hopeless || piece.tries >= MAXIMUM_TRIES || !state.takeExtraCall(service)) {
                fail(piece, reason)
                return
            }
            if (piece.result.isCompleted) return
            val waiting =
                piece.waiting.copy(number = numbers.incrementAndGet(), excluded = failed)
            submit(listOf(Pending(piece.order, waiting, piece.tries + 1, piece.result)), limits)
        }

        private fun fail(piece: Pending, reason: String) {
            piece.result.completeExceptionally(StageFailedException("$service: $reason"))
        }

        private fun context(limits: BatchLimits): PieceContext = PieceContext(
            service = service,
            limits = limits,
            candidates = state.usable(service),
            views = state.targetViews,
            hosts = state.hosts.value.size,
            here = state.profile.dataCentre,
            host = state.profile.host.value,
            now = state.clock.now()
        )
    }

    private companion object {
        val numbers = AtomicLong()

        /** Calls after the first that one piece may take part in. */
        const val MAXIMUM_TRIES = 3

        /** Results are handles of some tens of bytes each. */
        const val RESULTS_LIMIT = 262_144
    }
}

/** Tells the makers of results that they are no longer needed, in few calls. */
public class ResultRelease(
    private val scope: CoroutineScope,
    private val calls: TargetCalls,
    private val protocol: ForwardProtocol
) {
    private val waiting = StateCell<PersistentList<StageResult>>(persistentListOf())

    /** Releases [results] soon. */
    public fun release(results: List<StageResult>) {
        if (results.isEmpty()) return
        val all = waiting.update { it.addAll(results) }
        if (all.size == results.size) scope.launch { flushSoon() }
    }

    private suspend fun flushSoon() {
        delay(COLLECTION_TIME)
        val results =
            waiting.decide {
                Decision(persistentListOf<StageResult>(), it)
            }
        results.groupBy { it.maker }.forEach { (maker, made) ->
            scope.launch {
                val request = protocol.release(maker.id, made.map { it.handle })
                calls.call(maker, request, null, CALL_LIMIT) { it.body.readWhole(ANSWER_LIMIT) }
            }
        }
    }

    private companion object {
        /** Short against the lifetime of a result, long enough to share calls. */
        val COLLECTION_TIME = 60.milliseconds
        val CALL_LIMIT = 1_000.milliseconds
        const val ANSWER_LIMIT = 65_536
    }
}
