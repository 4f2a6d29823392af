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
import org.sapphirelever.core.forwarding.BatchLimits
import org.sapphirelever.core.forwarding.RouteStage
import org.sapphirelever.core.forwarding.TargetRecord
import org.sapphirelever.decisions.forwarding.AnnouncedWork
import org.sapphirelever.decisions.forwarding.EndedCall
import org.sapphirelever.decisions.forwarding.LOCALITY_WAIT
import org.sapphirelever.decisions.forwarding.PieceContext
import org.sapphirelever.decisions.forwarding.PieceQueue
import org.sapphirelever.decisions.forwarding.RefusedCaller
import org.sapphirelever.decisions.forwarding.ResponseEstimate
import org.sapphirelever.decisions.forwarding.ReturnLine
import org.sapphirelever.decisions.forwarding.ServiceBacklog
import org.sapphirelever.decisions.forwarding.StageCall
import org.sapphirelever.decisions.forwarding.WaitEstimate
import org.sapphirelever.decisions.forwarding.WaitingPiece
import org.sapphirelever.decisions.forwarding.add
import org.sapphirelever.decisions.forwarding.adjusted
import org.sapphirelever.decisions.forwarding.ended
import org.sapphirelever.decisions.forwarding.expectedLaterTimes
import org.sapphirelever.decisions.forwarding.forecastStages
import org.sapphirelever.decisions.forwarding.laterPieces
import org.sapphirelever.decisions.forwarding.localUntil
import org.sapphirelever.decisions.forwarding.permittedPiecesPerMilli
import org.sapphirelever.decisions.forwarding.released
import org.sapphirelever.decisions.forwarding.remove
import org.sapphirelever.decisions.forwarding.start
import org.sapphirelever.decisions.forwarding.waitEstimate

/** Runs [load] with the random numbers of [seed]. */
public class StageLoadSimulation(private val load: StageLoad, seed: Long) {
    private inner class Service(val name: ServiceName, val declared: StageService) : ResultHolder {
        val targets =
            List(declared.targets) { index ->
                val endpoint = Endpoint("127.0.0.1", 1)
                val id = TargetId("$name-$index")
                TargetRecord(id, name, endpoint, SITES[index % SITES.size], 1, false, 1)
            }
        var queue = PieceQueue()
        val pieces = mutableMapOf<Long, StagedPiece>()
        var announced = AnnouncedWork(at = MonotonicTime.ZERO)

        fun context() = PieceContext(
            name,
            declared.limits,
            targets,
            emptyMap(),
            1,
            "host",
            events.now
        )

        fun submit(attempt: SimulatedAttempt, stage: Int) {
            announce(attempt, stage, 1)
            attempt.announced += stage
            val waiting = List(attempt.caller.counts[stage]) { waitingPiece(attempt, stage) }
            waiting.forEach { pieces[it.number] = StagedPiece(attempt, stage) }
            val decision = queue.add(waiting, context())
            queue = decision.state
            decision.actions.forEach(::perform)
            if (waiting.any { it.localUntil != null }) events.after(LOCALITY_WAIT, ::startCalls)
        }

        /** Adds what follows [stage] to the announcement, or withdraws it. */
        fun announce(attempt: SimulatedAttempt, stage: Int, sign: Int) {
            val kind = attempt.caller.kind
            laterPieces(kind.stages, attempt.caller.counts, stage).forEach { (service, count) ->
                announced = announced.adjusted(service, kind.rank, sign * count)
            }
        }

        fun startCalls() {
            val decision = queue.start(context())
            queue = decision.state
            decision.actions.forEach(::perform)
        }

        fun withdraw(attempt: SimulatedAttempt) {
            val numbers = pieces.filterValues { it.attempt === attempt }.keys
            queue = queue.remove(numbers)
        }

        override fun release(result: HeldResult) {
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

        private fun finish(call: StageCall, made: List<StagedPiece>) {
            val bytes = made.sumOf { stage(it).resultBytes }
            val ranks = made.groupingBy {
                it.attempt.caller.kind.rank
            }.eachCount().toPersistentMap()
            val ended = EndedCall(call.target.id, call.bytes - bytes, made.size, ranks)
            val decision = queue.ended(ended, context())
            queue = decision.state
            decision.actions.forEach(::perform)
            made.forEach { piece ->
                val result = HeldResult(this, call.target, stage(piece).resultBytes)
                if (piece.attempt.hasEnded) {
                    release(result)
                } else {
                    piece.attempt.results[piece.stage] += result
                    piece.attempt.open[piece.stage]--
                }
            }
            made
                .filter { !it.attempt.hasEnded && it.attempt.isDone(it.stage) }
                .distinctBy { it.attempt to it.stage }
                .forEach { endAnnouncement(it.attempt, it.stage) }
            made.map { it.attempt }.distinct().filterNot { it.hasEnded }.forEach(::advance)
        }

        private fun waitingPiece(attempt: SimulatedAttempt, stage: Int): WaitingPiece {
            val kind = attempt.caller.kind
            val inputs = kind.stages[stage].after.flatMap { attempt.results[it] }
            val softDeadline = softDeadline(attempt)
            val later =
                expectedLaterTimes(kind.stages, attempt.caller.counts, ::limits)[stage] +
                    kind.firstTokenTime
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
                localUntil =
                    localUntil(
                        inputs.sumOf { it.bytes },
                        softDeadline - later,
                        declared.limits,
                        events.now
                    ),
                laterWork = later
            )
        }
    }

    private val demand = Random(seed)
    private val random = Random(seed + 1)
    private val events = EventQueue()
    private var numbers = 0L
    private val services = load.services.mapValues { (name, declared) -> Service(name, declared) }
    private var estimates: Map<ServiceName, WaitEstimate> = emptyMap()
    private var announced: List<AnnouncedWork> = emptyList()
    private val lines = mutableMapOf<Pair<Int, ServiceName>, ReturnLine>()
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
        announced = services.values.map { it.announced.copy(at = events.now) }
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
            val caller = SimulatedCaller(kind, kind.pieces.map(::drawCount), events.now)
            record(kind) { it.copy(requests = it.requests + 1) }
            arrive(caller)
            scheduleArrival(kind)
        }
    }

    private fun drawCount(mean: Double): Int = if (mean <= 1) {
        if (demand.nextDouble() < mean) 1 else 0
    } else {
        (mean * demand.nextDouble(SMALLEST_COUNT, LARGEST_COUNT)).roundToInt().coerceAtLeast(1)
    }

    private fun arrive(caller: SimulatedCaller) {
        caller.attempts++
        val attempt = SimulatedAttempt(caller, "r-${++numbers}", SITES.random(demand), events.now)
        val retryAfter = retryAfter(attempt)
        if (retryAfter != null) return refuse(attempt, retryAfter)
        events.at(stageDeadline(attempt)) {
            if (!attempt.hasEnded &&
                !isComplete(attempt)
            ) {
                expire(attempt)
            }
        }
        advance(attempt)
    }

    private fun limits(service: ServiceName): BatchLimits? = load.services[service]?.limits

    private fun retryAfter(attempt: SimulatedAttempt): Duration? {
        val kind = attempt.caller.kind
        val times =
            forecastStages(
                kind.stages,
                attempt.caller.counts,
                kind.rank,
                ::limits,
                ::backlog,
                events.now
            )
        val engineTime = kind.firstTokenTime
        val excess =
            ResponseEstimate(
                objective = kind.objective,
                patience = stageDeadline(attempt) - events.now + engineTime,
                idle = times.idle + engineTime,
                expected = times.expected + engineTime,
                postponed = times.postponed + engineTime
            ).excess() ?: return null
        val place = demand.nextInt(load.hosts) to (times.busiest ?: return MINIMUM_RETRY)
        val latest = (attempt.caller.deadline - events.now) / PATIENCE_PARTS
        val caller = RefusedCaller(kind.rank, excess, times.work * load.hosts, latest)
        val (line, delay) = (lines[place] ?: ReturnLine()).promise(caller, events.now)
        lines[place] = line
        return delay
    }

    private fun backlog(service: ServiceName): ServiceBacklog {
        val declared = load.services.getValue(service)
        val rate = declared.limits.permittedPiecesPerMilli(declared.targets)
        return ServiceBacklog(service, estimates[service], announced, rate)
    }

    private fun refuse(attempt: SimulatedAttempt, retryAfter: Duration) {
        val caller = attempt.caller
        attempt.hasEnded = true
        val left = caller.deadline - events.now
        if (caller.attempts <= load.retries && left > LEAST_TIME) {
            return events.after(retryAfter + HOP) { arrive(caller) }
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
    private fun advance(attempt: SimulatedAttempt) {
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
                consumers.isNotEmpty() &&
                    consumers.all { it in attempt.started && attempt.isDone(it) }
            }.forEach { releaseAll(attempt.results[it]) }
        if (isComplete(attempt)) callEngine(attempt)
    }

    private fun callEngine(attempt: SimulatedAttempt) {
        val kind = attempt.caller.kind
        val time =
            kind.firstTokenTime *
                random.nextDouble(FASTEST_ENGINE, SLOWEST_ENGINE)
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

    private fun expire(attempt: SimulatedAttempt) {
        attempt.hasEnded = true
        record(attempt.caller.kind) { it.copy(failedLate = it.failedLate + 1) }
        services.values.forEach { it.withdraw(attempt) }
        attempt.announced.toList().forEach { endAnnouncement(attempt, it) }
        attempt.results.forEach(::releaseAll)
        refuse(attempt, LATE_RETRY_AFTER)
    }

    private fun endAnnouncement(attempt: SimulatedAttempt, stage: Int) {
        if (!attempt.announced.remove(stage)) return
        val service = attempt.caller.kind.stages[stage].service
        services.getValue(service).announce(attempt, stage, -1)
    }

    private fun isComplete(attempt: SimulatedAttempt): Boolean = attempt.open.all { it == 0 }

    private fun releaseAll(results: List<HeldResult>): Unit = results.forEach {
        it.holder.release(it)
    }

    private fun stage(piece: StagedPiece): RouteStage =
        piece.attempt.caller.kind.stages[piece.stage]

    /** Stages with small results take less time for each piece. */
    private fun workFactor(piece: StagedPiece): Double = if (stage(piece).after.isEmpty() &&
        stage(piece).resultBytes < SMALL_RESULT
    ) {
        SMALL_WORK
    } else {
        1.0
    }

    private fun softDeadline(attempt: SimulatedAttempt): MonotonicTime =
        attempt.startedAt + attempt.caller.kind.objective

    private fun stageDeadline(attempt: SimulatedAttempt): MonotonicTime {
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
        val MINIMUM_RETRY = 300.milliseconds

        /** A caller waits for a third of its time at most before it returns. */
        const val PATIENCE_PARTS = 3
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
