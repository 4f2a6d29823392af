/*
 * Stage work of this host: pieces of many requests share calls to the targets of a service.
 */
package org.sapphirelever.runtime.forward

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.BatchLimits
import org.sapphirelever.core.forwarding.TargetRecord
import org.sapphirelever.decisions.forwarding.EndedCall
import org.sapphirelever.decisions.forwarding.FULL_PAUSE
import org.sapphirelever.decisions.forwarding.NEAR_PATIENCE
import org.sapphirelever.decisions.forwarding.PieceContext
import org.sapphirelever.decisions.forwarding.PieceQueue
import org.sapphirelever.decisions.forwarding.ServiceOutlook
import org.sapphirelever.decisions.forwarding.StageCall
import org.sapphirelever.decisions.forwarding.WaitingPiece
import org.sapphirelever.decisions.forwarding.add
import org.sapphirelever.decisions.forwarding.callDuration
import org.sapphirelever.decisions.forwarding.ended
import org.sapphirelever.decisions.forwarding.full
import org.sapphirelever.decisions.forwarding.nearUntil
import org.sapphirelever.decisions.forwarding.outlook
import org.sapphirelever.decisions.forwarding.released
import org.sapphirelever.decisions.forwarding.remove
import org.sapphirelever.decisions.forwarding.start
import org.sapphirelever.runtime.StateCell
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.runtime.transport.readWhole

/**
 * Makes pieces by calls of this host, which run in [scope]. [sharers] is the number of hosts that
 * make calls to a service.
 */
public class LocalPieces(
    private val scope: CoroutineScope,
    private val calls: TargetCalls,
    private val protocol: ForwardProtocol,
    private val state: ForwardingState,
    private val releases: ResultRelease,
    private val sharers: (ServiceName) -> Int
) : PieceMaker {
    private val queues = ConcurrentHashMap<ServiceName, ServiceQueue>()

    override suspend fun make(batch: PieceBatch): List<StageResult> {
        val limits =
            state.belief.value.table?.service(batch.service)?.batching
                ?: throw StageFailedException("service ${batch.service} runs no stages")
        return queue(batch.service).make(batch, limits)
    }

    override fun release(results: List<StageResult>) {
        // The room is free only after the maker has been told.
        results.forEach { releases.release(it) { queue(it.maker.service).free(it.handle) } }
    }

    override fun outlook(service: ServiceName): ServiceOutlook? = queues[service]?.outlook()

    /** Expected waiting times of all services for which pieces wait. */
    public fun outlooks(): Map<ServiceName, ServiceOutlook> = queues.keys
        .mapNotNull { service -> outlook(service)?.let { service to it } }
        .toMap()

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

        private val held = ConcurrentHashMap<String, StageResult>()

        suspend fun make(batch: PieceBatch, limits: BatchLimits): List<StageResult> {
            val pieces =
                batch.orders.map { order ->
                    state.countRequest(service)
                    Pending(order, batch.waiting(), 0, CompletableDeferred())
                }
            try {
                submit(pieces, limits)
                if (pieces.any { it.waiting.nearUntil != null }) startAfter(NEAR_PATIENCE, limits)
                return withTimeoutOrNull(batch.due - state.clock.now()) {
                    pieces.map { it.result }.awaitAll()
                } ?: throw StageFailedException("$service: late")
            } catch (failure: Throwable) {
                releaseMade(pieces)
                throw failure
            } finally {
                val results = pieces.map { it.result }.toSet()
                val left = pending.values.filter { it.result in results }
                left.forEach { pending.remove(it.waiting.number) }
                queue.update { state -> state.remove(left.map { it.waiting.number }.toSet()) }
            }
        }

        /** Gives up the results of a request whose other pieces were not made. */
        @OptIn(ExperimentalCoroutinesApi::class)
        private fun releaseMade(pieces: List<Pending>) {
            pieces.forEach { it.result.cancel() }
            release(
                pieces
                    .map { it.result }
                    .filter { it.isCompleted && it.getCompletionExceptionOrNull() == null }
                    .map { it.getCompleted() }
            )
        }

        /** Expected waiting times of new pieces, or null if none wait. */
        fun outlook(): ServiceOutlook? {
            val waiting = queue.value.takeIf { it.waiting.isNotEmpty() } ?: return null
            return limits()?.let { waiting.outlook(context(it)) }
        }

        private fun limits(): BatchLimits? = state.belief.value.table?.service(service)?.batching

        /** Notes that a result takes no more room. */
        fun free(handle: String) {
            val result = held.remove(handle) ?: return
            val limits = limits()
            if (limits == null) {
                queue.update { it.released(result.maker.id, result.bytes) }
                return
            }
            queue.decide {
                it.released(result.maker.id, result.bytes).start(context(limits))
            }.forEach { start(it, limits) }
        }

        private fun PieceBatch.waiting(): WaitingPiece = WaitingPiece(
            number = numbers.incrementAndGet(),
            request = orders.first().request,
            rank = rank,
            due = due,
            aim = aim,
            bytes = resultBytes,
            origin = origin,
            inputs = inputs,
            nearUntil = nearUntil(inputs.values.sum(), aim, state.clock.now())
        )

        private fun submit(pieces: List<Pending>, limits: BatchLimits) {
            pieces.forEach { pending[it.waiting.number] = it }
            queue
                .decide { it.add(pieces.map { piece -> piece.waiting }, context(limits)) }
                .forEach { start(it, limits) }
        }

        private fun start(call: StageCall, limits: BatchLimits) {
            val pieces = call.numbers.mapNotNull { pending.remove(it) }
            scope.launch {
                var made = emptyList<StageResult>()
                try {
                    if (pieces.isNotEmpty()) made = perform(call.target, pieces, limits)
                } finally {
                    val unmade = call.bytes - made.sumOf { it.bytes }
                    val ended = EndedCall(call.target.id, unmade, made.size)
                    queue
                        .decide { it.ended(ended, context(limits)) }
                        .forEach { start(it, limits) }
                }
            }
        }

        private suspend fun perform(
            target: TargetRecord,
            pieces: List<Pending>,
            limits: BatchLimits
        ): List<StageResult> {
            val now = state.clock.now()
            val orders = pieces.map { it.order.copy(remaining = it.waiting.due - now) }
            val usual = limits.callDuration(pieces.size)
            val longest = minOf(orders.maxOf { it.remaining }, usual * SILENT_FACTOR)
            val request = protocol.stageCall(target.id, orders)
            val end =
                calls.call(target, request, null, longest) { response ->
                    val body = response.body.readWhole(RESULTS_LIMIT)
                    response.reply to body
                }
            val took = state.clock.now() - now
            val results = results(end, pieces.size)
            if (took > usual * SLOW_FACTOR) {
                state.slowed(target.id)
            } else if (results.any { it is PieceResult.Made }) {
                state.recovered(target.id)
            }
            if (PieceResult.NoRoom in results) leaveAlone(target, limits)
            logEvent("stage-call") {
                "service" to service
                "target" to target.id
                "pieces" to pieces.size
                "waiting" to queue.value.waiting.size
                "took-ms" to took.inWholeMilliseconds
                "requests" to pieces.map { it.order.request }.distinct().joinToString(",")
                "failed" to results.filterNot { it is PieceResult.Made }.firstOrNull()
            }
            return pieces.zip(results).mapNotNull { (piece, result) ->
                finish(piece, result, target, limits)
            }
        }

        private fun results(
            end: CallEnd<Pair<TargetReply, ByteArray?>>,
            count: Int
        ): List<PieceResult> = when (end) {
            is CallEnd.NotSent -> failed(end.reason, count, sent = false)

            is CallEnd.Lost -> failed(end.reason, count)

            is CallEnd.Ended -> {
                val (reply, body) = end.value
                val made = if (reply.isSuccess) {
                    body?.let {
                        protocol.stageResults(it, count)
                    }
                } else {
                    null
                }
                made ?: failed("status ${reply.status}", count)
            }
        }

        private fun failed(reason: String, count: Int, sent: Boolean = true): List<PieceResult> =
            List(count) { PieceResult.Failed(reason, sent) }

        /** Completes [piece] with [result]; returns what now takes room at its maker, if any. */
        private fun finish(
            piece: Pending,
            result: PieceResult,
            target: TargetRecord,
            limits: BatchLimits
        ): StageResult? {
            when (result) {
                is PieceResult.Made -> return keep(piece, result.handle, target, limits)

                is PieceResult.Late -> fail(piece, "late")

                is PieceResult.InputGone -> fail(piece, "input gone")

                is PieceResult.NoRoom -> wait(piece, limits)

                is PieceResult.Failed ->
                    retry(piece, target.id, result.reason, result.sent, limits)
            }
            return null
        }

        private fun keep(
            piece: Pending,
            handle: String,
            target: TargetRecord,
            limits: BatchLimits
        ): StageResult {
            val made = StageResult(handle, target, piece.waiting.bytes)
            held[handle] = made
            if (!piece.result.complete(made)) release(listOf(made))
            scope.launch {
                // The maker drops the result by itself then.
                delay(limits.resultLifetime)
                free(handle)
            }
            return made
        }

        /** Starts no call to [target], which is full, for a while. */
        private fun leaveAlone(target: TargetRecord, limits: BatchLimits) {
            queue.update { it.full(target.id, state.clock.now()) }
            startAfter(FULL_PAUSE, limits)
        }

        /** Starts what may be started after [pause]. */
        private fun startAfter(pause: Duration, limits: BatchLimits) {
            scope.launch {
                delay(pause)
                queue.decide { it.start(context(limits)) }.forEach { start(it, limits) }
            }
        }

        /** Puts [piece] back among those that wait. */
        private fun wait(piece: Pending, limits: BatchLimits) {
            if (piece.result.isCompleted) return
            if (!state.takeExtraCall(service)) return fail(piece, "room")
            val waiting = piece.waiting.copy(number = numbers.incrementAndGet())
            submit(listOf(Pending(piece.order, waiting, piece.tries, piece.result)), limits)
        }

        private fun retry(
            piece: Pending,
            failed: TargetId,
            reason: String,
            sent: Boolean,
            limits: BatchLimits
        ) {
            val left = piece.waiting.due - state.clock.now()
            val hopeless = left < limits.callDuration(1)
            val repeats = sent && !state.takeExtraCall(service)
            if (hopeless || piece.tries >= MAXIMUM_TRIES || repeats) {
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
            hosts = sharers(service),
            host = state.profile.host.value,
            now = state.clock.now()
        )
    }

    private companion object {
        val numbers = AtomicLong()

        /** Calls after the first that one piece may take part in. */
        const val MAXIMUM_TRIES = 3

        /** A call that takes this many times its usual time is given up: the target is silent. */
        const val SILENT_FACTOR = 4

        /**
         * A call that takes this many times its usual time tells that the target is slow. Brief
         * disturbances by neighbours stay below.
         */
        const val SLOW_FACTOR = 3

        /** Results are handles of some tens of bytes each. */
        const val RESULTS_LIMIT = 262_144
    }
}
