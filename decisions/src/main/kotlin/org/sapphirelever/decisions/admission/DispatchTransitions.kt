/*
 * Transitions of the dispatch state on single events: a refusal, a grant, the end of a call.
 */
package org.sapphirelever.decisions.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.ServiceName
import org.sapphirelever.decisions.Decision
import org.sapphirelever.decisions.prediction.SizeClass
import org.sapphirelever.decisions.routing.OutstandingCall
import org.sapphirelever.decisions.routing.RoutingState
import org.sapphirelever.decisions.routing.Target
import org.sapphirelever.decisions.routing.TargetStatistics
import org.sapphirelever.decisions.routing.candidates
import org.sapphirelever.decisions.routing.load
import org.sapphirelever.decisions.routing.queueDepth
import org.sapphirelever.decisions.routing.updated

internal val WaitingCall.reservationKey: ReservationKey
    get() = ReservationKey(organisation, deadline)

internal fun AdmissionState.updated(
    service: ServiceName,
    change: (ServiceAdmission) -> ServiceAdmission
): AdmissionState {
    val current = services[service] ?: return this
    return copy(services = services.put(service, change(current)))
}

internal fun DispatchState.refuse(
    call: WaitingCall,
    code: ErrorCode,
    retryAfter: Duration
): DispatchDecision =
    Decision(this, persistentListOf(DispatchAction.Refuse(call.id, code, retryAfter)))

/** Mean running time of [call] and the later calls of its request, without time in queues. */
internal fun AdmissionState.remainingTime(call: WaitingCall): Duration =
    (listOf(call.kind) + call.laterStages).fold(Duration.ZERO) { sum, kind ->
        sum + times.of(kind).mean
    }

internal fun AdmissionState.canMeetDeadline(call: WaitingCall, now: MonotonicTime): Boolean =
    now + remainingTime(call) <= call.deadline

/** Charges the first call of a request to the rate limit of its organisation, or refuses it. */
internal fun AdmissionState.applyRateLimit(
    call: WaitingCall,
    now: MonotonicTime
): Pair<AdmissionState, DispatchAction.Refuse?> {
    if (!call.first || call.rateLimit <= 0) return this to null
    val full = RateBucket(call.rateLimit.toDouble(), now)
    val bucket = (rates[call.organisation] ?: full).refilled(call.rateLimit, now)
    if (bucket.tokens < 1) {
        val after = 1.seconds * ((1 - bucket.tokens) / call.rateLimit)
        val refusal = DispatchAction.Refuse(call.id, ErrorCode.OVER_LIMIT, after)
        return copy(rates = rates.put(call.organisation, bucket)) to refusal
    }
    val taken = bucket.copy(tokens = bucket.tokens - 1)
    return copy(rates = rates.put(call.organisation, taken)) to null
}

/** Grants [call] to [target] and records it as running, based on [currentRouting]. */
internal fun DispatchState.granted(
    call: WaitingCall,
    target: Target,
    currentRouting: RoutingState,
    now: MonotonicTime
): DispatchDecision {
    val long = call.size == SizeClass.LONG
    val statistics = currentRouting.statistics(target.id)
    val expected = admission.times.of(call.kind).percentile95
    val running = OutstandingCall(now, expected, long, queueDepthAt(statistics, call))
    val routing = currentRouting.updated(target.id) {
        it.withPrefix(call.routing.prefix, now).copy(
            calls = it.calls.put(call.id, running),
            ejection = it.ejection?.copy(probing = it.probeDue(now) || it.ejection.probing)
        )
    }
    val count = (currentRouting.granted[call.service] ?: 0) + 1
    val next = admission.updated(call.service) {
        it.copy(running = it.running + 1, runningLong = it.runningLong + if (long) 1 else 0)
    }
    return Decision(
        DispatchState(next, routing.copy(granted = routing.granted.put(call.service, count))),
        persistentListOf(DispatchAction.Grant(call, target))
    )
}

private fun queueDepthAt(statistics: TargetStatistics, call: WaitingCall): Double {
    val slots = (statistics.report?.slots ?: call.routing.slots).coerceAtLeast(1)
    return queueDepth(statistics.load(), slots)
}

/** Updates running calls, measured times, limits and target health after a granted call ended. */
internal fun DispatchRules.onCallFinished(
    state: DispatchState,
    finished: FinishedCall,
    now: MonotonicTime
): DispatchState {
    val call = finished.call
    val before = state.routing.statistics(finished.target.id)
    val running = before.calls[call.id] ?: return state
    val routing = state.routing.updated(finished.target.id) { it.after(finished, running) }
    val admission = state.admission.after(finished, running, routing, now)
    return DispatchState(admission, updateHealth(routing, finished, running, now))
}

private fun TargetStatistics.after(
    finished: FinishedCall,
    running: OutstandingCall
): TargetStatistics {
    val rest = calls.remove(finished.call.id)
    val measured = finished.end == CallEnd.ANSWERED && !running.long
    return copy(
        calls = rest,
        serviceTime =
            if (measured) serviceTime.with(finished.took / running.queueDepth) else serviceTime,
        report = finished.load?.copy(ownCalls = calls.size) ?: report
    )
}

private fun AdmissionState.after(
    finished: FinishedCall,
    running: OutstandingCall,
    routing: RoutingState,
    now: MonotonicTime
): AdmissionState {
    val call = finished.call
    val answered = finished.end == CallEnd.ANSWERED
    val updatedTimes =
        if (answered) times.with(call.kind, finished.took / running.queueDepth) else times
    val allCandidates = routing.candidates(call.routing.copy(excluded = persistentSetOf()))
    val totalSlots = call.routing.slots.toDouble() * allCandidates.size
    val decreasedAt = services[call.service]?.limit?.decreasedAt
    val congested = routing.congested(allCandidates, decreasedAt, now)
    val meanCallTime = times.of(call.kind).mean
    // The slower of two hedged attempts is cancelled while its request continues.
    val requestContinues = answered || finished.end == CallEnd.CANCELLED
    val admission = if (requestContinues) this else releaseReservations(call.reservationKey)
    return admission.copy(times = updatedTimes).updated(call.service) {
        it.copy(
            limit = it.limit.after(
                finished.end,
                congested,
                it.running,
                totalSlots,
                meanCallTime,
                now
            ),
            running = it.running - 1,
            runningLong = it.runningLong - if (running.long) 1 else 0
        )
    }
}

private fun ConcurrencyLimit.after(
    end: CallEnd,
    congested: Boolean,
    running: Int,
    totalSlots: Double,
    meanCallTime: Duration,
    now: MonotonicTime
): ConcurrencyLimit = when {
    end == CallEnd.BUSY || congested -> decreased(now, meanCallTime)
    end == CallEnd.ANSWERED -> increased(running, totalSlots)
    else -> this
}

/**
 * Whether all [targets] together queue more than [CONGESTED_QUEUE_RATIO] calls per slot. A queue on
 * one target while another has free slots is a matter of target choice, not of the limit.
 *
 * Only reports measured after the last decrease count. An older one does not reflect the decrease,
 * and a host with a small limit makes too few calls to replace it, so its limit would keep falling.
 */
private fun RoutingState.congested(
    targets: List<Target>,
    decreasedAt: MonotonicTime?,
    now: MonotonicTime
): Boolean {
    val reports = targets.mapNotNull { statistics(it.id).report }.filter {
        now - it.measuredAt < MAXIMUM_REPORT_AGE &&
            (decreasedAt == null || it.measuredAt > decreasedAt)
    }
    if (reports.size < minOf(targets.size, MINIMUM_REPORTS)) return false
    return reports.sumOf { it.queued } > reports.sumOf { it.slots } * CONGESTED_QUEUE_RATIO
}

private fun DispatchRules.updateHealth(
    routing: RoutingState,
    finished: FinishedCall,
    running: OutstandingCall,
    now: MonotonicTime
): RoutingState {
    val id = finished.target.id
    return when (finished.end) {
        CallEnd.LOST -> ejectWithinCap(routing, finished, now)

        CallEnd.LEAVING -> routing.targets[id]?.let {
            routing.copy(targets = routing.targets.put(id, it.copy(leaving = true)))
        } ?: routing

        CallEnd.ANSWERED, CallEnd.FAILED, CallEnd.CANCELLED -> {
            val expected = running.expected * running.queueDepth
            val slowdown = if (expected > Duration.ZERO) finished.took / expected else 1.0
            ejection.onReturn(routing, id, slowdown, now)
        }

        CallEnd.BUSY -> ejection.onReturn(routing, id, 1.0, now)
    }
}

/** Ejects the target of a lost call, unless the cap on ejections is reached. */
private fun DispatchRules.ejectWithinCap(
    routing: RoutingState,
    finished: FinishedCall,
    now: MonotonicTime
): RoutingState {
    val id = finished.target.id
    val candidates = routing.candidates(finished.call.routing).map { it.id }.toSet() + id
    val ejected = candidates.count { routing.statistics(it).ejected }
    val alreadyEjected = routing.statistics(id).ejected
    if (!alreadyEjected && ejected >= candidates.size / ejection.shareDivisor) return routing
    return ejection.eject(routing, id, now)
}

/** Queued calls per slot of a service above which hosts reduce their concurrency. */
private const val CONGESTED_QUEUE_RATIO = 0.25

/** Recent reports needed to detect congestion; with fewer targets, one from each. */
private const val MINIMUM_REPORTS = 4

/** Age above which a report no longer reflects the current queue; reports may be 1 s late. */
private val MAXIMUM_REPORT_AGE = 2.seconds
