/*
 * Data centres that the operator wants emptied, as the store and other hosts report them.
 */
package org.sapphirelever.runtime.forward

import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.combine
import kotlinx.coroutines.flow.distinctUntilChanged
import kotlinx.coroutines.flow.filter
import kotlinx.coroutines.flow.getAndUpdate
import kotlinx.coroutines.flow.map
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.forwarding.TargetRecord
import org.sapphirelever.decisions.forwarding.Evacuations
import org.sapphirelever.decisions.forwarding.StorePosition
import org.sapphirelever.decisions.forwarding.TargetDirectory
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.runtime.peer.PeerConnection
import org.sapphirelever.wire.peer.EvacuationMessage
import org.sapphirelever.wire.peer.EvacuationsKnown

/** Keeps the evacuations in the directory of [state] and tells their changes. */
public class DataCentreEvacuations(private val state: ForwardingState) {
    private val mutableChanges = MutableStateFlow(Evacuations())

    /** The evacuations after each change. */
    public val changes: StateFlow<Evacuations> = mutableChanges.asStateFlow()

    /** Number of calls that were not sent because their data centre was emptied meanwhile. */
    public val preventedCalls: AtomicLong = AtomicLong()

    /** Changes the directory and logs the data centres that are emptied or taken back by that. */
    public fun updateDirectory(change: (TargetDirectory) -> TargetDirectory) {
        state.directory.update(change)
        val before = mutableChanges.getAndUpdate { state.directory.value.evacuations }
        val after = state.directory.value.evacuations
        if (before.states === after.states) return
        for ((dataCentre, changed) in after.states) {
            if (before.states[dataCentre]?.isEmptied == changed.isEmptied) continue
            logEvent(if (changed.isEmptied) "data-centre-emptied" else "data-centre-taken-back") {
                "data-centre" to dataCentre
                "revision" to changed.position.revision
                "era" to changed.position.era
                "targets" to targetsIn(dataCentre).size
                "running" to running(dataCentre)
            }
        }
    }

    /** Applies a change that the store reports in its [era]. */
    public fun apply(entry: StoreEntry.Evacuation, era: Long) {
        val now = state.clock.now()
        val position = StorePosition(era, entry.revision)
        updateDirectory {
            it.copy(
                evacuations =
                    it.evacuations.changed(entry.dataCentre, entry.isEmptied, position, now)
            )
        }
    }

    /** Records that all changes up to [position] have been read from the store. */
    public fun read(position: StorePosition) {
        state.directory.update { it.copy(evacuations = it.evacuations.read(position)) }
    }

    /** Applies what another host knows. */
    public fun receive(message: EvacuationsKnown) {
        val now = state.clock.now()
        state.observeEra(message.era)
        updateDirectory { directory ->
            val received = message.evacuations.fold(directory.evacuations) { all, known ->
                val position = StorePosition(known.era, known.revision)
                all.received(DataCentre(known.dataCentre), known.isEmptied, position, now)
            }
            directory.copy(evacuations = received)
        }
    }

    /** Sends the evacuations over [connection], now and after each change, until cancelled. */
    internal suspend fun sendTo(connection: PeerConnection) {
        val eras = state.recovery.map { it.era ?: 0 }.distinctUntilChanged()
        changes.combine(eras) { known, era -> known.toMessage(era) }
            .filter { it.evacuations.isNotEmpty() || it.era > 0 }
            .collect { connection.send(it) }
    }

    /** Targets of [dataCentre] that the store lists. */
    public fun targetsIn(dataCentre: DataCentre): List<TargetRecord> =
        state.directory.value.targets.values
            .filter { it.missingSince == null }
            .map { it.record }
            .filter { it.dataCentre == dataCentre }

    /** Whether [service] has targets, but none outside of emptied data centres. */
    public fun areAllEmptied(service: ServiceName): Boolean {
        val directory = state.directory.value
        if (directory.evacuations.emptied.isEmpty()) return false
        val records = directory.targets.values.map { it.record }.filter { it.service == service }
        return records.isNotEmpty() &&
            records.all { directory.evacuations.isEmptied(it.dataCentre) }
    }

    /** Calls of this host that run in [dataCentre]. */
    public fun running(dataCentre: DataCentre): Int =
        targetsIn(dataCentre).sumOf { state.targetViews[it.id]?.outstanding ?: 0 }
}

/** These evacuations as a message to another host. */
internal fun Evacuations.toMessage(era: Long): EvacuationsKnown = EvacuationsKnown(
    states.map { (dataCentre, known) ->
        val position = known.position
        EvacuationMessage(dataCentre.value, known.isEmptied, position.revision, position.era)
    },
    era
)
