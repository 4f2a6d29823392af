/*
 * The share of this host in the request limits of targets.
 */
package org.sapphirelever.runtime.forward

import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.coroutines.channels.Channel
import org.sapphirelever.core.HostId
import org.sapphirelever.core.forwarding.HostAnnouncement
import org.sapphirelever.core.forwarding.TargetIncarnation
import org.sapphirelever.core.forwarding.TargetRecord
import org.sapphirelever.decisions.forwarding.LimitStatements
import org.sapphirelever.decisions.forwarding.SharePlace
import org.sapphirelever.decisions.forwarding.TargetLimits
import org.sapphirelever.decisions.forwarding.assignmentOrder
import org.sapphirelever.decisions.forwarding.shareOf
import org.sapphirelever.decisions.rendezvousRank
import org.sapphirelever.runtime.StateCell
import org.sapphirelever.runtime.log.logEvent

/** Limits that targets named to this host or to others, and what this host may send of them. */
public class RequestShares(private val state: ForwardingState) {
    private val limits = StateCell(TargetLimits())

    /** Signals that the limits that this host heard should be published. */
    public val reportDue: Channel<Unit> = Channel(Channel.CONFLATED)

    @Volatile
    private var places = HostPlaces(state.hosts.value)

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

    /** Time until this host may send a request to [target]; infinite if it has no share. */
    public fun wait(target: TargetRecord): Duration = limits.value
        .wait(target.incarnation, state.clock.now()) { placeFor(target) }

    /** Takes one request to [target] from the share of this host; false if none is left. */
    public fun tryTake(target: TargetRecord): Boolean {
        if (limits.value.limitOf(target.incarnation, state.clock.now()) == null) return true
        return limits.decide { all ->
            all.take(target.incarnation, state.clock.now()) { placeFor(target) }
        }.isNotEmpty()
    }

    /** What this host heard, to be published; [TargetLimits.published] then holds it. */
    public fun publication(): LimitStatements =
        limits.update { it.copy(published = it.own) }.published

    private fun TargetLimits.startedAt(target: TargetRecord): TargetLimits =
        started(target.incarnation, state.clock.now()) { placeFor(target) }

    /** Place of this host in the order in which hosts take a share in the limit of [target]. */
    private fun placeFor(target: TargetRecord): SharePlace {
        val hosts = state.hosts.value
        if (places.hosts !== hosts) places = HostPlaces(hosts)
        return places.byTarget.computeIfAbsent(target.incarnation) {
            SharePlace(order(target, hosts).indexOf(state.profile.host), hosts.size)
        }
    }

    private fun order(
        target: TargetRecord,
        hosts: PersistentMap<HostId, HostAnnouncement>
    ): List<HostId> {
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
    private class HostPlaces(val hosts: PersistentMap<HostId, HostAnnouncement>) {
        val byTarget = ConcurrentHashMap<TargetIncarnation, SharePlace>()
    }
}
