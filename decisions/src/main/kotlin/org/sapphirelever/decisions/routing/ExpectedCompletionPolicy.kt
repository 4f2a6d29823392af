/*
 * The chosen policy: the candidate on which the call is expected to complete first.
 */
package org.sapphirelever.decisions.routing

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.TargetId
import org.sapphirelever.decisions.rendezvousRank

/**
 * Chooses by expected completion time.
 *
 * @property reportHalfLife age at which a load report counts half, in service times: reports that
 *   are old in this measure make all hosts choose the same target at once
 * @property remoteRoundTrip round trip to another data centre
 * @property longShareOfTarget share of the slots of a target that long calls of a host may take
 * @property prefixSaving share of the service time that a cached prefix saves
 * @property prefixHome share that draws a prefix that no target is known to hold to one target
 */
public data class ExpectedCompletionPolicy(
    public val ejection: EjectionRules = EjectionRules(),
    public val reportHalfLife: Double = 0.25,
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
        val offset = random.nextInt(permitted.size)
        val rotated = permitted.drop(offset) + permitted.take(offset)
        val context = context(state, permitted, now)
        return rotated.minByOrNull { context.score(it, request) }?.id
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

    private fun context(
        state: RoutingState,
        candidates: List<Target>,
        now: MonotonicTime
    ): Context {
        val statistics = candidates.map { state.statistics(it.id) }
        val times = statistics.filter { it.time.known }.map { it.time.mean }.sorted()
        val typical = times.getOrNull(times.size / 2) ?: 1.milliseconds
        val others = statistics.mapNotNull { it.report?.others }
        val average = if (others.isEmpty()) 0.0 else others.average()
        return Context(state, candidates, now, typical, average)
    }

    /**
     * What the scores of one choice share.
     *
     * @property typical median of the service times of the candidates
     * @property average calls of other hosts on a candidate, averaged over their reports
     */
    private inner class Context(
        private val state: RoutingState,
        private val candidates: List<Target>,
        private val now: MonotonicTime,
        private val typical: Duration,
        private val average: Double
    ) {
        fun score(target: Target, request: RoutingRequest): Double {
            val statistics = state.statistics(target.id)
            val time = if (statistics.time.known) statistics.time.mean else typical
            val load = statistics.calls.size + others(statistics)
            val slots = (statistics.report?.slots ?: request.slots).coerceAtLeast(1)
            // The second term prefers the less loaded of two targets that have free slots.
            val depth = depth(load, slots) + load / slots
            val local = target.dataCentre == state.dataCentre
            val remote = if (local) Duration.ZERO else remoteRoundTrip
            val slow = ejection.slowdown(statistics, now)
            return time / typical * (depth * slow - prefixGain(target, request)) +
                remote / typical
        }

        /** Calls of other hosts; an old report counts less and the average more. */
        private fun others(statistics: TargetStatistics): Double {
            val report = statistics.report ?: return average
            val age = (now - report.measuredAt).coerceAtLeast(Duration.ZERO)
            val weight = 1 / (1 + age / (typical * reportHalfLife))
            return average + (report.others - average) * weight
        }

        private fun prefixGain(target: Target, request: RoutingRequest): Double {
            if (request.prefix.isEmpty()) return 0.0
            if (request.prefix in state.statistics(target.id).prefixes) return prefixSaving
            val home = candidates.maxByOrNull { rendezvousRank(request.prefix, it.id.value) }
            return if (home?.id == target.id) prefixHome else 0.0
        }
    }
}

/** Calls of other hosts among those that a target reported. */
private val LoadReport.others: Double get() = (running + queued - own).coerceAtLeast(0).toDouble()

/** Calls on a target: own ones, and those of other hosts as last reported. */
public fun TargetStatistics.load(): Double = calls.size + (report?.others ?: 0.0)

/** Service times until a call that meets [load] others on [slots] slots completes. */
public fun depth(load: Double, slots: Int): Double = maxOf(1.0, (load + 1) / slots)
