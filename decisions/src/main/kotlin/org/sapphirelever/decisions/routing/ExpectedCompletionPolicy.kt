/*
 * The chosen policy: the candidate on which the call is expected to complete first.
 */
package org.sapphirelever.decisions.routing

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.TargetId

/**
 * Chooses by expected completion time.
 *
 * @property reportHalfLife age at which a load report counts half
 * @property remoteRoundTrip round trip to another data centre
 * @property longShareOfTarget share of the slots of a target that long calls of a host may take
 * @property prefixSaving share of the service time that a cached prefix saves
 * @property prefixHome share that draws a prefix that no target is known to hold to one target
 */
public data class ExpectedCompletionPolicy(
    public val ejection: EjectionRules = EjectionRules(),
    public val reportHalfLife: Duration = 200.milliseconds,
    public val remoteRoundTrip: Duration = 3.milliseconds,
    public val longShareOfTarget: Double = 0.5,
    public val prefixSaving: Double = 0.4,
    public val prefixHome: Double = 0.3
) : TargetPolicy {
    override val name: String = "expected-completion"

    override fun choose(
        state: RoutingState,
        request: RoutingRequest,
        now: MonotonicTime,
        random: Random
    ): TargetId? {
        val candidates = state.candidates(request)
        if (candidates.isEmpty()) return null
        probe(state, candidates, now)?.let { return it }
        val open = candidates.filter { !state.statistics(it.id).ejected }
            .ifEmpty { candidates }
        val roomy = if (request.long) open.filter { longRoom(state, it, request) } else open
        val permitted = roomy.ifEmpty { open }
        val typical = typicalTime(state, permitted)
        val offset = random.nextInt(permitted.size)
        val rotated = permitted.drop(offset) + permitted.take(offset)
        return rotated.minByOrNull { score(state, it, request, typical, now) }?.id
    }

    /** An ejected target whose period has passed; it receives one request, as a probe. */
    private fun probe(
        state: RoutingState,
        candidates: List<Target>,
        now: MonotonicTime
    ): TargetId? = candidates.firstOrNull { state.statistics(it.id).probeDue(now) }?.id

    private fun longRoom(state: RoutingState, target: Target, request: RoutingRequest): Boolean {
        val long = state.statistics(target.id).calls.values.count { it.long }
        return long < maxOf(1.0, request.slots * longShareOfTarget)
    }

    private fun typicalTime(state: RoutingState, candidates: List<Target>): Duration {
        val times = candidates.map { state.statistics(it.id).time }.filter { it.known }
        if (times.isEmpty()) return 1.milliseconds
        return times.map { it.mean }.sorted()[times.size / 2]
    }

    private fun score(
        state: RoutingState,
        target: Target,
        request: RoutingRequest,
        typical: Duration,
        now: MonotonicTime
    ): Double {
        val statistics = state.statistics(target.id)
        val time = if (statistics.time.known) statistics.time.mean else typical
        val load = load(statistics, now)
        val slots = (statistics.report?.slots ?: request.slots).coerceAtLeast(1)
        // The second term prefers the less loaded of two targets that both have free slots.
        val depth = depth(load, slots) + load / slots
        val remote = if (target.dataCentre == state.dataCentre) Duration.ZERO else remoteRoundTrip
        val slow = ejection.slowdown(statistics, now)
        return time / typical * (depth * slow - prefixGain(state, target, request)) +
            remote / typical
    }

    /** Calls on a target: own ones, and those of other hosts as last reported, discounted. */
    public fun load(statistics: TargetStatistics, now: MonotonicTime): Double {
        val report = statistics.report ?: return statistics.calls.size.toDouble()
        val others = (report.running + report.queued - report.own).coerceAtLeast(0)
        val age = (now - report.measuredAt).coerceAtLeast(Duration.ZERO)
        return statistics.calls.size + others / (1 + age / reportHalfLife)
    }

    private fun prefixGain(state: RoutingState, target: Target, request: RoutingRequest): Double {
        if (request.prefix.isEmpty()) return 0.0
        if (request.prefix in state.statistics(target.id).prefixes) return prefixSaving
        val home = state.candidates(request)
            .maxByOrNull { rendezvousRank(request.prefix, it.id.value) }
        return if (home?.id == target.id) prefixHome else 0.0
    }
}

/** Service times until a call that meets [load] others on [slots] slots completes. */
public fun depth(load: Double, slots: Int): Double = maxOf(1.0, (load + 1) / slots)
