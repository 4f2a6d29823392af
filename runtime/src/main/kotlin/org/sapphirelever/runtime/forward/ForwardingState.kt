/*
 * State that the requests of one host share. Each cell holds one immutable value.
 */
package org.sapphirelever.runtime.forward

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.sapphirelever.core.HostId
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.HostAnnouncement
import org.sapphirelever.core.forwarding.HostProfile
import org.sapphirelever.core.forwarding.TargetRecord
import org.sapphirelever.decisions.Decision
import org.sapphirelever.decisions.decide
import org.sapphirelever.decisions.forwarding.ConfigurationBelief
import org.sapphirelever.decisions.forwarding.LoadReport
import org.sapphirelever.decisions.forwarding.Moment
import org.sapphirelever.decisions.forwarding.RetryBounds
import org.sapphirelever.decisions.forwarding.SharedRetryBudget
import org.sapphirelever.decisions.forwarding.TargetDirectory
import org.sapphirelever.decisions.forwarding.TargetView
import org.sapphirelever.decisions.suspicion.SuspicionState
import org.sapphirelever.runtime.StateCell

/** Shared state of the forwarding front end of a host that starts with [initial]. */
public class ForwardingState(initial: HostProfile, public val clock: MonotonicClock) {
    @Volatile
    public var profile: HostProfile = initial
        private set

    public val belief: StateCell<ConfigurationBelief> = StateCell(ConfigurationBelief())
    public val directory: StateCell<TargetDirectory> = StateCell(TargetDirectory())

    /** Hosts that take callers' requests and work for each other. */
    public val hosts: StateCell<PersistentMap<HostId, HostAnnouncement>> =
        StateCell(persistentMapOf(profile.host to profile.announcement))
    public val suspicion: StateCell<SuspicionState> = StateCell(SuspicionState())
    private val views: StateCell<PersistentMap<TargetId, TargetView>> =
        StateCell(persistentMapOf())
    private val budget: StateCell<SharedRetryBudget> =
        StateCell(SharedRetryBudget(profile.retryBounds()))

    /** What this host knows of each target. */
    public val targetViews: PersistentMap<TargetId, TargetView> get() = views.value

    /** Takes over the bounds of [changed]; the rest of it holds from the next start. */
    public fun reload(changed: HostProfile) {
        profile = profile.withBoundsOf(changed)
        budget.update { it.copy(bounds = profile.retryBounds()) }
    }

    public fun moment(): Moment = Moment(clock.now(), System.currentTimeMillis())

    public fun usable(service: ServiceName): List<TargetRecord> =
        directory.value.usable(service, clock.now())

    /** Changes what this host knows of [target]. */
    public fun view(target: TargetId, change: (TargetView) -> TargetView) {
        views.update { it.put(target, change(it[target] ?: TargetView())) }
    }

    /** Forgets a target, which ended or started anew. */
    public fun forget(target: TargetId) {
        views.update { it.remove(target) }
    }

    public fun reported(target: TargetId, load: ReportedLoad) {
        val report =
            LoadReport(load.running, load.waiting, load.slots, load.slownessPercent, clock.now())
        view(target) { it.copy(report = report) }
    }

    /** Notes that a call to [target] took about as long as its work. */
    public fun recovered(target: TargetId) {
        if (targetViews[target]?.slowedAt == null) return
        view(target) { it.copy(slowedAt = null) }
    }

    public fun succeeded(target: TargetId) {
        if (targetViews[target]?.failedAt == null) return
        view(target) { it.copy(failures = 0, failedAt = null) }
    }

    public fun failed(target: TargetId) {
        view(target) { it.copy(failures = it.failures + 1, failedAt = clock.now()) }
    }

    /** Notes that a call to [target] took far longer than its work. */
    public fun slowed(target: TargetId) {
        view(target) { it.copy(slowedAt = clock.now()) }
    }

    /** Counts a request for [service], from which the budget of extra calls is earned. */
    public fun countRequest(service: ServiceName) {
        budget.update { it.counted(service, clock.now(), requests = 1) }
    }

    /** Takes one extra call to [service] from the budget, if there is one. */
    public fun takeExtraCall(service: ServiceName): Boolean {
        val now = clock.now()
        val taken =
            budget.decide { known ->
                if (known.permits(service, hosts.value.size, now)) {
                    Decision(known.counted(service, now, extra = 1), persistentListOf(Unit))
                } else {
                    known.decide()
                }
            }
        return taken.isNotEmpty()
    }
}

private fun HostProfile.retryBounds(): RetryBounds =
    RetryBounds(retryBudgetRatio, retryBudgetExtra, retryBudgetWindow)
