/*
 * The share of this host in the request limits of targets.
 */
package org.sapphirelever.runtime.forward

import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlinx.coroutines.channels.Channel
import org.sapphirelever.core.HostId
import org.sapphirelever.core.forwarding.HostAnnouncement
import org.sapphirelever.core.forwarding.TargetIncarnation
import org.sapphirelever.core.forwarding.TargetRecord
import org.sapphirelever.core.forwarding.WarmUp
import org.sapphirelever.decisions.forwarding.LimitStatements
import org.sapphirelever.decisions.forwarding.SharePlace
import org.sapphirelever.decisions.forwarding.SharingHosts
import org.sapphirelever.decisions.forwarding.TargetLimits
import org.sapphirelever.decisions.forwarding.assignmentOrder
import org.sapphirelever.decisions.forwarding.coldShareOf
import org.sapphirelever.decisions.forwarding.shareOf
import org.sapphirelever.decisions.rendezvousRank
import org.sapphirelever.runtime.StateCell
import org.sapphirelever.runtime.log.logEvent

/**
 * Limits that targets named to this host or to others and those of cold targets, and what this host
 * may send of them.
 */
public class RequestShares(private val state: ForwardingState) {
    private val limits = StateCell(TargetLimits())
    private val sharing = StateCell(SharingHosts(state.clock.now()))

    /** Signals that the limits that this host heard should be published. */
    public val reportDue: Channel<Unit> = Channel(Channel.CONFLATED)

    @Volatile
    private var places = HostPlaces(state.hosts.value)

    @Volatile
    private var coldPlaces = HostPlaces(sharing.value.current(state.clock.now()))

    /** Records what [target] stated in an answer. */
    public fun record(target: TargetRecord, limit: RequestLimit) {
        val rate =
            when (limit) {
                RequestLimit.None -> null

                is RequestLimit.PerSecond -> limit.rate

                is RequestLimit.Unreadable -> {
                    logEvent("limit-unreadable") {
                        "target" to target.id
                        "text" to limit.text
                    }
                    return
                }
            }
        val now = state.clock.now()
        val before = limits.value.limitOf(target.incarnation, now)
        if (rate == null && before == null) return
        val changed = limits.update { it.heard(target.incarnation, rate, now).startedAt(target) }
        if (rate != before) {
            logEvent("limit-changed") {
                "target" to target.id
                "limit" to rate
                "before" to before
                "share" to rate?.let { shareOf(it, placeFor(target)) }
            }
        }
        if (changed.isPublicationDue(now)) reportDue.trySend(Unit)
    }

    /** Adds the statements that another host heard. */
    public fun receive(statements: LimitStatements) {
        val now = state.clock.now()
        val targets = state.directory.value.targets
        limits.update { all ->
            statements.keys
                .mapNotNull { targets[it.target]?.record }
                .fold(all.received(statements, now)) { limits, target -> limits.startedAt(target) }
        }
    }

    /** Follows a change of the announced hosts. */
    public fun followHosts() {
        val hosts = state.hosts.value
        sharing.update { it.announced(hosts, state.clock.now()) }
    }

    /** Time until this host may send a request to [target]; infinite if it has no share. */
    public fun wait(target: TargetRecord): Duration {
        val coldShare = coldShare(target)
        if (coldShare != null && !limits.value.hasShare(target.incarnation)) {
            limits.update { it.startedAt(target) }
        }
        return limits.value
            .wait(target.incarnation, state.clock.now(), coldShare) { placeFor(target) }
    }

    /** Whether requests to [target] are counted. */
    public fun isLimited(target: TargetRecord): Boolean =
        limits.value.limitOf(target.incarnation, state.clock.now()) != null ||
            coldShare(target) != null

    /** Takes one request to [target] from the share of this host; false if none is left. */
    public fun tryTake(target: TargetRecord): Boolean {
        if (!isLimited(target)) return true
        val coldShare = coldShare(target)
        return limits.decide { all ->
            all.take(target.incarnation, state.clock.now(), coldShare) { placeFor(target) }
        }.isNotEmpty()
    }

    /** What this host heard, to be published; [TargetLimits.published] then holds it. */
    public fun publication(): LimitStatements =
        limits.update { it.copy(published = it.own) }.published

    /** Lets the statements of this host be published again, as other hosts may lack them. */
    public fun publishAgain() {
        val forgotten = limits.update { it.copy(published = it.published.clear()) }
        if (forgotten.isPublicationDue(state.clock.now())) reportDue.trySend(Unit)
    }

    private fun TargetLimits.startedAt(target: TargetRecord): TargetLimits =
        started(target.incarnation, state.clock.now(), coldShare(target)) { placeFor(target) }

    /** How much longer [target] may be cold; zero if its service has no rate for cold targets. */
    public fun coldFor(target: TargetRecord): Duration {
        val warmUp = warmUp(target) ?: return Duration.ZERO
        return state.directory.value.coldFor(target, warmUp.period, state.clock.now())
    }

    private fun warmUp(target: TargetRecord): WarmUp? =
        state.configuration.value.table?.service(target.service)?.warmUp

    /** Requests a second that this host may send to [target] because it is cold; null if warm. */
    private fun coldShare(target: TargetRecord): Double? {
        val warmUp = warmUp(target) ?: return null
        if (!coldFor(target).isPositive()) return null
        if (!sharing.value.isComplete(state.clock.now())) return 0.0
        return coldShareOf(warmUp, state.profile.coldTolerance, coldPlaceFor(target))
    }

    /** Place of this host in the order in which hosts take a share in the limit of [target]. */
    private fun placeFor(target: TargetRecord): SharePlace {
        val hosts = state.hosts.value
        if (places.hosts !== hosts) places = HostPlaces(hosts)
        return places.of(target)
    }

    /** Place of this host among those that may send requests to [target] while it is cold. */
    private fun coldPlaceFor(target: TargetRecord): SharePlace {
        val hosts = sharing.value.current(state.clock.now())
        if (coldPlaces.hosts != hosts) coldPlaces = HostPlaces(hosts)
        return coldPlaces.of(target)
    }

    private fun order(target: TargetRecord, hosts: Map<HostId, HostAnnouncement>): List<HostId> {
        val runsStages =
            state.configuration.value.table?.service(target.service)?.batching != null
        return if (runsStages) {
            // The stage calls of a service are all made by the first host of this order.
            assignmentOrder(target.service, hosts)
        } else {
            hosts.keys.sortedByDescending { rendezvousRank(target.id.value, it.value) }
        }
    }

    /** Places of this host among [hosts], which are the same until a host joins or leaves. */
    private inner class HostPlaces(val hosts: Map<HostId, HostAnnouncement>) {
        private val byTarget = ConcurrentHashMap<TargetIncarnation, SharePlace>()

        fun of(target: TargetRecord): SharePlace = byTarget.computeIfAbsent(target.incarnation) {
            SharePlace(order(target, hosts).indexOf(state.profile.host), hosts.size)
        }
    }
}
