/*
 * Simulation of open-loop arrivals at several entry hosts that share the targets of a deployment.
 */
package org.sapphirelever.load.experiment

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.OrganisationName
import org.sapphirelever.core.Priority
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.TargetId
import org.sapphirelever.decisions.admission.CallEnd
import org.sapphirelever.decisions.admission.DispatchAction
import org.sapphirelever.decisions.admission.FinishedCall
import org.sapphirelever.decisions.admission.WaitingCall
import org.sapphirelever.decisions.prediction.SizeClass
import org.sapphirelever.decisions.prediction.StageKind
import org.sapphirelever.decisions.routing.LoadReport
import org.sapphirelever.decisions.routing.RoutingRequest
import org.sapphirelever.decisions.routing.Target

/** Runs [scenario] with [approach]; the same seed gives the same arrivals to every approach. */
internal class Simulation(
    private val scenario: Scenario,
    private val approach: Approach,
    private val seed: Long
) {
    private class Request(
        val organisation: OrganisationDemand,
        var host: SimulatedHost,
        val intendedAt: MonotonicTime,
        val deadline: MonotonicTime,
        val size: SizeClass,
        val prefix: String,
        val serviceTimes: List<Duration>
    ) {
        var stage = 0
        var triedTargets = persistentSetOf<TargetId>()
        var mayHaveRun = false
        var ended = false
    }

    private val deployment = scenario.deployment
    private val events = EventQueue()
    private val arrivalRandom = Random(seed)
    private val faultRandom = Random(seed + 1)
    private val targets = deployment.stages.flatMap(::simulatedTargets)
    private val byId = targets.associateBy { it.target.id }
    private val hosts = List(deployment.entryHosts, ::host)
    private val active = HashSet<Request>()
    private val waiting = HashMap<Pair<SimulatedHost, Long>, Request>()
    private val samples = ArrayList<Sample>()
    private var lastId = 0L

    fun run(): Measurement {
        scheduleArrivals()
        scenario.failureAt?.let { time -> events.at(MonotonicTime.ZERO + time, ::injectFailure) }
        events.run()
        val calls = targets.sumOf { it.prefixCalls }
        val hits = targets.sumOf { it.prefixHits }
        return Measurement(samples, if (calls == 0L) 0.0 else hits.toDouble() / calls)
    }

    private fun simulatedTargets(shape: ServiceShape): List<SimulatedTarget> =
        List(shape.targets) { index ->
            val id = TargetId("${shape.name}-$index")
            val dataCentre = deployment.dataCentres[index % deployment.dataCentres.size]
            val target = Target(
                id,
                ServiceName(shape.name),
                DataCentre(dataCentre),
                Endpoint("127.0.0.1", 1)
            )
            val isSlow = shape.name == deployment.engine && index == scenario.slowTarget
            val periods = if (isSlow) scenario.slowPeriods else emptyList()
            SimulatedTarget(
                target,
                shape,
                events,
                periods,
                scenario.reportDelay
            ) { prefix, cached ->
                publishCacheEvent(id, prefix, cached)
            }
        }

    private fun host(index: Int): SimulatedHost = SimulatedHost(
        name = "entry-$index",
        dataCentre = DataCentre(deployment.dataCentres[index % deployment.dataCentres.size]),
        targets = byId.mapValues { it.value.target }.toPersistentMap(),
        approach = approach,
        random = Random(seed + 2 + index)
    )

    private fun publishCacheEvent(target: TargetId, prefix: String, cached: Boolean) {
        for (host in hosts) {
            if (faultRandom.nextDouble() < CACHE_EVENT_LOSS_RATE) continue
            events.after(CACHE_EVENT_DELAY) {
                host.onCacheEvent(target, prefix, cached, events.now)
            }
        }
    }

    private fun scheduleArrivals() {
        var time = Duration.ZERO
        while (true) {
            time += (-ln(1 - arrivalRandom.nextDouble()) / scenario.rate(time)).seconds
            if (time >= scenario.duration) return
            val request = request(MonotonicTime.ZERO + time)
            events.at(request.intendedAt + deployment.clientLatency) { arrive(request) }
        }
    }

    private fun request(at: MonotonicTime): Request {
        val long = arrivalRandom.nextDouble() < scenario.longShare
        val serviceTimes = deployment.stages.map { shape ->
            val factor = if (long && shape.name == deployment.engine) scenario.longFactor else 1.0
            shape.meanServiceTime * (serviceTimeFactor() * factor)
        }
        val deadline = if (long) scenario.longDeadline else SHORT_DEADLINE
        return Request(
            organisation = organisation(),
            host = hosts[arrivalRandom.nextInt(hosts.size)],
            intendedAt = at,
            deadline = at + deadline,
            size = if (long) SizeClass.LONG else SizeClass.SHORT,
            prefix = prefix(),
            serviceTimes = serviceTimes
        )
    }

    /** Log-normal factor of mean 1; a sum of uniform draws approximates a normal one. */
    private fun serviceTimeFactor(): Double {
        val normal = (1..UNIFORM_DRAWS).sumOf { arrivalRandom.nextDouble() } - UNIFORM_DRAWS / 2.0
        return exp(SIGMA * normal - SIGMA * SIGMA / 2)
    }

    private fun organisation(): OrganisationDemand {
        var remaining = arrivalRandom.nextDouble()
        return scenario.organisations.firstOrNull {
            remaining -= it.share
            remaining < 0
        } ?: scenario.organisations.last()
    }

    /** Prefix from a skewed distribution, in which a few are much more frequent than the rest. */
    private fun prefix(): String {
        val draw = arrivalRandom.nextDouble()
        if (scenario.prefixes == 0) return ""
        return "prefix-${(scenario.prefixes * draw.pow(PREFIX_SKEW)).toInt()}"
    }

    private fun arrive(request: Request) {
        active.add(request)
        val failedAt = scenario.failureAt
        if (request.host.dead && failedAt != null) {
            val timeSinceFailure = events.now - (MonotonicTime.ZERO + failedAt)
            if (timeSinceFailure < BALANCER_DETECTION_DELAY) return end(request, Ending.FAILED)
            request.host = hosts.filter { !it.dead }.random(faultRandom)
        }
        submit(request)
    }

    private fun submit(request: Request) {
        val id = ++lastId
        val host = request.host
        val call = call(request, id)
        waiting[host to id] = request
        perform(host, host.submit(call, events.now))
        if (host to id !in waiting) return
        events.at(request.deadline) {
            if (waiting.remove(host to id) != null) {
                host.cancel(call)
                end(request, Ending.LATE)
            }
        }
    }

    private fun call(request: Request, id: Long): WaitingCall {
        val shape = deployment.stages[request.stage]
        val size = { of: ServiceShape ->
            if (of.name == deployment.engine) request.size else SizeClass.SHORT
        }
        val engine = shape.name == deployment.engine
        return WaitingCall(
            id = id,
            organisation = OrganisationName(request.organisation.name),
            weight = request.organisation.weight,
            priority = Priority.STANDARD,
            size = size(shape),
            routing = RoutingRequest(
                service = ServiceName(shape.name),
                excluded = request.triedTargets,
                long = size(shape) == SizeClass.LONG,
                prefix = if (engine) request.prefix else "",
                slots = shape.slots
            ),
            deadline = request.deadline,
            first = request.stage == 0 && request.triedTargets.isEmpty(),
            retry = request.triedTargets.isNotEmpty(),
            laterStages = deployment.stages.drop(request.stage + 1)
                .map { StageKind(ServiceName(it.name), size(it)) }
                .toPersistentList()
        )
    }

    private fun perform(host: SimulatedHost, actions: List<DispatchAction>) {
        for (action in actions) {
            val request = waiting.remove(host to action.id) ?: continue
            when (action) {
                is DispatchAction.Grant -> send(request, action)

                is DispatchAction.Refuse ->
                    end(request, if (request.mayHaveRun) Ending.FAILED else Ending.REFUSED)
            }
        }
    }

    private fun send(request: Request, grant: DispatchAction.Grant) {
        val sentAt = events.now
        val target = byId.getValue(grant.target.id)
        val delay = if (grant.target.dataCentre == request.host.dataCentre) {
            LOCAL_LATENCY
        } else {
            deployment.latency
        }
        val call = SimulatedCall(
            work = request.serviceTimes[request.stage],
            prefix = grant.call.routing.prefix,
            priority = grant.call.priority,
            deadline = request.deadline
        ) { end, load ->
            events.after(delay) { onCallEnd(request, grant, end, load, sentAt) }
        }
        events.after(delay) { target.receive(call) }
    }

    private fun onCallEnd(
        request: Request,
        grant: DispatchAction.Grant,
        end: CallEnd,
        load: LoadReport?,
        sentAt: MonotonicTime
    ) {
        val host = request.host
        if (host.dead) return
        val finished = FinishedCall(grant.call, grant.target, end, events.now - sentAt, load)
        perform(host, host.finish(finished, events.now))
        if (end != CallEnd.BUSY) request.mayHaveRun = true
        advance(request, end, grant.target.id)
    }

    private fun advance(request: Request, end: CallEnd, target: TargetId) {
        if (request.ended) return
        if (end == CallEnd.ANSWERED) {
            request.stage++
            request.triedTargets = persistentSetOf()
            if (request.stage == deployment.stages.size) return complete(request)
            return submit(request)
        }
        request.triedTargets = request.triedTargets.add(target)
        if (end == CallEnd.FAILED || request.triedTargets.size >= MAXIMUM_ATTEMPTS) {
            return end(request, if (request.mayHaveRun) Ending.FAILED else Ending.REFUSED)
        }
        submit(request)
    }

    private fun complete(request: Request) {
        events.after(deployment.clientLatency) {
            val inTime = events.now <= request.deadline
            end(request, if (inTime) Ending.IN_TIME else Ending.LATE)
        }
    }

    private fun end(request: Request, ending: Ending) {
        if (request.ended) return
        request.ended = true
        active.remove(request)
        val latency = events.now - request.intendedAt
        val intendedAt = request.intendedAt - MonotonicTime.ZERO
        val long = request.size == SizeClass.LONG
        samples += Sample(request.organisation.name, long, intendedAt, latency, ending)
    }

    /**
     * Crashes one engine target and one entry host. The load balancer sends requests to the host
     * until [BALANCER_DETECTION_DELAY] has passed.
     */
    private fun injectFailure() {
        targets.first { it.target.service.value == deployment.engine }.crash()
        val host = hosts.first()
        host.dead = true
        active.filter { it.host === host }.forEach { end(it, Ending.FAILED) }
    }

    private companion object {
        val SHORT_DEADLINE = 4.seconds
        val LOCAL_LATENCY = 0.1.milliseconds
        val BALANCER_DETECTION_DELAY = 2.seconds
        const val UNIFORM_DRAWS = 12
        const val SIGMA = 0.3
        const val PREFIX_SKEW = 2.0
        const val MAXIMUM_ATTEMPTS = 3
    }
}
