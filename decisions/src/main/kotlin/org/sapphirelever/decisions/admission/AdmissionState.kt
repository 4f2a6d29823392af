/*
 * Admission state of one host, with the cost and wait estimates that early refusals are based on.
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
 * Concurrency limit and calls of one service.
 *
 * @property running granted calls that have not returned
 * @property runningLong long calls among [running]
 */
public data class ServiceAdmission(
    public val limit: ConcurrencyLimit,
    public val queue: FairQueue = FairQueue(),
    public val running: Int = 0,
    public val runningLong: Int = 0
)

/**
 * Identifies the reservations of an admitted request. If a second request has the same organisation
 * and deadline, its reservations replace the first ones, which is accurate enough for estimates.
 */
public data class ReservationKey(
    public val organisation: OrganisationName,
    public val deadline: MonotonicTime
)

/**
 * Admission state of this host.
 *
 * @property weights weight of each organisation as of its latest call
 * @property reservations predicted cost of the calls that admitted requests will still make
 * @property reservedCosts sum of [reservations] by service and organisation
 * @property prunedAt time of the last scan for expired reservations
 */
public data class AdmissionState(
    public val services: PersistentMap<ServiceName, ServiceAdmission> = persistentMapOf(),
    public val times: StageTimes = StageTimes(),
    public val rates: PersistentMap<OrganisationName, RateBucket> = persistentMapOf(),
    public val weights: PersistentMap<OrganisationName, Int> = persistentMapOf(),
    public val reservations: PersistentMap<ReservationKey, PersistentMap<ServiceName, Double>> =
        persistentMapOf(),
    public val reservedCosts: PersistentMap<ServiceName, PersistentMap<OrganisationName, Double>> =
        persistentMapOf(),
    public val prunedAt: MonotonicTime = MonotonicTime.ZERO
) {
    /** Predicted cost of a call in milliseconds; 1 until a call of [kind] has been measured. */
    public fun cost(kind: StageKind): Double {
        val estimate = times.of(kind)
        if (!estimate.known) return 1.0
        return (estimate.mean / 1.milliseconds).coerceAtLeast(MINIMUM_COST)
    }

    /** Expected time that a new call of [organisation] waits in the queue of [service]. */
    public fun expectedWait(service: ServiceName, organisation: OrganisationName): Duration {
        val admission = services[service] ?: return Duration.ZERO
        if (admission.running + 1 < admission.limit.limit && admission.queue.size == 0) {
            return Duration.ZERO
        }
        val queuedByOrganisation = admission.queue.costs
        val reservedByOrganisation = reservedCosts[service] ?: persistentMapOf()
        val queuedCost = admission.queue.costBeyondBurst(organisation, weight(organisation))
        val ownCost = queuedCost + (reservedByOrganisation[organisation] ?: 0.0)
        val totalCost = queuedByOrganisation.values.sum() + reservedByOrganisation.values.sum()
        val activeOrganisations =
            queuedByOrganisation.keys + reservedByOrganisation.keys + organisation
        val share = weight(organisation) / activeOrganisations.sumOf { weight(it) }
        return minOf(totalCost, ownCost / share).milliseconds / admission.limit.limit
    }

    private fun weight(organisation: OrganisationName): Double =
        (weights[organisation] ?: 1).toDouble()

    /** The state with reservations for the calls that the request of [call] makes later. */
    public fun reserve(call: WaitingCall): AdmissionState {
        if (call.laterStages.isEmpty()) return this
        val costs = call.laterStages.groupBy { it.service }
            .mapValues { (_, kinds) -> kinds.sumOf { cost(it) } }
            .toPersistentMap()
        val key = ReservationKey(call.organisation, call.deadline)
        return releaseReservations(key).copy(reservations = reservations.put(key, costs))
            .withAdjustedCosts(key.organisation, costs, 1)
    }

    /** The state without the reservation of [service] under [key], whose call has arrived. */
    public fun consumeReservation(key: ReservationKey, service: ServiceName): AdmissionState {
        val costs = reservations[key] ?: return this
        val cost = costs[service] ?: return this
        val rest = costs.remove(service)
        val next = if (rest.isEmpty()) reservations.remove(key) else reservations.put(key, rest)
        return copy(reservations = next)
            .withAdjustedCosts(key.organisation, persistentMapOf(service to cost), -1)
    }

    /** The state without the reservations under [key]. */
    public fun releaseReservations(key: ReservationKey): AdmissionState {
        val costs = reservations[key] ?: return this
        return copy(reservations = reservations.remove(key))
            .withAdjustedCosts(key.organisation, costs, -1)
    }

    /** Drops reservations whose deadline has passed; scans at most once per [PRUNING_INTERVAL]. */
    public fun withoutExpiredReservations(now: MonotonicTime): AdmissionState {
        if (now - prunedAt < PRUNING_INTERVAL) return this
        val expired = reservations.keys.filter { it.deadline < now }
        return expired.fold(this) { state, key -> state.releaseReservations(key) }
            .copy(prunedAt = now)
    }

    private fun withAdjustedCosts(
        organisation: OrganisationName,
        costs: Map<ServiceName, Double>,
        sign: Int
    ): AdmissionState {
        val next = costs.entries.fold(reservedCosts) { all, (service, cost) ->
            val byOrganisation = all[service] ?: persistentMapOf()
            val sum = (byOrganisation[organisation] ?: 0.0) + sign * cost
            val kept = if (sum > MINIMUM_COST / 2) {
                byOrganisation.put(organisation, sum)
            } else {
                byOrganisation.remove(organisation)
            }
            all.put(service, kept)
        }
        return copy(reservedCosts = next)
    }

    private companion object {
        const val MINIMUM_COST = 0.01
        val PRUNING_INTERVAL = 500.milliseconds
    }
}
