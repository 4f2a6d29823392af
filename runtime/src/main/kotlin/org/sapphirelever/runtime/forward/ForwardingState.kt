/*
 * State shared by the requests of one host. Each cell holds one immutable value.
 */
package org.sapphirelever.runtime.forward

import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.getAndUpdate
import kotlinx.coroutines.flow.update
import org.sapphirelever.core.HostId
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.HostAnnouncement
import org.sapphirelever.core.forwarding.HostProfile
import org.sapphirelever.core.forwarding.TargetRecord
import org.sapphirelever.decisions.Decision
import org.sapphirelever.decisions.decide
import org.sapphirelever.decisions.forwarding.CachedConfiguration
import org.sapphirelever.decisions.forwarding.ClockReading
import org.sapphirelever.decisions.forwarding.LoadReport
import org.sapphirelever.decisions.forwarding.RetryBounds
import org.sapphirelever.decisions.forwarding.SharedRetryBudget
import org.sapphirelever.decisions.forwarding.StoreRecovery
import org.sapphirelever.decisions.forwarding.TargetDirectory
import org.sapphirelever.decisions.forwarding.TargetView
import org.sapphirelever.decisions.keys.Fingerprint
import org.sapphirelever.decisions.suspicion.CrashEvidence
import org.sapphirelever.decisions.suspicion.TraitBlock
import org.sapphirelever.runtime.StateCell
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.runtime.log.logWarning
import org.sapphirelever.runtime.transport.CallerRegistry
import org.sapphirelever.runtime.transport.MessageMemory
import org.sapphirelever.runtime.transport.callerConnections

/** Shared state of a forwarding host that starts with the settings [initial]. */
public class ForwardingState(initial: HostProfile, public val clock: MonotonicClock) {
    @Volatile
    public var profile: HostProfile = initial
        private set

    /** Memory for the messages of callers and targets. */
    public val memory: MessageMemory = MessageMemory()

    /** The connections of callers. */
    public val callers: CallerRegistry =
        CallerRegistry(callerConnections(initial.descriptors), memory, clock)

    /** The adopted configuration and the time at which the store last confirmed it. */
    public val configuration: StateCell<CachedConfiguration> = StateCell(CachedConfiguration())
    public val directory: StateCell<TargetDirectory> = StateCell(TargetDirectory())

    /** Known forwarding hosts including this one; any of them can execute pieces for the others. */
    public val hosts: StateCell<PersistentMap<HostId, HostAnnouncement>> =
        StateCell(persistentMapOf(profile.host to profile.announcement))

    /** Evidence of this host and of others on which requests crash targets. */
    private val crashes = StateCell(CrashEvidence())
    private val mutableBlocks = MutableStateFlow(crashes.value.blocks)

    private val mutableRecovery = MutableStateFlow(StoreRecovery())

    /** The latest era of the store, and the recovery from its last return. */
    public val recovery: StateFlow<StoreRecovery> = mutableRecovery.asStateFlow()

    /** Number of returns of the store that this host learned of. */
    public val storeReturns: AtomicLong = AtomicLong()

    /** Signals that the announcement of this host should be written again. */
    public val announcementDue: Channel<Unit> = Channel(Channel.CONFLATED)

    /** Data centres whose targets get nothing. */
    public val evacuations: DataCentreEvacuations = DataCentreEvacuations(this)

    /** Share of this host in the request limits of targets. */
    public val shares: RequestShares = RequestShares(this)

    /** Targets that leave or want a pause, as they stated in their answers. */
    public val notices: TargetNotices = TargetNotices(this)

    /** What engines did with the prompts of this host. */
    public val prompts: PromptObservations = PromptObservations(this)

    /** Signals that the crash evidence of this host should be published. */
    public val crashReportDue: Channel<Unit> = Channel(Channel.CONFLATED)
    private val views: StateCell<PersistentMap<TargetId, TargetView>> =
        StateCell(persistentMapOf())
    private val budget: StateCell<SharedRetryBudget> =
        StateCell(SharedRetryBudget(profile.retryBounds()))

    public val crashEvidence: CrashEvidence get() = crashes.value

    /** Traits whose requests must not be sent to targets. */
    public val blocks: StateFlow<PersistentMap<Fingerprint, TraitBlock>> get() = mutableBlocks

    /** Load and health of each target as observed by this host. */
    public val targetViews: PersistentMap<TargetId, TargetView> get() = views.value

    /** Applies the reloadable bounds of [changed]; its other settings apply after a restart. */
    public fun reload(changed: HostProfile) {
        profile = profile.withBoundsOf(changed)
        budget.update { it.copy(bounds = profile.retryBounds()) }
    }

    /** Changes the crash evidence and logs the traits whose block begins or ends. */
    public fun updateCrashes(change: (CrashEvidence) -> CrashEvidence): CrashEvidence {
        val changed = crashes.update(change)
        val before = mutableBlocks.getAndUpdate { changed.blocks }
        (changed.blocks.keys - before.keys).forEach { trait ->
            val block = changed.blocks.getValue(trait)
            logWarning("trait-blocked") {
                "trait" to trait.value
                "crashes" to block.crashes
                "proven" to block.isProven
            }
        }
        (before.keys - changed.blocks.keys).forEach { trait ->
            logEvent("trait-unblocked") { "trait" to trait.value }
        }
        return changed
    }

    /** Records the [era] that the store or another host states. */
    public fun observeEra(era: Long) {
        val before = mutableRecovery.getAndUpdate { it.observed(era, clock.now()) }.era
        if (before == null || era <= before) return
        storeReturns.incrementAndGet()
        logWarning("store-era-changed") {
            "era" to era
            "before" to before
        }
    }

    /** Whether writers may lack the time to write again after the return of the store. */
    public fun isStoreSettling(): Boolean = recovery.value.isSettling(clock.now(), hosts.value.size)

    /** Marks [hosts] as missing in the store since its return. */
    internal fun doubtHosts(hosts: Set<HostId>) {
        mutableRecovery.update { it.copy(doubtedHosts = it.doubtedHosts.addAll(hosts)) }
    }

    /** Records that the store lists [host]. */
    internal fun believeHost(host: HostId) {
        if (host !in recovery.value.doubtedHosts) return
        mutableRecovery.update { it.copy(doubtedHosts = it.doubtedHosts.remove(host)) }
    }

    /** The hosts that the store still lacks; none are doubted from then on. */
    internal fun takeDoubtedHosts(): Set<HostId> = mutableRecovery
        .getAndUpdate { it.copy(doubtedHosts = it.doubtedHosts.clear()) }
        .doubtedHosts

    public fun readClock(): ClockReading = ClockReading(clock.now(), System.currentTimeMillis())

    public fun usableTargets(service: ServiceName): List<TargetRecord> =
        directory.value.usable(service, clock.now())

    /** Usable targets that take another request from this host now. */
    public fun availableTargets(service: ServiceName): List<TargetRecord> =
        usableTargets(service).filter { wait(it) == Duration.ZERO }

    /** Time until [target] takes a request from this host; infinite without a share. */
    public fun wait(target: TargetRecord): Duration =
        maxOf(shares.wait(target), notices.pause(target))

    /** Shortest of the waiting times of [targets], or zero if there are none. */
    internal fun shortestWait(targets: List<TargetRecord>): Duration =
        targets.minOfOrNull { wait(it) } ?: Duration.ZERO

    /**
     * Time until the first usable target takes a request from this host: zero if one does now,
     * infinite if this host has no share in the limit of any.
     */
    public fun limitWait(service: ServiceName): Duration = shortestWait(usableTargets(service))

    /** Updates the view of [target]. */
    public fun updateView(target: TargetId, change: (TargetView) -> TargetView) {
        views.update { it.put(target, change(it[target] ?: TargetView())) }
    }

    /** Drops the view of a target that was removed or restarted, except for calls in flight. */
    public fun forget(target: TargetId) {
        updateView(target) { TargetView(outstanding = it.outstanding) }
    }

    public fun recordLoad(target: TargetId, load: ReportedLoad) {
        val now = clock.now()
        updateView(target) { view ->
            val report = LoadReport(
                running = load.running,
                waiting = load.waiting,
                slots = load.slots,
                slownessPercent = load.slownessPercent,
                at = now,
                own = view.outstanding
            )
            view.copy(report = report)
        }
    }

    /** Records that a call to [target] took about its expected duration. */
    public fun recordNormalSpeed(target: TargetId) {
        if (targetViews[target]?.slowedAt == null) return
        updateView(target) { it.copy(slowedAt = null) }
    }

    public fun recordSuccess(target: TargetId) {
        if (targetViews[target]?.failedAt == null) return
        updateView(target) { it.copy(failures = 0, failedAt = null) }
    }

    public fun recordFailure(target: TargetId) {
        updateView(target) { it.copy(failures = it.failures + 1, failedAt = clock.now()) }
    }

    /** Records that a call to [target] took far longer than its expected duration. */
    public fun recordSlowCall(target: TargetId) {
        updateView(target) { it.copy(slowedAt = clock.now()) }
    }

    /** Counts a request for [service]; each request adds to the shared retry budget. */
    public fun countRequest(service: ServiceName) {
        budget.update { it.counted(service, clock.now(), requests = 1) }
    }

    /** Takes one retry of a call to [service] from the shared budget; false if none is left. */
    public fun tryTakeRetry(service: ServiceName): Boolean {
        val now = clock.now()
        val taken =
            budget.decide { shared ->
                if (shared.permits(service, hosts.value.size, now)) {
                    Decision(shared.counted(service, now, retries = 1), persistentListOf(Unit))
                } else {
                    shared.decide()
                }
            }
        return taken.isNotEmpty()
    }
}

private fun HostProfile.retryBounds(): RetryBounds =
    RetryBounds(retryBudgetRatio, retryBudgetExtra, retryBudgetWindow)
