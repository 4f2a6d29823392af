/*
 * Changes of the dispatch state by single events: a grant, the end of a call.
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
import org.sapphirelever.decisions.routing.depth
import org.sapphirelever.decisions.routing.load
import org.sapphirelever.decisions.routing.updated

internal val WaitingCall.reservation: ReservationKey
    get() = ReservationKey(organisation, deadline)

internal fun AdmissionState.changed(
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
): Dispatching = Decision(this, persistentListOf(DispatchAction.Refuse(call.id, code, retryAfter)))

/** Mean time of [call] and the later ones, without any wait. */
internal fun AdmissionState.remainingTime(call: WaitingCall): Duration =
    (listOf(call.kind) + call.later).fold(Duration.ZERO) { sum, kind -> sum + times.of(kind).mean }

internal fun AdmissionState.mayStillFinish(call: WaitingCall, now: MonotonicTime): Boolean =
    now + remainingTime(call) <= call.deadline

/** Takes one request from the rate of the organisation, or refuses it. */
internal fun AdmissionState.limitRate(
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

/** The state with [call] running on [target], and the grant. */
internal fun DispatchState.granted(
    call: WaitingCall,
    target: Target,
    checked: RoutingState,
    now: MonotonicTime
): Dispatching {
    val long = call.size == SizeClass.LONG
    val statistics = checked.statistics(target.id)
    val expected = admission.times.of(call.kind).upper
    val running = OutstandingCall(now, expected, long, depthAt(statistics, call))
    val routing = checked.updated(target.id) {
        it.withPrefix(call.routing.prefix, now).copy(
            calls = it.calls.put(call.id, running),
            ejection = it.ejection?.copy(probing = it.probeDue(now) || it.ejection.probing)
        )
    }
    val count = (checked.granted[call.service] ?: 0) + 1
    val next = admission.changed(call.service) {
        it.copy(running = it.running + 1, runningLong = it.runningLong + if (long) 1 else 0)
    }
    return Decision(
        DispatchState(next, routing.copy(granted = routing.granted.put(call.service, count))),
        persistentListOf(DispatchAction.Grant(call, target))
    )
}

private fun depthAt(statistics: TargetStatistics, call: WaitingCall): Double {
    val slots = (statistics.report?.slots ?: call.routing.slots).coerceAtLeast(1)
    return depth(statistics.load(), slots)
}

/** The state after a granted call returned: room, times, limits and health of the target. */
internal fun DispatchRules.adapt(
    state: DispatchState,
    finished: FinishedCall,
    now: MonotonicTime
): DispatchState {
    val call = finished.call
    val before = state.routing.statistics(finished.target.id)
    val running = before.calls[call.id] ?: return state
    val routing = state.routing.updated(finished.target.id) { it.after(finished, running) }
    val admission = state.admission.after(finished, running, routing, now)
    return DispatchState(admission, health(routing, finished, running, now))
}

private fun TargetStatistics.after(
    finished: FinishedCall,
    running: OutstandingCall
): TargetStatistics {
    val rest = calls.remove(finished.call.id)
    val measured = finished.end == CallEnd.ANSWERED && !running.long
    return copy(
        calls = rest,
        time = if (measured) time.with(finished.took / running.depth) else time,
        report = finished.load?.copy(own = calls.size) ?: report
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
    val measured = if (answered) times.with(call.kind, finished.took / running.depth) else times
    val everywhere = routing.candidates(call.routing.copy(excluded = persistentSetOf()))
    val greatest = call.routing.slots.toDouble() * everywhere.size
    val decreasedAt = services[call.service]?.limit?.decreasedAt
    val congested = routing.congested(everywhere, decreasedAt, now)
    val round = times.of(call.kind).mean
    // The loser of a hedge is cancelled while its request goes on.
    val goesOn = answered || finished.end == CallEnd.CANCELLED
    val kept = if (goesOn) this else release(call.reservation)
    return kept.copy(times = measured).changed(call.service) {
        it.copy(
            limit = it.limit.after(finished.end, congested, it.running, greatest, round, now),
            running = it.running - 1,
            runningLong = it.runningLong - if (running.long) 1 else 0
        )
    }
}

private fun ConcurrencyLimit.after(
    end: CallEnd,
    congested: Boolean,
    running: Int,
    greatest: Double,
    round: Duration,
    now: MonotonicTime
): ConcurrencyLimit = when {
    end == CallEnd.BUSY || congested -> decreased(now, round)
    end == CallEnd.ANSWERED -> increased(running, greatest)
    else -> this
}

/**
 * Whether the targets together queue more than [CONGESTED_SHARE] of their slots. A queue on one
 * target while another has free slots is a matter of choice, not of the limit.
 *
 * Only reports measured after the last decrease count. An older one does not show its effect, and
 * a host with a small limit makes too few calls to replace it, so that its limit would fall on.
 */
private fun RoutingState.congested(
    targets: List<Target>,
    decreasedAt: MonotonicTime?,
    now: MonotonicTime
): Boolean {
    val reports = targets.mapNotNull { statistics(it.id).report }.filter {
        now - it.measuredAt < REPORT_LIFE && (decreasedAt == null || it.measuredAt > decreasedAt)
    }
    if (reports.size < minOf(targets.size, LEAST_REPORTS)) return false
    return reports.sumOf { it.queued } > reports.sumOf { it.slots } * CONGESTED_SHARE
}

private fun DispatchRules.health(
    routing: RoutingState,
    finished: FinishedCall,
    running: OutstandingCall,
    now: MonotonicTime
): RoutingState {
    val id = finished.target.id
    return when (finished.end) {
        CallEnd.LOST -> ejectWithin(routing, finished, now)

        CallEnd.LEAVING -> routing.targets[id]?.let {
            routing.copy(targets = routing.targets.put(id, it.copy(leaving = true)))
        } ?: routing

        CallEnd.ANSWERED, CallEnd.FAILED, CallEnd.CANCELLED -> {
            val expected = running.expected * running.depth
            val slowdown = if (expected > Duration.ZERO) finished.took / expected else 1.0
            ejection.onReturn(routing, id, slowdown, now)
        }

        CallEnd.BUSY -> ejection.onReturn(routing, id, 1.0, now)
    }
}

/** Ejects the target of a broken call, unless the cap on ejections is reached. */
private fun DispatchRules.ejectWithin(
    routing: RoutingState,
    finished: FinishedCall,
    now: MonotonicTime
): RoutingState {
    val id = finished.target.id
    val others = routing.candidates(finished.call.routing).map { it.id }.toSet() + id
    val ejected = others.count { routing.statistics(it).ejected }
    val already = routing.statistics(id).ejected
    if (!already && ejected >= others.size / ejection.shareDivisor) return routing
    return ejection.eject(routing, id, now)
}

/** Share of the slots of a service that may be queued before hosts send less. */
private const val CONGESTED_SHARE = 0.25

/** Reports that must agree, or all if there are fewer targets. */
private const val LEAST_REPORTS = 4

/** Age beyond which a report says nothing of the present queue; reports may be 1 s late. */
private val REPORT_LIFE = 2.seconds
