/*
 * State of admission on one host, and the predictions that an early refusal rests on.
 */
package org.sapphirelever.decisions.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.OrganisationName
import org.sapphirelever.core.ServiceName
import org.sapphirelever.decisions.prediction.StageKind
import org.sapphirelever.decisions.prediction.StageTimes

/**
 * Admission to one service.
 *
 * @property running granted calls that have not returned
 * @property runningLong those of them that are long
 */
public data class ServiceAdmission(
    public val limit: ConcurrencyLimit,
    public val queue: FairQueue = FairQueue(),
    public val running: Int = 0,
    public val runningLong: Int = 0
)

/** A request that was admitted; organisation and deadline identify it well enough to count it. */
public data class ReservationKey(
    public val organisation: OrganisationName,
    public val deadline: MonotonicTime
)

/**
 * Admission on this host.
 *
 * @property weights weights of the organisations seen last
 * @property reservations calls that admitted requests have still to make
 * @property reserved cost of these calls by service and organisation
 */
public data class AdmissionState(
    public val services: PersistentMap<ServiceName, ServiceAdmission> = persistentMapOf(),
    public val times: StageTimes = StageTimes(),
    public val rates: PersistentMap<OrganisationName, RateBucket> = persistentMapOf(),
    public val weights: PersistentMap<OrganisationName, Int> = persistentMapOf(),
    public val reservations: PersistentMap<ReservationKey, PersistentMap<ServiceName, Double>> =
        persistentMapOf(),
    public val reserved: PersistentMap<ServiceName, PersistentMap<OrganisationName, Double>> =
        persistentMapOf(),
    public val prunedAt: MonotonicTime = MonotonicTime.ZERO
) {
    /** Predicted cost of a call in milliseconds, 1 while nothing is known. */
    public fun cost(kind: StageKind): Double {
        val estimate = times.of(kind)
        if (!estimate.known) return 1.0
        return (estimate.mean / 1.milliseconds).coerceAtLeast(LEAST_COST)
    }

    /** Predicted wait of a new call of [organisation] for room at [service]. */
    public fun wait(service: ServiceName, organisation: OrganisationName): Duration {
        val admission = services[service] ?: return Duration.ZERO
        if (admission.running + 1 < admission.limit.limit && admission.queue.size == 0) {
            return Duration.ZERO
        }
        val queued = admission.queue.costs
        val ahead = reserved[service] ?: persistentMapOf()
        val unpaid = admission.queue.unpaid(organisation, weight(organisation))
        val own = unpaid + (ahead[organisation] ?: 0.0)
        val total = queued.values.sum() + ahead.values.sum()
        val active = queued.keys + ahead.keys + organisation
        val share = weight(organisation) / active.sumOf { weight(it) }
        return minOf(total, own / share).milliseconds / admission.limit.limit
    }

    private fun weight(organisation: OrganisationName): Double =
        (weights[organisation] ?: 1).toDouble()

    /** The state with the later calls of [call] counted as demand to come. */
    public fun reserve(call: WaitingCall): AdmissionState {
        if (call.later.isEmpty()) return this
        val needs = call.later.groupBy { it.service }
            .mapValues { (_, kinds) -> kinds.sumOf { cost(it) } }
            .toPersistentMap()
        val key = ReservationKey(call.organisation, call.deadline)
        return release(key).copy(reservations = reservations.put(key, needs))
            .changed(key.organisation, needs, 1)
    }

    /** The state without the reservation of [service] under [key]. */
    public fun arrived(key: ReservationKey, service: ServiceName): AdmissionState {
        val needs = reservations[key] ?: return this
        val cost = needs[service] ?: return this
        val rest = needs.remove(service)
        val next = if (rest.isEmpty()) reservations.remove(key) else reservations.put(key, rest)
        return copy(reservations = next)
            .changed(key.organisation, persistentMapOf(service to cost), -1)
    }

    /** The state without any reservation under [key]. */
    public fun release(key: ReservationKey): AdmissionState {
        val needs = reservations[key] ?: return this
        return copy(reservations = reservations.remove(key)).changed(key.organisation, needs, -1)
    }

    /** The state without reservations whose deadline has passed; looks once in an interval. */
    public fun pruned(now: MonotonicTime): AdmissionState {
        if (now - prunedAt < PRUNING) return this
        val passed = reservations.keys.filter { it.deadline < now }
        return passed.fold(this) { state, key -> state.release(key) }.copy(prunedAt = now)
    }

    private fun changed(
        organisation: OrganisationName,
        needs: Map<ServiceName, Double>,
        sign: Int
    ): AdmissionState {
        val next = needs.entries.fold(reserved) { all, (service, cost) ->
            val costs = all[service] ?: persistentMapOf()
            val sum = (costs[organisation] ?: 0.0) + sign * cost
            val kept = if (sum > LEAST_COST / 2) {
                costs.put(organisation, sum)
            } else {
                costs.remove(organisation)
            }
            all.put(service, kept)
        }
        return copy(reserved = next)
    }

    private companion object {
        const val LEAST_COST = 0.01
        val PRUNING = 500.milliseconds
    }
}
