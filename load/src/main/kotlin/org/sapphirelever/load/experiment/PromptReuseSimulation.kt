/*
 * Many hosts that choose among engines for prompts with shared parts, on virtual time. Each host
 * knows its own calls and late load reports; engines read prompts one after the other, run them in
 * places, and hold prompt parts in limited memory.
 */
package org.sapphirelever.load.experiment

import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.EngineLimits
import org.sapphirelever.core.forwarding.TargetRecord
import org.sapphirelever.decisions.forwarding.ChoiceContext
import org.sapphirelever.decisions.forwarding.EngineChoice
import org.sapphirelever.decisions.forwarding.LoadReport
import org.sapphirelever.decisions.forwarding.PromptCall
import org.sapphirelever.decisions.forwarding.PromptPart
import org.sapphirelever.decisions.forwarding.PromptShape
import org.sapphirelever.decisions.forwarding.PromptTotals
import org.sapphirelever.decisions.forwarding.TargetView
import org.sapphirelever.decisions.forwarding.withFirstEvent
import org.sapphirelever.decisions.forwarding.withPrompt
import org.sapphirelever.decisions.forwarding.withoutPrompt

private const val ENGINES = 12
private val EVEN_SPEEDS = List(ENGINES) { 1.0 }

/** Chooses the engine for a request. */
public fun interface EnginePolicy {
    public fun choose(
        engines: List<TargetRecord>,
        prompt: PromptShape,
        context: ChoiceContext
    ): EngineChoice?
}

/**
 * Input of a run.
 *
 * @property speeds speed of each engine, where 1 is normal
 * @property requestsPerSecond demand of all hosts together
 * @property parts number of shared prompt parts
 * @property popularity exponent of the Zipf distribution of the parts
 * @property reportPeriod time between two states that an engine reports
 * @property liars number of engines that report no load
 * @property restartAt time at which the first engine restarts, if it does
 */
public data class PromptScenario(
    public val hosts: Int = 30,
    public val speeds: List<Double> = EVEN_SPEEDS,
    public val places: Int = 12,
    public val memory: Int = 200_000,
    public val requestsPerSecond: Double = 60.0,
    public val parts: Int = 60,
    public val popularity: Double = 0.8,
    public val reportPeriod: Duration = 300.milliseconds,
    public val liars: Int = 0,
    public val restartAt: Duration? = null,
    public val objective: Duration = 500.milliseconds,
    public val duration: Duration = 40.seconds
)

/**
 * What the callers got.
 *
 * @property inTime requests with a first token within the objective
 * @property readAgain shared tokens that were read though some engine held them
 * @property putBack requests that were preempted because memory ran out
 */
public data class PromptFigures(
    public val requests: Int = 0,
    public val inTime: Int = 0,
    public val waits: PersistentList<Duration> = persistentListOf(),
    public val readAgain: Long = 0,
    public val putBack: Int = 0
) {
    public val shareInTime: Double get() = inTime.toDouble() / requests
    public val meanWait: Duration get() = waits.fold(Duration.ZERO, Duration::plus) / waits.size
}

/** Runs [scenario] with [policy] and the random numbers of [seed]. */
public class PromptReuseSimulation(
    private val scenario: PromptScenario,
    private val policy: EnginePolicy,
    seed: Long
) {
    private class Host {
        val views = mutableMapOf<TargetId, TargetView>()
        var totals = PromptTotals()
    }

    private class Call(val host: Host, val number: Long, val prompt: PromptShape) {
        var residence = Duration.ZERO
    }

    private data class Load(val running: Int, val waiting: Int)

    private inner class Engine(val record: TargetRecord, val speed: Double, val lies: Boolean) {
        val cache = LinkedHashMap<String, Int>()
        val running = mutableListOf<Call>()
        val waiting = ArrayDeque<Call>()
        var isReading = false
        var reported = Load(0, 0)

        val heldTokens: Int get() = running.sumOf { it.prompt.heldTokens }

        fun publishLoad() {
            reported = if (lies) Load(0, 0) else Load(running.size, waiting.size)
            queue.after(scenario.reportPeriod) { if (queue.now < end) publishLoad() }
        }

        fun enqueue(call: Call) {
            waiting += call
            readNext()
        }

        private fun readNext() {
            if (isReading || running.size >= scenario.places) return
            val call = waiting.removeFirstOrNull() ?: return
            isReading = true
            val kept = call.prompt.shared.takeWhile { it.id in cache }
            val missing = call.prompt.shared.drop(kept.size)
            for (part in missing) {
                val isHeld = engines.values.any { part.id in it.cache }
                if (isHeld) {
                    figures = figures.copy(readAgain = figures.readAgain + part.tokens)
                }
            }
            val tokens = call.prompt.tokens - kept.sumOf { it.tokens }
            val steps = FIRST_STEP + RUNNING_STEP * running.size
            val took = (steps + (tokens / TOKENS_PER_MILLI).milliseconds) / speed
            queue.after(took) { begin(call) }
        }

        private fun begin(call: Call) {
            isReading = false
            running += call
            for (part in call.prompt.shared) {
                cache.remove(part.id)
                cache[part.id] = part.tokens
            }
            evict()
            firstEvent(call, this)
            queue.after(call.residence / speed) { end(call) }
            readNext()
        }

        private fun evict() {
            while (heldTokens > scenario.memory && running.size > 1) {
                val newest = running.removeLast()
                figures = figures.copy(putBack = figures.putBack + 1)
                waiting.addFirst(newest)
            }
            while (cache.isNotEmpty() && heldTokens + cache.values.sum() > scenario.memory) {
                cache.remove(cache.keys.first())
            }
        }

        private fun end(call: Call) {
            if (running.remove(call)) ended(call, this)
            readNext()
        }

        fun restart() {
            cache.clear()
            hosts.forEach { it.views.remove(record.id) }
        }
    }

    private val demand = Random(seed)
    private val queue = EventQueue()
    private val end = queue.now + scenario.duration
    private val engines = scenario.speeds.mapIndexed { index, speed ->
        val endpoint = Endpoint("127.0.0.1", 1)
        val id = TargetId("engine-$index")
        val record = TargetRecord(id, SERVICE, endpoint, SITE, scenario.places, false)
        Engine(record, speed, lies = index < scenario.liars)
    }.associateBy { it.record.id }
    private val records = engines.values.map { it.record }
    private val hosts = List(scenario.hosts) { Host() }
    private val sentAt = mutableMapOf<Long, MonotonicTime>()
    private val weights = List(scenario.parts) { (it + 1.0).pow(-scenario.popularity) }
    private var figures = PromptFigures()

    /** Runs until all requests have ended. */
    public fun run(): PromptFigures {
        engines.values.forEach { it.publishLoad() }
        scenario.restartAt?.let { queue.after(it) { engines.values.first().restart() } }
        scheduleArrival()
        queue.run()
        return figures
    }

    private fun scheduleArrival() {
        queue.after((-ln(1 - demand.nextDouble()) / scenario.requestsPerSecond).seconds) {
            if (queue.now > end) return@after
            figures = figures.copy(requests = figures.requests + 1)
            send(Call(hosts.random(demand), figures.requests.toLong(), prompt()))
            scheduleArrival()
        }
    }

    private fun prompt(): PromptShape {
        var point = demand.nextDouble() * weights.sum()
        val part = weights.indices.firstOrNull { index ->
            point -= weights[index]
            point <= 0
        } ?: weights.lastIndex
        return PromptShape(
            persistentListOf(PromptPart("part-$part", SHARED_TOKENS)),
            OWN_TOKENS,
            OUTPUT_TOKENS
        )
    }

    private fun send(call: Call) {
        val host = call.host
        call.residence = MEAN_RESIDENCE * demand.nextDouble(SHORTEST, LONGEST)
        val context = ChoiceContext(
            views = host.views.toMap(),
            request = "request-${call.number}",
            dataCentre = SITE,
            now = queue.now,
            limits = EngineLimits(scenario.places, scenario.memory.toLong()),
            totals = host.totals,
            hosts = scenario.hosts
        )
        val choice = policy.choose(records, call.prompt, context) ?: return
        val sent = PromptCall(call.prompt, choice.forecast, queue.now)
        sentAt[call.number] = queue.now
        update(host, choice.target.id) {
            it.copy(outstanding = it.outstanding + 1).withPrompt(call.number, sent)
        }
        queue.after(LINK_DELAY) { engines.getValue(choice.target.id).enqueue(call) }
    }

    private fun firstEvent(call: Call, engine: Engine) {
        val sent = sentAt.remove(call.number) ?: return
        val wait = queue.now - sent
        val isInTime = wait <= scenario.objective
        figures = figures.copy(
            inTime = figures.inTime + if (isInTime) 1 else 0,
            waits = figures.waits.add(wait)
        )
        val host = call.host
        val read = host.views[engine.record.id]?.prompts?.get(call.number)?.forecast?.readTokens
        host.totals = host.totals.withPrompt(call.prompt, read ?: call.prompt.tokens)
        val load = engine.reported
        update(host, engine.record.id) {
            it.copy(
                report = LoadReport(
                    load.running,
                    load.waiting,
                    scenario.places,
                    NORMAL_PERCENT,
                    queue.now,
                    it.outstanding
                )
            ).withFirstEvent(call.number, queue.now, host.totals.loadedTokens)
        }
    }

    private fun ended(call: Call, engine: Engine) {
        call.host.totals = call.host.totals.withResidence(call.residence)
        update(call.host, engine.record.id) {
            it.copy(outstanding = (it.outstanding - 1).coerceAtLeast(0)).withoutPrompt(call.number)
        }
    }

    private fun update(host: Host, engine: TargetId, change: (TargetView) -> TargetView) {
        host.views[engine] = change(host.views[engine] ?: TargetView())
    }

    private companion object {
        val SERVICE = ServiceName("engine")
        val SITE = DataCentre("a")
        val LINK_DELAY = 1.milliseconds
        val FIRST_STEP = 10.milliseconds
        val RUNNING_STEP = 1.milliseconds
        val MEAN_RESIDENCE = 700.milliseconds
        const val SHORTEST = 0.3
        const val LONGEST = 1.7
        const val TOKENS_PER_MILLI = 60.0
        const val SHARED_TOKENS = 6_300
        const val OWN_TOKENS = 2_000
        const val OUTPUT_TOKENS = 60
        const val NORMAL_PERCENT = 100
    }
}
