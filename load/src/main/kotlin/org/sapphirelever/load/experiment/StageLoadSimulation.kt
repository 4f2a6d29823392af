/*
 * Requests with stages under load, on virtual time: hosts admit them by the reports of the hosts
 * that the services are assigned to, whose queues start the calls. Callers that are refused come
 * back when they are told to.
 */
package org.sapphirelever.load.experiment

import kotlin.math.ln
import kotlin.math.roundToInt
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.toPersistentMap
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.RouteStage
import org.sapphirelever.core.forwarding.TargetRecord
import org.sapphirelever.decisions.forwarding.EndedCall
import org.sapphirelever.decisions.forwarding.LOCALITY_WAIT
import org.sapphirelever.decisions.forwarding.PieceContext
import org.sapphirelever.decisions.forwarding.PieceQueue
import org.sapphirelever.decisions.forwarding.ResponseEstimate
import org.sapphirelever.decisions.forwarding.StageCall
import org.sapphirelever.decisions.forwarding.WaitEstimate
import org.sapphirelever.decisions.forwarding.WaitingPiece
import org.sapphirelever.decisions.forwarding.add
import org.sapphirelever.decisions.forwarding.ended
import org.sapphirelever.decisions.forwarding.expectedFirstToken
import org.sapphirelever.decisions.forwarding.expectedStageTime
import org.sapphirelever.decisions.forwarding.localUntil
import org.sapphirelever.decisions.forwarding.released
import org.sapphirelever.decisions.forwarding.remove
import org.sapphirelever.decisions.forwarding.stagePredecessors
import org.sapphirelever.decisions.forwarding.start
import org.sapphirelever.decisions.forwarding.waitEstimate

/** Runs [load] with the random numbers of [seed]. */
public class StageLoadSimulation(private val load: StageLoad, seed: Long) {
    /** A request of a caller, over all its attempts. */
    private class Caller(val kind: RequestKind, val counts: List<Int>, val arrivedAt: MonotonicTime) {
        val deadline = arrivedAt + kind.deadline
        var attempts = 0
        var work = ZERO
    }

    /** One attempt of [caller], with the results of its stages. */
    private class Attempt(
        val caller: Caller,
        val id: String,
        val origin: DataCentre,
        val startedAt: MonotonicTime
    ) {
        val predecessors = stagePredecessors(caller.kind.stages, caller.counts)
        val started = mutableSetOf<Int>()
        val open = caller.counts.toMutableList()
        val results = caller.counts.map { mutableListOf<Result>() }
        var hasEnded = false

        fun isDone(stage: Int) = open[stage] == 0
    }

    private class Result(val service: Service, val target: TargetRecord, val bytes: Long) {
        var isHeld = true
    }

    private class Piece(val attempt: Attempt, val stage: Int)

    private inner class Service(val name: ServiceName, val declared: StageService) {
        val targets =
            List(declared.targets) { index ->
                val endpoint = Endpoint("127.0.0.1", 1)
                val id = TargetId("$name-$index")
                TargetRecord(id, name, endpoint, SITES[index % SITES.size], 1, false, 1)
            }
        var queue = PieceQueue()
        val pieces = mutableMapOf<Long, Piece>()

        fun context() = PieceContext(
            name,
            declared.limits,
            targets,
            emptyMap(),
            1,
            "host",
            events.now
        )

        fun submit(attempt: Attempt, stage: Int) {
            val waiting = List(attempt.caller.counts[stage]) { waitingPiece(attempt, stage) }
            waiting.forEach { pieces[it.number] = Piece(attempt, stage) }
            val decision = queue.add(waiting, context())
            queue = decision.state
            decision.actions.forEach(::perform)
            if (waiting.any { it.localUntil != null }) events.after(LOCALITY_WAIT, ::startCalls)
        }

        fun startCalls() {
            val decision = queue.start(context())
            queue = decision.state
            decision.actions.forEach(::perform)
        }

        fun withdraw(attempt: Attempt) {
            val numbers = pieces.filterValues { it.attempt === attempt }.keys
            queue = queue.remove(numbers)
        }

        fun release(result: Result) {
            if (!result.isHeld) return
            result.isHeld = false
            queue = queue.released(result.target.id, result.bytes)
            startCalls()
        }

        private fun perform(call: StageCall) {
            val made = call.numbers.map { pieces.remove(it)!! }
            val work = made.fold(ZERO) { all, piece ->
                all + declared.limits.pieceTime * workFactor(piece)
            }
            val took = (declared.limits.baseCallTime + work) * random.nextDouble(FASTEST, SLOWEST)
            made.forEach { it.attempt.caller.work += took / made.size }
            events.after(took + HOP * 2) { finish(call, made) }
        }

        private fun finish(call: StageCall, made: List<Piece>) {
            val bytes = made.sumOf { stage(it).resultBytes }
            val ended = EndedCall(call.target.id, call.bytes - bytes, made.size)
            val decision = queue.ended(ended, context())
            queue = decision.state
            decision.actions.forEach(::perform)
            made.forEach { piece ->
                val result = Result(this, call.target, stage(piece).resultBytes)
                if (piece.attempt.hasEnded) {
                    release(result)
                } else {
                    piece.attempt.results[piece.stage] += result
                    piece.attempt.open[piece.stage]--
                }
            }
            made.map { it.attempt }.distinct().filterNot { it.hasEnded }.forEach(::advance)
        }

        private fun waitingPiece(attempt: Attempt, stage: Int): WaitingPiece {
            val kind = attempt.caller.kind
            val inputs = kind.stages[stage].after.flatMap { attempt.results[it] }
            val softDeadline = softDeadline(attempt)
            return WaitingPiece(
                number = ++numbers,
                request = attempt.id,
                rank = kind.rank,
                deadline = stageDeadline(attempt),
                softDeadline = softDeadline,
                bytes = kind.stages[stage].resultBytes,
                origin = attempt.origin,
                inputs =
                    inputs
                        .groupBy { it.target.dataCentre }
                        .mapValues { (_, held) -> held.sumOf { it.bytes } }
                        .toPersistentMap(),
                localUntil = localUntil(inputs.sumOf { it.bytes }, softDeadline, events.now)
            )
        }
    }

    private val demand = Random(seed)
    private val random = Random(seed + 1)
    private val events = EventQueue()
    private var numbers = 0L
    private val services = load.services.mapValues { (name, declared) -> Service(name, declared) }
    private var estimates: Map<ServiceName, WaitEstimate> = emptyMap()
    private val figures = mutableMapOf<String, KindFigures>()

    /** Runs until all requests have ended; the result is by kind of request. */
    public fun run(): Map<String, KindFigures> {
        load.kinds.forEach(::scheduleArrival)
        report()
        events.run()
        return figures
    }

    private fun report() {
        estimates =
            services.values
                .filter { it.queue.waiting.isNotEmpty() }
                .associate { it.name to it.queue.waitEstimate(it.context()) }
        if (events.now - MonotonicTime.ZERO < load.duration) events.after(REPORT_PERIOD, ::report)
    }

    private fun scheduleArrival(kind: RequestKind) {
        val time = events.now - MonotonicTime.ZERO
        val burst =
            load.bursts.firstOrNull {
                it.kind == kind.name && time >= it.from && time < it.from + it.duration
            }
        val gap = -ln(1 - demand.nextDouble()) / (kind.rate * (burst?.factor ?: 1.0))
        events.after(gap.seconds) {
            if (events.now - MonotonicTime.ZERO > load.duration) return@after
            val caller = Caller(kind, kind.pieces.map(::drawCount), events.now)
            record(kind) { it.copy(requests = it.requests + 1) }
            arrive(caller)
            scheduleArrival(kind)
        }
    }

    private fun drawCount(mean: Double): Int =
        if (mean <= 1) {
            if (demand.nextDouble() < mean) 1 else 0
        } else {
            (mean * demand.nextDouble(SMALLEST_COUNT, LARGEST_COUNT)).roundToInt().coerceAtLeast(1)
        }

    private fun arrive(caller: Caller) {
        caller.attempts++
        val attempt = Attempt(caller, "r-${++numbers}", SITES.random(demand), events.now)
        val retryAfter = retryAfter(attempt)
        if (retryAfter != null) return refuse(attempt, retryAfter)
        events.at(stageDeadline(attempt)) { if (!attempt.hasEnded && !isComplete(attempt)) expire(attempt) }
        advance(attempt)
    }

    private fun retryAfter(attempt: Attempt): Duration? {
        val kind = attempt.caller.kind
        val limits = { service: ServiceName -> load.services[service]?.limits }
        fun time(waits: (ServiceName) -> Duration): Duration =
            expectedStageTime(kind.stages, attempt.caller.counts, limits, waits) +
                expectedFirstToken(kind.promptTokens)
        return ResponseEstimate(
            objective = kind.objective,
            idle = time { ZERO },
            expected =
                time { estimates[it]?.expectedWait(kind.rank, events.now) ?: ZERO }
        ).retryAfter()
    }

    private fun refuse(attempt: Attempt, retryAfter: Duration) {
        val caller = attempt.caller
        attempt.hasEnded = true
        val left = caller.deadline - events.now
        if (caller.attempts <= load.retries && left > LEAST_TIME) {
            return events.after(minOf(retryAfter, left / 3) + HOP) { arrive(caller) }
        }
        record(caller.kind) {
            it.copy(
                refused = it.refused + 1,
                refusedAgain = it.refusedAgain + if (caller.attempts > 1) 1 else 0,
                unusedWork = it.unusedWork + caller.work
            )
        }
    }

    /** Starts the stages whose predecessors have ended, or the engine after the last one. */
    private fun advance(attempt: Attempt) {
        val stages = attempt.caller.kind.stages
        stages.indices
            .filter { it !in attempt.started && attempt.predecessors[it].all(attempt::isDone) }
            .forEach { index ->
                attempt.started += index
                val service = services.getValue(stages[index].service)
                if (attempt.caller.counts[index] > 0) {
                    events.after(HOP) { if (!attempt.hasEnded) service.submit(attempt, index) }
                }
            }
        stages.indices
            .filter { before ->
                val consumers = stages.indices.filter { before in stages[it].after }
                consumers.isNotEmpty() && consumers.all { it in attempt.started && attempt.isDone(it) }
            }.forEach { releaseAll(attempt.results[it]) }
        if (isComplete(attempt)) callEngine(attempt)
    }

    private fun callEngine(attempt: Attempt) {
        val kind = attempt.caller.kind
        val time = expectedFirstToken(kind.promptTokens) * random.nextDouble(FASTEST_ENGINE, SLOWEST_ENGINE)
        events.after(time + HOP) {
            if (attempt.hasEnded) return@after
            attempt.hasEnded = true
            attempt.results.forEach(::releaseAll)
            val isInTime = events.now <= attempt.caller.arrivedAt + kind.objective
            record(kind) {
                if (isInTime) it.copy(inTime = it.inTime + 1) else it.copy(late = it.late + 1)
            }
        }
    }

    private fun expire(attempt: Attempt) {
        attempt.hasEnded = true
        record(attempt.caller.kind) { it.copy(failedLate = it.failedLate + 1) }
        services.values.forEach { it.withdraw(attempt) }
        attempt.results.forEach(::releaseAll)
        refuse(attempt, LATE_RETRY_AFTER)
    }

    private fun isComplete(attempt: Attempt): Boolean = attempt.open.all { it == 0 }

    private fun releaseAll(results: List<Result>): Unit =
        results.forEach { it.service.release(it) }

    private fun stage(piece: Piece): RouteStage = piece.attempt.caller.kind.stages[piece.stage]

    /** Stages with small results take less time for each piece. */
    private fun workFactor(piece: Piece): Double =
        if (stage(piece).after.isEmpty() && stage(piece).resultBytes < SMALL_RESULT) SMALL_WORK else 1.0

    private fun softDeadline(attempt: Attempt): MonotonicTime =
        attempt.startedAt + attempt.caller.kind.objective

    private fun stageDeadline(attempt: Attempt): MonotonicTime {
        val soft = softDeadline(attempt)
        val deadline = attempt.caller.deadline
        return minOf(soft + (deadline - soft) * OVERRUN_SHARE, deadline - RESERVE)
    }

    private fun record(kind: RequestKind, change: (KindFigures) -> KindFigures) {
        figures[kind.name] = change(figures[kind.name] ?: KindFigures())
    }

    private companion object {
        val SITES = listOf(DataCentre("a"), DataCentre("b"), DataCentre("c"))
        val HOP = 2.milliseconds
        val REPORT_PERIOD = 150.milliseconds
        val LATE_RETRY_AFTER = 300.milliseconds
        val LEAST_TIME = 200.milliseconds
        val RESERVE = 150.milliseconds
        const val OVERRUN_SHARE = 0.35
        const val FASTEST = 0.95
        const val SLOWEST = 1.25
        const val FASTEST_ENGINE = 0.7
        const val SLOWEST_ENGINE = 1.3
        const val SMALLEST_COUNT = 0.5
        const val LARGEST_COUNT = 1.5
        const val SMALL_RESULT = 10_000
        const val SMALL_WORK = 0.3
    }
}
