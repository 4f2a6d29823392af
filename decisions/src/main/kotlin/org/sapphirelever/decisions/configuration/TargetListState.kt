/*
 * Target list of one host: the list of the elected reader combined with health reports of peers.
 * A target is leaving if any source says so, since the host list lags behind.
 */
package org.sapphirelever.decisions.configuration

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.TargetId
import org.sapphirelever.decisions.Decision
import org.sapphirelever.decisions.decide
import org.sapphirelever.decisions.routing.Target

/** Order of target lists: by the fencing number of the reader, then by its list [number]. */
public data class TargetVersion(public val fencing: Long = 0, public val number: Long = 0) :
    Comparable<TargetVersion> {
    override fun compareTo(other: TargetVersion): Int =
        compareValuesBy(this, other, { it.fencing }, { it.number })
}

/** Report that [target] is leaving or [dead]; [transmissionsLeft] heartbeats still carry it. */
public data class TargetHealth(
    public val target: TargetId,
    public val dead: Boolean,
    public val observedAt: MonotonicTime,
    public val transmissionsLeft: Int = HEALTH_TRANSMISSIONS
)

/** Target list and health reports of one host. */
public data class TargetListState(
    public val version: TargetVersion = TargetVersion(),
    public val listed: PersistentList<Target> = persistentListOf(),
    public val health: PersistentMap<TargetId, TargetHealth> = persistentMapOf()
) {
    /** Targets for routing: without those reported dead; others with a report are leaving. */
    public val targets: PersistentMap<TargetId, Target>
        get() = listed
            .filter { health[it.id]?.dead != true }
            .associate { it.id to it.copy(leaving = it.leaving || it.id in health) }
            .toPersistentMap()
}

public sealed interface TargetListEvent {
    /** The elected reader, with [fencing], read [targets] from the host list. */
    public data class Read(public val fencing: Long, public val targets: List<Target>) :
        TargetListEvent

    /** A peer of the same data centre sent its list. */
    public data class Received(
        public val version: TargetVersion,
        public val targets: List<Target>
    ) : TargetListEvent

    /** This host or a peer observed that a target is leaving or dead. */
    public data class Reported(
        public val reports: List<TargetHealth>,
        public val now: MonotonicTime
    ) : TargetListEvent

    public data class Tick(public val now: MonotonicTime) : TargetListEvent
}

public sealed interface TargetListAction {
    /** The targets for routing changed; the peers are notified at once. */
    public data class Changed(public val targets: PersistentMap<TargetId, Target>) :
        TargetListAction
}

public fun TargetListState.on(event: TargetListEvent): Decision<TargetListState, TargetListAction> =
    when (event) {
        is TargetListEvent.Read -> onRead(event)

        is TargetListEvent.Received ->
            if (event.version <= version) {
                decide()
            } else {
                changed(copy(version = event.version, listed = event.targets.toPersistentList()))
            }

        is TargetListEvent.Reported -> onReported(event)

        is TargetListEvent.Tick -> onTick(event.now)
    }

private fun TargetListState.onRead(
    event: TargetListEvent.Read
): Decision<TargetListState, TargetListAction> {
    if (event.fencing < version.fencing) return decide()
    if (event.fencing == version.fencing && event.targets == listed) return decide()
    val number = if (event.fencing == version.fencing) version.number + 1 else 1
    val next = TargetVersion(event.fencing, number)
    return changed(copy(version = next, listed = event.targets.toPersistentList()))
}

/** Adds reports that are new. Ages are rounded at each hop, so small differences are ignored. */
private fun TargetListState.onReported(
    event: TargetListEvent.Reported
): Decision<TargetListState, TargetListAction> {
    val newReports = event.reports
        .filter { event.now - it.observedAt < HEALTH_REPORT_VALIDITY }
        .filter { report ->
            val known = health[report.target]
            known == null || (report.dead && !known.dead) ||
                report.observedAt - known.observedAt > SAME_OBSERVATION_TOLERANCE
        }
    if (newReports.isEmpty()) return decide()
    val merged = newReports.fold(health) { all, report -> all.put(report.target, report) }
    return changed(copy(health = merged))
}

private fun TargetListState.onTick(
    now: MonotonicTime
): Decision<TargetListState, TargetListAction> {
    val valid = health.filterValues { now - it.observedAt < HEALTH_REPORT_VALIDITY }
    if (valid.size == health.size) return decide()
    return changed(copy(health = valid.toPersistentMap()))
}

private fun changed(state: TargetListState): Decision<TargetListState, TargetListAction> =
    state.decide(TargetListAction.Changed(state.targets))

/** Chooses the reports of one heartbeat, at most [HEALTH_REPORTS_PER_HEARTBEAT]. */
public fun TargetListState.composeHealth(): Decision<TargetListState, TargetHealth> {
    val chosen = health.values.filter { it.transmissionsLeft > 0 }
        .sortedWith(compareBy({ -it.transmissionsLeft }, { it.target.value }))
        .take(HEALTH_REPORTS_PER_HEARTBEAT)
    val sent = chosen.fold(health) { all, report ->
        all.put(report.target, report.copy(transmissionsLeft = report.transmissionsLeft - 1))
    }
    return Decision(copy(health = sent), chosen.toPersistentList())
}

/** Targets that a host of [own] uses: those of its data centre, and of services absent there. */
public fun targetsFor(own: DataCentre, all: List<Target>): List<Target> {
    val local = all.filter { it.dataCentre == own }
    val present = local.map { it.service }.toSet()
    return (local + all.filter { it.service !in present }).sortedBy { it.id.value }
}

/** Reports expire after this time; the host list has caught up by then. */
public val HEALTH_REPORT_VALIDITY: Duration = 60.seconds

/** Two reports of one target that differ by less than this are the same observation. */
private val SAME_OBSERVATION_TOLERANCE = 5.seconds

private const val HEALTH_REPORTS_PER_HEARTBEAT = 8

/** One transmission over each link, in both directions, in a data centre of 150 hosts. */
public const val HEALTH_TRANSMISSIONS: Int = 20
