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

/** Admission and routing state, which a dispatch decision reads and changes together. */
public data class DispatchState(
    public val admission: AdmissionState = AdmissionState(),
    public val routing: RoutingState = RoutingState()
)

/** New dispatch state and the actions on waiting calls. */
public typealias DispatchDecision = Decision<DispatchState, DispatchAction>

/**
 * Rules of the dispatcher.
 *
 * @property maximumLongShare share of the concurrency of a service that long calls may take
 * @property maximumWaitShare share of the slack before the deadline that waiting may take
 * @property maximumQueueLength calls of one organisation that may wait for one service
 * @property assumedHosts number of entry hosts assumed to share the targets of a service; sets the
 *   initial concurrency limit
 */
public data class DispatchRules(
    public val policy: TargetPolicy = ExpectedCompletionPolicy(),
    public val ejection: EjectionRules = EjectionRules(),
    public val maximumLongShare: Double = 0.5,
    public val maximumWaitShare: Double = 0.5,
    public val maximumQueueLength: Int = 512,
    public val assumedHosts: Int = 8
) {
    /** Queues [call], or refuses it. */
    public fun submit(
        state: DispatchState,
        call: WaitingCall,
        now: MonotonicTime,
        random: Random
    ): DispatchDecision {
        val routing = state.routing.indexed()
        val candidates = routing.candidates(call.routing)
        val current = state.admission.withoutExpiredReservations(now)
            .consumeReservation(call.reservationKey, call.service)
        val withWeight =
            current.copy(weights = current.weights.put(call.organisation, call.weight))
        val (admission, refusal) =
            withWeight.withService(call, candidates.size).checkAdmission(call, now)
        val next = DispatchState(admission, routing)
        if (candidates.isEmpty()) return next.refuse(call, ErrorCode.NO_TARGET, Duration.ZERO)
        if (refusal != null) {
            val released = next.copy(admission = admission.releaseReservations(call.reservationKey))
            return Decision(released, persistentListOf(refusal))
        }
        val callWithCost = call.copy(cost = admission.cost(call.kind))
        val reserved = if (call.first || call.retry) admission.reserve(callWithCost) else admission
        val queued = reserved.updated(call.service) {
            it.copy(queue = it.queue.add(callWithCost, now))
        }
        return grantQueued(next.copy(admission = queued), call.service, now, random)
    }

    /** Removes [call] from the queue, if it still waits there, and releases its reservations. */
    public fun cancel(state: DispatchState, call: WaitingCall): DispatchState {
        val service = state.admission.services[call.service] ?: return state
        val waiting = service.queue.lanes[call.lane]?.calls?.values
        val queued = waiting?.firstOrNull { it.call.id == call.id }?.call ?: return state
        val rest = state.admission.updated(call.service) {
            it.copy(queue = it.queue.remove(queued))
        }
        return state.copy(admission = rest.releaseReservations(call.reservationKey))
    }

    /** Records the end of a granted call and grants its capacity to the next calls. */
    public fun finish(
        state: DispatchState,
        finished: FinishedCall,
        now: MonotonicTime,
        random: Random
    ): DispatchDecision {
        val updated = onCallFinished(state, finished, now)
        return grantQueued(updated, finished.call.service, now, random)
    }

    /** Grants waiting calls of [service] in fair order until its concurrency limit is reached. */
    private fun grantQueued(
        state: DispatchState,
        service: ServiceName,
        now: MonotonicTime,
        random: Random
    ): DispatchDecision {
        var current = state
        var actions = persistentListOf<DispatchAction>()
        while (true) {
            val step = grantNext(current, service, now, random) ?: return Decision(current, actions)
            current = step.state
            actions = actions.addAll(step.actions)
        }
    }

    private fun grantNext(
        state: DispatchState,
        service: ServiceName,
        now: MonotonicTime,
        random: Random
    ): DispatchDecision? {
        val queued = next(state, service, now) ?: return null
        val call = queued.call
        val dequeued = state.copy(
            admission = state.admission.updated(service) {
                it.copy(queue = it.queue.take(queued))
            }
        )
        if (!state.admission.canMeetDeadline(call, now)) {
            return dequeued.refuseAndRelease(call, ErrorCode.DEADLINE_UNREACHABLE)
        }
        val choice = chooseTarget(dequeued.routing, call, now, random)
            ?: return dequeued.refuseAndRelease(call, ErrorCode.NO_TARGET)
        return dequeued.granted(call, choice.second, choice.first, now)
    }

    /** The next call of [service] to run, or null if none waits or its limits are reached. */
    private fun next(state: DispatchState, service: ServiceName, now: MonotonicTime): QueuedCall? {
        val admission = state.admission.services[service] ?: return null
        if (admission.running >= admission.limit.limit) return null
        val longCallLimit = maxOf(1.0, admission.limit.limit * maximumLongShare)
        return admission.queue.next(now, admission.runningLong < longCallLimit)
    }

    private fun DispatchState.refuseAndRelease(
        call: WaitingCall,
        code: ErrorCode
    ): DispatchDecision = copy(admission = admission.releaseReservations(call.reservationKey))
        .refuse(call, code, RETRY_DELAY)

    private fun chooseTarget(
        routing: RoutingState,
        call: WaitingCall,
        now: MonotonicTime,
        random: Random
    ): Pair<RoutingState, Target>? {
        val allCandidates = routing.candidates(call.routing.copy(excluded = persistentSetOf()))
        val afterEjection = ejection.ejectOverdue(routing, allCandidates, now)
        val id = policy.choose(afterEjection, call.routing, now, random) ?: return null
        return afterEjection.targets[id]?.let { afterEjection to it }
    }

    private fun AdmissionState.checkAdmission(
        call: WaitingCall,
        now: MonotonicTime
    ): Pair<AdmissionState, DispatchAction.Refuse?> {
        val rateLimited = applyRateLimit(call, now)
        if (rateLimited.second != null) return rateLimited
        val queue = services.getValue(call.service).queue
        if (queue.sizeOf(call.organisation) >= maximumQueueLength) {
            return rateLimited.first to
                DispatchAction.Refuse(call.id, ErrorCode.OVERLOADED, RETRY_DELAY)
        }
        val excess = rateLimited.first.deadlineExcess(call, now)
        if (excess <= Duration.ZERO) return rateLimited
        val code = ErrorCode.DEADLINE_UNREACHABLE
        return rateLimited.first to DispatchAction.Refuse(call.id, code, excess)
    }

    /**
     * Predicted time beyond what the deadline permits; the call is refused if it is positive. The
     * first call of a request is measured by the 95th percentile of the running times and the
     * expected waits, which may take [maximumWaitShare] of the slack; later calls by mean times.
     */
    private fun AdmissionState.deadlineExcess(call: WaitingCall, now: MonotonicTime): Duration {
        val remaining = call.deadline - now
        if (!call.first) return remainingTime(call) - remaining
        val kinds = listOf(call.kind) + call.laterStages
        val running = kinds.fold(Duration.ZERO) { sum, kind -> sum + times.of(kind).percentile95 }
        val waiting = kinds.map { it.service }.distinct()
            .fold(Duration.ZERO) { sum, service -> sum + expectedWait(service, call.organisation) }
        return waiting - (remaining - running) * maximumWaitShare
    }

    private fun AdmissionState.withService(call: WaitingCall, targets: Int): AdmissionState {
        if (call.service in services) return this
        val slots = call.routing.slots.toDouble() * targets
        val limit = (slots / assumedHosts).coerceAtLeast(ConcurrencyLimit.MINIMUM)
        val admission = ServiceAdmission(ConcurrencyLimit(limit))
        return copy(services = services.put(call.service, admission))
    }

    private companion object {
        val RETRY_DELAY = 1.seconds
    }
}
