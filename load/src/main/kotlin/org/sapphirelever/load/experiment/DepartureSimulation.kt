/*
 * Planned stop of many targets, one after the other, before many forwarding hosts, on virtual time.
 * The hosts learn of a departure from the record in the store, after its delay, and, if the targets
 * state it, from any answer.
 */
package org.sapphirelever.load.experiment

import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.TargetRecord
import org.sapphirelever.decisions.forwarding.ChoiceContext
import org.sapphirelever.decisions.forwarding.LoadReport
import org.sapphirelever.decisions.forwarding.PromptPart
import org.sapphirelever.decisions.forwarding.PromptShape
import org.sapphirelever.decisions.forwarding.TargetDirectory
import org.sapphirelever.decisions.forwarding.TargetView
import org.sapphirelever.decisions.forwarding.chooseEngine
import org.sapphirelever.decisions.forwarding.put
import org.sapphirelever.decisions.forwarding.statedLeaving

/**
 * Input of a run.
 *
 * @property load demand as a share of the capacity of all targets
 * @property stops number of targets that stop, one every [stopGap]
 * @property stay time between the first statement of a stopping target and its end
 * @property recordDelay age of the record when the hosts read it, or null if they never do
 * @property isStated whether targets state their departure in their answers
 */
public data class DepartureScenario(
    public val hosts: Int = 95,
    public val targets: Int = 56,
    public val slots: Int = 24,
    public val load: Double = 0.45,
    public val stops: Int = 19,
    public val stopGap: Duration = 1.seconds,
    public val stay: Duration = 4.seconds,
    public val recordDelay: Duration? = 1.seconds,
    public val isStated: Boolean = false,
    public val duration: Duration = 30.seconds
)

/**
 * What the callers got.
 *
 * @property cutOff requests that were lost with their target and had no time for another one
 * @property sentLate requests that reached a target after the [DepartureSimulation.DRAIN_TIME]
 */
public data class DepartureFigures(
    public val requests: Int,
    public val servedInTime: Int,
    public val late: Int,
    public val refused: Int,
    public val cutOff: Int,
    public val retries: Int,
    public val sentLate: Int
) {
    public val servedShare: Double get() = servedInTime.toDouble() / requests
}

/** Runs [scenario] with the random numbers of [seed]. */
public class DepartureSimulation(private val scenario: DepartureScenario, seed: Long) {
    private class Target(val record: TargetRecord) {
        val running = mutableSetOf<Call>()
        var statedAt: MonotonicTime? = null
        var isGone = false
    }

    private class Host(var directory: TargetDirectory) {
        val views = mutableMapOf<TargetId, TargetView>()
    }

    private class Call(
        val id: String,
        val host: Host,
        val prompt: PromptShape,
        val deadline: MonotonicTime,
        val attempts: Int
    ) {
        val excluded = mutableSetOf<TargetId>()
    }

    /** Demand that does not depend on what happens to it. */
    private val demand = Random(seed)
    private val random = Random(seed)
    private val queue = EventQueue()
    private val targets =
        List(scenario.targets) { number ->
            val endpoint = Endpoint("127.0.0.1", 1)
            Target(TargetRecord(TargetId("t-$number"), SERVICE, endpoint, SITE, 1, false, 1))
        }.associateBy { it.record.id }
    private val hosts =
        List(scenario.hosts) {
            Host(
                targets.values.fold(TargetDirectory()) { all, target ->
                    all.put(target.record, MonotonicTime.ZERO)
                }
            )
        }
    private var figures = DepartureFigures(0, 0, 0, 0, 0, 0, 0)

    /** Runs until all requests have ended. */
    public fun run(): DepartureFigures {
        scheduleArrival()
        targets.values.take(scenario.stops).forEachIndexed { index, target ->
            queue.after(FIRST_STOP + scenario.stopGap * index) { stop(target) }
        }
        queue.run()
        return figures
    }

    private fun scheduleArrival() {
        val capacity = scenario.targets * scenario.slots / (MEAN_WORK / 1.seconds)
        val gap = -ln(1 - demand.nextDouble()) / (capacity * scenario.load)
        queue.after(gap.seconds) {
            if (queue.now - MonotonicTime.ZERO > scenario.duration) return@after
            figures = figures.copy(requests = figures.requests + 1)
            val part = PromptPart("part-${demand.nextInt(PARTS)}", PART_TOKENS)
            val prompt = PromptShape(persistentListOf(part), OWN_TOKENS)
            val id = "request-${figures.requests}"
            send(Call(id, hosts.random(demand), prompt, queue.now + DEADLINE, attempts = 1))
            scheduleArrival()
        }
    }

    private fun stop(target: Target) {
        target.statedAt = queue.now
        scenario.recordDelay?.let { delay ->
            queue.after(delay) {
                hosts.forEach {
                    it.directory = it.directory.put(target.record.copy(leaving = true), queue.now)
                }
            }
        }
        queue.after(scenario.stay) {
            target.isGone = true
            target.running.toList().forEach { loseWith(target, it) }
        }
    }

    private fun send(call: Call) {
        val usable = call.host.directory.usable(SERVICE, queue.now)
        val candidates = usable.filterNot { it.id in call.excluded }
        val context = ChoiceContext(call.host.views, call.id, SITE, queue.now)
        val chosen = chooseEngine(candidates, call.prompt, context)
        val target = chosen?.let { targets.getValue(it.target.id) }
        when {
            target == null -> figures = figures.copy(refused = figures.refused + 1)
            target.isGone || target.running.size >= scenario.slots -> sendElsewhere(call, target)
            else -> start(call, target)
        }
    }

    /** The target refused the call or its connection; a host avoids it for a while. */
    private fun sendElsewhere(call: Call, target: Target) {
        call.excluded += target.record.id
        if (target.isGone) update(call.host, target) { it.copy(failures = 1, failedAt = queue.now) }
        if (call.excluded.size > MAXIMUM_REFUSALS) {
            figures = figures.copy(refused = figures.refused + 1)
        } else {
            queue.after(HOP) { send(call) }
        }
    }

    private fun start(call: Call, target: Target) {
        val isLate = target.statedAt?.let { queue.now - it > DRAIN_TIME } == true
        if (isLate) figures = figures.copy(sentLate = figures.sentLate + 1)
        target.running += call
        update(call.host, target) { it.copy(outstanding = it.outstanding + 1) }
        val work = MEAN_WORK * random.nextDouble(SHORTEST_WORK, LONGEST_WORK)
        queue.after(work) { if (target.running.remove(call)) finish(call, target) }
    }

    private fun finish(call: Call, target: Target) {
        update(call.host, target) {
            val own = it.outstanding - 1
            val running = target.running.size
            val report = LoadReport(running, 0, scenario.slots, NORMAL_PERCENT, queue.now, own)
            it.copy(outstanding = own, report = report)
        }
        if (scenario.isStated && target.statedAt != null) {
            val host = call.host
            host.directory = host.directory.statedLeaving(target.record.incarnation, queue.now)
        }
        figures = if (queue.now <= call.deadline) {
            figures.copy(servedInTime = figures.servedInTime + 1)
        } else {
            figures.copy(late = figures.late + 1)
        }
    }

    private fun loseWith(target: Target, call: Call) {
        target.running -= call
        update(call.host, target) {
            it.copy(outstanding = it.outstanding - 1, failures = 1, failedAt = queue.now)
        }
        if (call.attempts >= MAXIMUM_ATTEMPTS || call.deadline - queue.now < MEAN_WORK) {
            figures = figures.copy(cutOff = figures.cutOff + 1)
            return
        }
        figures = figures.copy(retries = figures.retries + 1)
        send(Call(call.id, call.host, call.prompt, call.deadline, call.attempts + 1))
    }

    private fun update(host: Host, target: Target, change: (TargetView) -> TargetView) {
        host.views[target.record.id] = change(host.views[target.record.id] ?: TargetView())
    }

    public companion object {
        /** Time after its statement from which a target should get nothing new. */
        public val DRAIN_TIME: Duration = 2.seconds

        private val SERVICE = ServiceName("engine")
        private val SITE = DataCentre("a")
        private val FIRST_STOP = 3.seconds
        private val MEAN_WORK = 1.seconds
        private val DEADLINE = 4.seconds
        private val HOP = 2.milliseconds
        private const val SHORTEST_WORK = 0.1
        private const val LONGEST_WORK = 3.0
        private const val MAXIMUM_REFUSALS = 3
        private const val MAXIMUM_ATTEMPTS = 2
        private const val NORMAL_PERCENT = 100

        /** Parts that prompts share; they spread the requests over the engines. */
        private const val PARTS = 2_000
        private const val PART_TOKENS = 400
        private const val OWN_TOKENS = 400
    }
}
