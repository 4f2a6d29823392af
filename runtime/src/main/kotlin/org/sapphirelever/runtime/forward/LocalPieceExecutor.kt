/*
 * Execution of pieces on this host: pieces of several requests share calls to the targets of a
 * service.
 */
package org.sapphirelever.runtime.forward

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlinx.collections.immutable.toPersistentMap
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
import org.sapphirelever.decisions.forwarding.AnnouncedWork
import org.sapphirelever.decisions.forwarding.EndedCall
import org.sapphirelever.decisions.forwarding.FULL_TARGET_COOLDOWN
import org.sapphirelever.decisions.forwarding.LOCALITY_WAIT
import org.sapphirelever.decisions.forwarding.PieceContext
import org.sapphirelever.decisions.forwarding.PieceQueue
import org.sapphirelever.decisions.forwarding.StageCall
import org.sapphirelever.decisions.forwarding.WaitEstimate
import org.sapphirelever.decisions.forwarding.WaitingPiece
import org.sapphirelever.decisions.forwarding.add
import org.sapphirelever.decisions.forwarding.callDuration
import org.sapphirelever.decisions.forwarding.ended
import org.sapphirelever.decisions.forwarding.localUntil
import org.sapphirelever.decisions.forwarding.markedFull
import org.sapphirelever.decisions.forwarding.released
import org.sapphirelever.decisions.forwarding.remove
import org.sapphirelever.decisions.forwarding.start
import org.sapphirelever.decisions.forwarding.waitEstimate
import org.sapphirelever.runtime.StateCell
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.runtime.transport.readWhole

/**
 * Executes pieces by calls from this host, which run in [scope]. [callingHosts] returns the number
 * of hosts that make calls to a service at the same time.
 */
public class LocalPieceExecutor(
    private val scope: CoroutineScope,
    private val calls: TargetCalls,
    private val protocol: ForwardProtocol,
    private val state: ForwardingState,
    private val releases: ResultRelease,
    private val callingHosts: (ServiceName) -> Int
) : PieceExecutor {
    private val queues = ConcurrentHashMap<ServiceName, ServiceQueue>()
    private val announcements = Announcements(state)

    override suspend fun execute(pieces: StagePieces): List<StageResult> {
        val limits =
            state.configuration.value.table?.service(pieces.service)?.batching
                ?: throw StageFailedException("service ${pieces.service} runs no stages")
        return announcements.during(pieces) { queue(pieces.service).execute(pieces, limits) }
    }

    override fun announcedWork(): List<AnnouncedWork> = listOf(ownAnnouncedWork())

    /** Work on its way from this host to other services. */
    public fun ownAnnouncedWork(): AnnouncedWork = announcements.current()

    /** Whether other hosts need this announcement to admit requests. */
    public fun isAnnouncementDue(): Boolean = announcements.isLong()

    override fun release(results: List<StageResult>) {
        // The capacity is free only after the producer has been told.
        results.forEach { releases.release(it) { queue(it.producer.service).free(it.handle) } }
    }

    override fun waitEstimate(service: ServiceName): WaitEstimate? = queues[service]?.waitEstimate()

    /** Expected waiting times of all services with queued pieces. */
    public fun waitEstimates(): Map<ServiceName, WaitEstimate> = queues.keys
        .mapNotNull { service -> waitEstimate(service)?.let { service to it } }
        .toMap()

    private fun queue(service: ServiceName): ServiceQueue =
        queues.computeIfAbsent(service) { ServiceQueue(it) }

    /** A piece without a result yet, with its entry in the queue. */
    private class PendingPiece(
        val order: PieceOrder,
        val waiting: WaitingPiece,
        val retries: Int,
        val result: CompletableDeferred<StageResult>
    )

    /** Queued pieces and calls in flight of one service. */
    private inner class ServiceQueue(private val service: ServiceName) {
        private val queue = StateCell(PieceQueue())
        private val pending = ConcurrentHashMap<Long, PendingPiece>()

        private val isLimitTimerSet = AtomicBoolean()

        private val heldResults = ConcurrentHashMap<String, StageResult>()

        private val answers = StageAnswers(protocol)

        suspend fun execute(stage: StagePieces, limits: BatchLimits): List<StageResult> {
            val pieces =
                stage.orders.map { order ->
                    state.countRequest(service)
                    PendingPiece(order, stage.toWaitingPiece(limits), 0, CompletableDeferred())
                }
            try {
                submit(pieces, limits)
                if (pieces.any { it.waiting.localUntil != null }) startAfter(LOCALITY_WAIT, limits)
                return withTimeoutOrNull(stage.deadline - state.clock.now()) {
                    pieces.map { it.result }.awaitAll()
                } ?: throw StageFailedException("$service: late")
            } catch (failure: Throwable) {
                releaseCompleted(pieces)
                throw failure
            } finally {
                val results = pieces.map { it.result }.toSet()
                val abandoned = pending.values.filter { it.result in results }
                abandoned.forEach { pending.remove(it.waiting.number) }
                queue.update { state -> state.remove(abandoned.map { it.waiting.number }.toSet()) }
            }
        }

        /** Releases the completed results of [pieces] if the others failed. */
        @OptIn(ExperimentalCoroutinesApi::class)
        private fun releaseCompleted(pieces: List<PendingPiece>) {
            pieces.forEach { it.result.cancel() }
            release(
                pieces
                    .map { it.result }
                    .filter { it.isCompleted && it.getCompletionExceptionOrNull() == null }
                    .map { it.getCompleted() }
            )
        }

        /** Expected waiting times of new pieces, or null if none are queued. */
        fun waitEstimate(): WaitEstimate? {
            val waiting = queue.value.takeIf { it.waiting.isNotEmpty() } ?: return null
            return limits()?.let { waiting.waitEstimate(context(it)) }
        }

        private fun limits(): BatchLimits? =
            state.configuration.value.table?.service(service)?.batching

        /** Frees the result capacity of [handle] and starts calls that now fit. */
        fun free(handle: String) {
            val result = heldResults.remove(handle) ?: return
            val limits = limits()
            if (limits == null) {
                queue.update { it.released(result.producer.id, result.bytes) }
                return
            }
            queue.decide {
                it.released(result.producer.id, result.bytes).start(context(limits))
            }.forEach { start(it, limits) }
        }

        private fun StagePieces.toWaitingPiece(limits: BatchLimits): WaitingPiece = WaitingPiece(
            number = numbers.incrementAndGet(),
            request = orders.first().request,
            rank = rank,
            deadline = deadline,
            softDeadline = softDeadline,
            bytes = resultBytes,
            origin = origin,
            inputs = inputs,
            localUntil =
                localUntil(
                    inputs.values.sum(),
                    softDeadline - laterWork,
                    limits,
                    state.clock.now()
                ),
            laterWork = laterWork
        )

        private fun submit(pieces: List<PendingPiece>, limits: BatchLimits) {
            pieces.forEach { pending[it.waiting.number] = it }
            queue
                .decide { it.add(pieces.map { piece -> piece.waiting }, context(limits)) }
                .forEach { start(it, limits) }
            startWhenLimitPermits(limits)
        }

        private fun start(call: StageCall, limits: BatchLimits) {
            val pieces = call.numbers.mapNotNull { pending.remove(it) }
            scope.launch {
                var made = emptyList<StageResult>()
                try {
                    if (pieces.isNotEmpty()) made = perform(call.target, pieces, limits)
                } finally {
                    val unusedBytes = call.bytes - made.sumOf { it.bytes }
                    val ranks = pieces.groupingBy { it.waiting.rank }.eachCount()
                    val ended =
                        EndedCall(
                            call.target.id,
                            unusedBytes,
                            made.size,
                            ranks.toPersistentMap()
                        )
                    queue
                        .decide { it.ended(ended, context(limits)) }
                        .forEach { start(it, limits) }
                    startWhenLimitPermits(limits)
                }
            }
        }

        private suspend fun perform(
            target: TargetRecord,
            pieces: List<PendingPiece>,
            limits: BatchLimits
        ): List<StageResult> {
            val now = state.clock.now()
            val orders = pieces.map { it.order.copy(remaining = it.waiting.deadline - now) }
            val expected = limits.callDuration(pieces.size)
            val timeout = minOf(orders.maxOf { it.remaining }, expected * TIMEOUT_FACTOR)
            val request = protocol.stageCall(target.id, orders)
            val outcome =
                calls.call(target, request, null, timeout) { response ->
                    val body = response.body.readWhole(RESULTS_LIMIT_BYTES)
                    answers.read(response, body, pieces.size)
                }
            val took = state.clock.now() - now
            val results = answers.results(outcome, pieces.size)
            if (took > expected * SLOW_FACTOR) {
                state.recordSlowCall(target.id)
            } else if (results.any { it is PieceResult.Made }) {
                state.recordNormalSpeed(target.id)
            }
            if (PieceResult.NoRoom in results) pauseCalls(target, limits)
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

        /**
         * Completes, requeues or retries [piece] according to [result]. Returns its result if
         * [target] now holds one.
         */
        private fun finish(
            piece: PendingPiece,
            result: PieceResult,
            target: TargetRecord,
            limits: BatchLimits
        ): StageResult? {
            when (result) {
                is PieceResult.Made -> return hold(piece, result.handle, target, limits)

                is PieceResult.Late -> fail(piece, "late")

                is PieceResult.InputGone -> fail(piece, "input gone")

                is PieceResult.NoRoom -> requeue(piece, limits)

                is PieceResult.Failed ->
                    retry(piece, target.id, result.reason, result.sent, limits)
            }
            return null
        }

        private fun hold(
            piece: PendingPiece,
            handle: String,
            target: TargetRecord,
            limits: BatchLimits
        ): StageResult {
            val made = StageResult(handle, target, piece.waiting.bytes)
            heldResults[handle] = made
            if (!piece.result.complete(made)) release(listOf(made))
            scope.launch {
                // The producer drops the result itself when its lifetime ends.
                delay(limits.resultLifetime)
                free(handle)
                answers.forget(handle)
            }
            return made
        }

        /** Pauses calls to [target], which has no room for results, for a cooldown. */
        private fun pauseCalls(target: TargetRecord, limits: BatchLimits) {
            queue.update { it.markedFull(target.id, state.clock.now()) }
            startAfter(FULL_TARGET_COOLDOWN, limits)
        }

        /** Starts calls again when the request limit of a target permits, if pieces are waiting. */
        private fun startWhenLimitPermits(limits: BatchLimits) {
            if (queue.value.waiting.isEmpty()) return
            val wait = state.limitWait(service)
            if (wait == Duration.ZERO || wait == Duration.INFINITE) return
            if (!isLimitTimerSet.compareAndSet(false, true)) return
            scope.launch {
                delay(wait)
                isLimitTimerSet.set(false)
                queue.decide { it.start(context(limits)) }.forEach { start(it, limits) }
                startWhenLimitPermits(limits)
            }
        }

        /** Starts the calls that are possible after [pause]. */
        private fun startAfter(pause: Duration, limits: BatchLimits) {
            scope.launch {
                delay(pause)
                queue.decide { it.start(context(limits)) }.forEach { start(it, limits) }
            }
        }

        /** Puts [piece] back into the queue if the retry budget permits it. */
        private fun requeue(piece: PendingPiece, limits: BatchLimits) {
            if (piece.result.isCompleted) return
            if (!state.tryTakeRetry(service)) return fail(piece, "room")
            val waiting = piece.waiting.copy(number = numbers.incrementAndGet())
            submit(
                listOf(PendingPiece(piece.order, waiting, piece.retries, piece.result)),
                limits
            )
        }

        private fun retry(
            piece: PendingPiece,
            failedTarget: TargetId,
            reason: String,
            sent: Boolean,
            limits: BatchLimits
        ) {
            val remaining = piece.waiting.deadline - state.clock.now()
            val isTooLate = remaining < limits.callDuration(1)
            val exceedsBudget = sent && !state.tryTakeRetry(service)
            if (isTooLate || piece.retries >= MAXIMUM_RETRIES || exceedsBudget) {
                fail(piece, reason)
                return
            }
            if (piece.result.isCompleted) return
            val waiting =
                piece.waiting.copy(number = numbers.incrementAndGet(), excluded = failedTarget)
            submit(
                listOf(PendingPiece(piece.order, waiting, piece.retries + 1, piece.result)),
                limits
            )
        }

        private fun fail(piece: PendingPiece, reason: String) {
            piece.result.completeExceptionally(StageFailedException("$service: $reason"))
        }

        private fun context(limits: BatchLimits): PieceContext = PieceContext(
            service = service,
            limits = limits,
            candidates = state.availableTargets(service),
            views = state.targetViews,
            hosts = callingHosts(service),
            host = state.profile.host.value,
            now = state.clock.now()
        )
    }

    private companion object {
        val numbers = AtomicLong()

        /** Calls after the first that may include the same piece. */
        const val MAXIMUM_RETRIES = 3

        /** Multiple of the expected duration after which a call to a silent target times out. */
        const val TIMEOUT_FACTOR = 4

        /**
         * Multiple of the expected duration above which the target counts as slow. Brief
         * interference by other processes on its machine stays below it.
         */
        const val SLOW_FACTOR = 3

        /** Ample for the results of a call, which are handles of some tens of bytes each. */
        const val RESULTS_LIMIT_BYTES = 262_144
    }
}
