/*
 * Entry hosts on virtual time. They use the dispatcher of the runtime, or a baseline that only
 * chooses a target.
 */
package org.sapphirelever.load.experiment

import kotlin.random.Random
import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.HostId
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.TargetId
import org.sapphirelever.decisions.Decision
import org.sapphirelever.decisions.admission.DispatchAction
import org.sapphirelever.decisions.admission.DispatchDecision
import org.sapphirelever.decisions.admission.DispatchRules
import org.sapphirelever.decisions.admission.DispatchState
import org.sapphirelever.decisions.admission.FinishedCall
import org.sapphirelever.decisions.admission.WaitingCall
import org.sapphirelever.decisions.routing.OutstandingCall
import org.sapphirelever.decisions.routing.RoutingState
import org.sapphirelever.decisions.routing.Target
import org.sapphirelever.decisions.routing.TargetPolicy
import org.sapphirelever.decisions.routing.onCacheEvent
import org.sapphirelever.decisions.routing.updated

/** Method by which the entry hosts of a run admit calls and choose targets. */
public sealed interface Approach {
    public val name: String

    /** Chooses targets by [policy] alone; calls never queue on the host. */
    public data class Baseline(public val policy: TargetPolicy) : Approach {
        override val name: String get() = policy.name
    }

    /** Uses the dispatcher of the runtime with [rules]. */
    public data class Dispatcher(public val rules: DispatchRules) : Approach {
        override val name: String get() = rules.policy.name
    }
}

/** A simulated entry host that decides by [approach]. */
internal class SimulatedHost(
    val name: String,
    val dataCentre: DataCentre,
    targets: PersistentMap<TargetId, Target>,
    private val approach: Approach,
    private val random: Random
) {
    private var state = DispatchState(
        routing = RoutingState(targets, host = HostId(name), dataCentre = dataCentre)
    )

    var dead: Boolean = false

    fun submit(call: WaitingCall, now: MonotonicTime): List<DispatchAction> = decide {
        when (approach) {
            is Approach.Baseline -> choose(approach.policy, call, now)
            is Approach.Dispatcher -> approach.rules.submit(state, call, now, random)
        }
    }

    fun finish(finished: FinishedCall, now: MonotonicTime): List<DispatchAction> = decide {
        when (approach) {
            is Approach.Baseline -> Decision(state.copy(routing = state.routing.after(finished)))
            is Approach.Dispatcher -> approach.rules.finish(state, finished, now, random)
        }
    }

    fun cancel(call: WaitingCall) {
        if (approach is Approach.Dispatcher) state = approach.rules.cancel(state, call)
    }

    fun onCacheEvent(target: TargetId, prefix: String, cached: Boolean, now: MonotonicTime) {
        state = state.copy(routing = state.routing.onCacheEvent(target, prefix, cached, now))
    }

    private fun decide(decision: () -> DispatchDecision): List<DispatchAction> {
        val decided = decision()
        state = decided.state
        return decided.actions
    }

    private fun choose(
        policy: TargetPolicy,
        call: WaitingCall,
        now: MonotonicTime
    ): DispatchDecision {
        val routing = state.routing
        val id = policy.choose(routing, call.routing, now, random)
        val target = id?.let { routing.targets[it] }
        if (target == null) {
            val refusal = DispatchAction.Refuse(call.id, ErrorCode.NO_TARGET, Duration.ZERO)
            return Decision(state, persistentListOf(refusal))
        }
        val running = OutstandingCall(now, Duration.ZERO, call.routing.long, 1.0)
        val granted = (routing.granted[call.service] ?: 0) + 1
        val next = routing.updated(target.id) { it.copy(calls = it.calls.put(call.id, running)) }
            .copy(granted = routing.granted.put(call.service, granted))
        val grant = DispatchAction.Grant(call, target)
        return Decision(state.copy(routing = next), persistentListOf(grant))
    }

    private fun RoutingState.after(finished: FinishedCall): RoutingState =
        updated(finished.target.id) {
            it.copy(
                calls = it.calls.remove(finished.call.id),
                report = finished.load ?: it.report
            )
        }
}
