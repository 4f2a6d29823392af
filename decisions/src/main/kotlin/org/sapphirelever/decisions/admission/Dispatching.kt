/*
 * Decisions of the dispatcher over admission and routing: which waiting call goes to which target
 * next, and which is refused.
 */
package org.sapphirelever.decisions.admission

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.ServiceName
import org.sapphirelever.decisions.Decision
import org.sapphirelever.decisions.routing.EjectionRules
import org.sapphirelever.decisions.routing.ExpectedCompletionPolicy
import org.sapphirelever.decisions.routing.RoutingState
import org.sapphirelever.decisions.routing.Target
import org.sapphirelever.decisions.routing.TargetPolicy
import org.sapphirelever.decisions.routing.candidates
import org.sapphirelever.decisions.routing.indexed

/** The two states that a dispatch decision reads and changes. */
public data class DispatchState(
    public val admission: AdmissionState = AdmissionState(),
    public val routing: RoutingState = RoutingState()
)

/** A dispatch decision. */
public typealias Dispatching = Decision<DispatchState, DispatchAction>

/**
 * Rules of the dispatcher.
 *
 * @property longShare share of the concurrency of a service that long calls may take
 * @property waitShare share of the slack before the deadline that the predicted wait may take
 * @property queueLength calls of one organisation that may wait for one service
 * @property assumedHosts entry hosts that a host assumes until its limits have adapted
 */
public data class DispatchRules(
    public val policy: TargetPolicy = ExpectedCompletionPolicy(),
    public val ejection: EjectionRules = EjectionRules(),
    public val longShare: Double = 0.5,
    public val waitShare: Double = 0.5,
    public val queueLength: Int = 512,
    public val assumedHosts: Int = 8
) {
    /** Queues [call], or refuses it. */
    public fun submit(
        state: DispatchState,
        call: WaitingCall,
        now: MonotonicTime,
        random: Random
    ): Dispatching {
        val routing = state.routing.indexed()
        val candidates = routing.candidates(call.routing)
        val pruned = state.admission.pruned(now).arrived(call.reservation, call.service)
        val known = pruned.copy(weights = pruned.weights.put(call.organisation, call.weight))
        val (admission, refusal) = known.withService(call, candidates.size).check(call, now)
        val next = DispatchState(admission, routing)
        if (candidates.isEmpty()) return next.refuse(call, ErrorCode.NO_TARGET, Duration.ZERO)
        if (refusal != null) {
            val released = next.copy(admission = admission.release(call.reservation))
            return Decision(released, persistentListOf(refusal))
        }
        val costed = call.copy(cost = admission.cost(call.kind))
        val reserved = if (call.first || call.retry) admission.reserve(costed) else admission
        val queued = reserved.changed(call.service) { it.copy(queue = it.queue.add(costed, now)) }
        return drain(next.copy(admission = queued), call.service, now, random)
    }

    /** Removes a call that no longer waits for room. */
    public fun cancel(state: DispatchState, call: WaitingCall): DispatchState {
        val service = state.admission.services[call.service] ?: return state
        val waiting = service.queue.lanes[call.lane]?.calls?.values
        val queued = waiting?.firstOrNull { it.call.id == call.id }?.call ?: return state
        val rest = state.admission.changed(call.service) {
            it.copy(queue = it.queue.remove(queued))
        }
        return state.copy(admission = rest.release(call.reservation))
    }

    /** Returns the room of a granted call and gives it to the next ones. */
    public fun finish(
        state: DispatchState,
        finished: FinishedCall,
        now: MonotonicTime,
        random: Random
    ): Dispatching {
        val adapted = adapt(state, finished, now)
        return drain(adapted, finished.call.service, now, random)
    }

    /** Grants room at [service] to waiting calls in fair order, as far as there is room. */
    private fun drain(
        state: DispatchState,
        service: ServiceName,
        now: MonotonicTime,
        random: Random
    ): Dispatching {
        var current = state
        var actions = persistentListOf<DispatchAction>()
        while (true) {
            val step = step(current, service, now, random) ?: return Decision(current, actions)
            current = step.state
            actions = actions.addAll(step.actions)
        }
    }

    private fun step(
        state: DispatchState,
        service: ServiceName,
        now: MonotonicTime,
        random: Random
    ): Dispatching? {
        val queued = next(state, service, now) ?: return null
        val call = queued.call
        val taken = state.copy(
            admission = state.admission.changed(service) {
                it.copy(queue = it.queue.take(queued))
            }
        )
        if (!state.admission.mayStillFinish(call, now)) {
            return taken.drop(call, ErrorCode.DEADLINE_UNREACHABLE)
        }
        val target = choose(taken.routing, call, now, random)
            ?: return taken.drop(call, ErrorCode.NO_TARGET)
        return taken.granted(call, target.second, target.first, now)
    }

    /** The call that room at [service] goes to next, or null if there is no room or no call. */
    private fun next(state: DispatchState, service: ServiceName, now: MonotonicTime): QueuedCall? {
        val admission = state.admission.services[service] ?: return null
        if (admission.running >= admission.limit.limit) return null
        val longRoom = maxOf(1.0, admission.limit.limit * longShare)
        return admission.queue.next(now, admission.runningLong < longRoom)
    }

    private fun DispatchState.drop(call: WaitingCall, code: ErrorCode): Dispatching =
        copy(admission = admission.release(call.reservation)).refuse(call, code, RETRY)

    private fun choose(
        routing: RoutingState,
        call: WaitingCall,
        now: MonotonicTime,
        random: Random
    ): Pair<RoutingState, Target>? {
        val everywhere = routing.candidates(call.routing.copy(excluded = persistentSetOf()))
        val checked = ejection.ejectOverdue(routing, everywhere, now)
        val id = policy.choose(checked, call.routing, now, random) ?: return null
        return checked.targets[id]?.let { checked to it }
    }

    private fun AdmissionState.check(
        call: WaitingCall,
        now: MonotonicTime
    ): Pair<AdmissionState, DispatchAction.Refuse?> {
        val limited = limitRate(call, now)
        if (limited.second != null) return limited
        val queue = services.getValue(call.service).queue
        if (queue.sizeOf(call.organisation) >= queueLength) {
            return limited.first to DispatchAction.Refuse(call.id, ErrorCode.OVERLOADED, RETRY)
        }
        val excess = limited.first.excess(call, now)
        if (excess <= Duration.ZERO) return limited
        val code = ErrorCode.DEADLINE_UNREACHABLE
        return limited.first to DispatchAction.Refuse(call.id, code, excess)
    }

    /** By how much the predicted time of [call] and the later ones exceeds what remains. */
    private fun AdmissionState.excess(call: WaitingCall, now: MonotonicTime): Duration {
        val remaining = call.deadline - now
        if (!call.first) return remainingTime(call) - remaining
        val kinds = listOf(call.kind) + call.later
        val running = kinds.fold(Duration.ZERO) { sum, kind -> sum + times.of(kind).upper }
        val waiting = kinds.map { it.service }.distinct()
            .fold(Duration.ZERO) { sum, service -> sum + wait(service, call.organisation) }
        return waiting - (remaining - running) * waitShare
    }

    private fun AdmissionState.withService(call: WaitingCall, targets: Int): AdmissionState {
        if (call.service in services) return this
        val slots = call.routing.slots.toDouble() * targets
        val limit = (slots / assumedHosts).coerceAtLeast(ConcurrencyLimit.LEAST)
        val admission = ServiceAdmission(ConcurrencyLimit(limit))
        return copy(services = services.put(call.service, admission))
    }

    private companion object {
        val RETRY = 1.seconds
    }
}
