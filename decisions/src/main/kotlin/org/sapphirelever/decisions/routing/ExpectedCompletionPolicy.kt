/*
 * The default policy: chooses the candidate on which the call is expected to complete first.
 */
package org.sapphirelever.decisions.routing

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.TargetId
import org.sapphirelever.decisions.rendezvousRank

/**
 * Chooses the candidate with the lowest expected completion time.
 *
 * @property reportHalfLife age at which the weight of a load report is one half, in service times;
 *   if older reports had full weight, all hosts would choose the same target at once
 * @property remoteRoundTrip round-trip time to another data centre
 * @property longShareOfTarget share of the slots of a target that long calls of this host may take
 * @property prefixSaving share of the service time that a cached prefix saves
 * @property prefixAffinity share of the service time credited to the target that a prefix hashes
 *   to, so that calls with a prefix that is not cached yet go to the same target
 */
public data class ExpectedCompletionPolicy(
    public val ejection: EjectionRules = EjectionRules(),
    public val reportHalfLife: Double = 0.25,
    public val remoteRoundTrip: Duration = 3.milliseconds,
    public val longShareOfTarget: Double = 0.5,
    public val prefixSaving: Double = 0.4,
    public val prefixAffinity: Double = 0.3
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
        val acceptingLong =
            if (request.long) open.filter { acceptsLong(state, it, request) } else open
        val eligible = acceptingLong.ifEmpty { open }
        val offset = random.nextInt(eligible.size)
        val rotated = eligible.drop(offset) + eligible.take(offset)
        val context = context(state, eligible, now)
        return rotated.minByOrNull { context.score(it, request) }?.id
    }

    /** An ejected target whose ejection period has passed; this request is its probe. */
    private fun probe(
        state: RoutingState,
        candidates: List<Target>,
        now: MonotonicTime
    ): TargetId? = candidates.firstOrNull { state.statistics(it.id).probeDue(now) }?.id

    private fun acceptsLong(state: RoutingState, target: Target, request: RoutingRequest): Boolean {
        val long = state.statistics(target.id).calls.values.count { it.long }
        return long < maxOf(1.0, request.slots * longShareOfTarget)
    }

    private fun context(
        state: RoutingState,
        candidates: List<Target>,
        now: MonotonicTime
    ): ScoringContext {
        val statistics = candidates.map { state.statistics(it.id) }
        val times = statistics.filter { it.serviceTime.known }
            .map { it.serviceTime.mean }
            .sorted()
        val medianTime = times.getOrNull(times.size / 2) ?: 1.milliseconds
        val otherCalls = statistics.mapNotNull { it.report?.otherCalls }
        val averageOtherCalls = if (otherCalls.isEmpty()) 0.0 else otherCalls.average()
        return ScoringContext(state, candidates, now, medianTime, averageOtherCalls)
    }

    /**
     * Values that the scores of all candidates of one choice share.
     *
     * @property medianTime median of the service times of the candidates
     * @property averageOtherCalls calls of other hosts on a candidate, averaged over the reports
     */
    private inner class ScoringContext(
        private val state: RoutingState,
        private val candidates: List<Target>,
        private val now: MonotonicTime,
        private val medianTime: Duration,
        private val averageOtherCalls: Double
    ) {
        /** Expected completion time on [target] in median service times; the lowest wins. */
        fun score(target: Target, request: RoutingRequest): Double {
            val statistics = state.statistics(target.id)
            val time =
                if (statistics.serviceTime.known) statistics.serviceTime.mean else medianTime
            val load = statistics.calls.size + otherCalls(statistics)
            val slots = (statistics.report?.slots ?: request.slots).coerceAtLeast(1)
            // The second term prefers the less loaded of two targets that have free slots.
            val queueDepth = queueDepth(load, slots) + load / slots
            val local = target.dataCentre == state.dataCentre
            val remoteTime = if (local) Duration.ZERO else remoteRoundTrip
            val slowdown = ejection.slowdown(statistics, now)
            return time / medianTime * (queueDepth * slowdown - prefixGain(target, request)) +
                remoteTime / medianTime
        }

        /** Calls of other hosts on the target: its report, weighted against the average by age. */
        private fun otherCalls(statistics: TargetStatistics): Double {
            val report = statistics.report ?: return averageOtherCalls
            val age = (now - report.measuredAt).coerceAtLeast(Duration.ZERO)
            val weight = 1 / (1 + age / (medianTime * reportHalfLife))
            return averageOtherCalls + (report.otherCalls - averageOtherCalls) * weight
        }

        private fun prefixGain(target: Target, request: RoutingRequest): Double {
            if (request.prefix.isEmpty()) return 0.0
            if (request.prefix in state.statistics(target.id).prefixes) return prefixSaving
            val preferred = candidates.maxByOrNull { rendezvousRank(request.prefix, it.id.value) }
            return if (preferred?.id == target.id) prefixAffinity else 0.0
        }
    }
}

/** Calls of other hosts among those that a target reported. */
private val LoadReport.otherCalls: Double
    get() = (running + queued - ownCalls).coerceAtLeast(0).toDouble()

/** Calls on a target: those of this host, and those of other hosts as last reported. */
public fun TargetStatistics.load(): Double = calls.size + (report?.otherCalls ?: 0.0)

/** Service times until a call completes that meets [load] other calls on [slots] slots. */
public fun queueDepth(load: Double, slots: Int): Double = maxOf(1.0, (load + 1) / slots)
