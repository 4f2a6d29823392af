/*
 * Baseline policies that experiments compare with the default policy.
 */
package org.sapphirelever.decisions.routing

import kotlin.random.Random
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.TargetId

/** Chooses the candidates in rotation. */
public object RoundRobinPolicy : TargetPolicy {
    override val name: String = "round-robin"

    override fun choose(
        state: RoutingState,
        request: RoutingRequest,
        now: MonotonicTime,
        random: Random
    ): TargetId? {
        val candidates = state.candidates(request)
        if (candidates.isEmpty()) return null
        val previousGrants = state.granted[request.service] ?: 0
        return candidates[(previousGrants % candidates.size).toInt()].id
    }
}

/** Chooses each candidate with the same probability. */
public object RandomPolicy : TargetPolicy {
    override val name: String = "random"

    override fun choose(
        state: RoutingState,
        request: RoutingRequest,
        now: MonotonicTime,
        random: Random
    ): TargetId? = state.candidates(request).randomOrNull(random)?.id
}

/** Chooses the candidate with the fewest outstanding calls of this host; ties are random. */
public object LeastOutstandingPolicy : TargetPolicy {
    override val name: String = "least-outstanding"

    override fun choose(
        state: RoutingState,
        request: RoutingRequest,
        now: MonotonicTime,
        random: Random
    ): TargetId? {
        val candidates = state.candidates(request)
        val least = candidates.minOfOrNull { state.outstanding(it.id) } ?: return null
        return candidates.filter { state.outstanding(it.id) == least }.random(random).id
    }
}

/** Draws two candidates at random and chooses the one that last reported the lower load. */
public object TwoChoicesPolicy : TargetPolicy {
    override val name: String = "two-choices"

    override fun choose(
        state: RoutingState,
        request: RoutingRequest,
        now: MonotonicTime,
        random: Random
    ): TargetId? {
        val candidates = state.candidates(request)
        if (candidates.isEmpty()) return null
        val first = candidates.random(random).id
        val second = candidates.random(random).id
        return if (state.reportedLoad(first) <= state.reportedLoad(second)) first else second
    }

    private fun RoutingState.reportedLoad(id: TargetId): Int =
        statistics(id).report?.let { it.running + it.queued } ?: 0
}
