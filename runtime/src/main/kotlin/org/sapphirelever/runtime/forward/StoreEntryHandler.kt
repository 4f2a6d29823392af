/*
 * Application of entries of the store to the state of this host.
 */
package org.sapphirelever.runtime.forward

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.sapphirelever.core.HostId
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.TargetRecord
import org.sapphirelever.decisions.forwarding.ClockReading
import org.sapphirelever.decisions.forwarding.StorePosition
import org.sapphirelever.decisions.forwarding.adopted
import org.sapphirelever.decisions.forwarding.listed
import org.sapphirelever.decisions.forwarding.precedes
import org.sapphirelever.decisions.forwarding.put
import org.sapphirelever.decisions.forwarding.relisted
import org.sapphirelever.decisions.forwarding.removed
import org.sapphirelever.decisions.forwarding.settled
import org.sapphirelever.decisions.suspicion.CrashEvidence
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.runtime.log.logWarning

/** Applies entries to [state]. Only the task that reads the store may use it. */
internal class StoreEntryHandler(private val state: ForwardingState) {
    /** Reasons of the unreadable entries that are already logged, by key. */
    private var unreadable: PersistentMap<String, String> = persistentMapOf()

    /** Whether a listing was applied since the store returned, and the recovery has not ended. */
    private var isRecovering = false

    /** Applies [received]. */
    fun apply(received: StoreEntries) {
        if (received.isFullListing) applyListing(received)
        received.entries.forEach { apply(it, received) }
        state.evacuations.read(received.position)
        state.shares.followHosts()
    }

    /** Ends the recovery after a return of the store, read up to [position], when it is time. */
    fun settleIfDue(position: StorePosition) {
        if (!isRecovering || state.isStoreSettling()) return
        isRecovering = false
        val now = state.clock.now()
        val before = state.directory.value.targets
        state.evacuations.updateDirectory {
            it.copy(evacuations = it.evacuations.settled(position, now)).settled(now)
        }
        val doubted = state.takeDoubtedHosts()
        state.hosts.update { hosts -> doubted.fold(hosts) { all, host -> all.remove(host) } }
        state.shares.followHosts()
        logEvent("store-recovery-ended") {
            "era" to position.era
            "hosts-removed" to doubted.size
            "targets-back" to before.values.count { it.held != null }
        }
    }

    private fun applyListing(received: StoreEntries) {
        val now = state.readClock()
        val isReturn = state.isStoreSettling()
        val records = received.entries.filterIsInstance<StoreEntry.Target>().map { it.record }
        val emptied = received.entries.filterIsInstance<StoreEntry.Evacuation>()
            .associate { it.dataCentre to it.revision }
        val before = state.directory.value.targets
        records.filter { it.startsNewRun(before[it.id]?.record) }.forEach { state.forget(it.id) }
        state.evacuations.updateDirectory { directory ->
            val known = directory.evacuations
            if (isReturn) {
                val evacuations = known.relisted(emptied, received.position, now.monotonic)
                directory.copy(evacuations = evacuations).relisted(records, now)
            } else {
                val evacuations = known.listed(emptied, received.position, now.monotonic)
                directory.copy(evacuations = evacuations).listed(records, now)
            }
        }
        val hosts = received.entries.filterIsInstance<StoreEntry.Host>()
            .associate { it.host to it.announcement }
        if (isReturn) {
            isRecovering = true
            state.doubtHosts(state.hosts.value.keys - hosts.keys - state.profile.host)
        } else if (state.profile.host !in hosts) {
            state.announcementDue.trySend(Unit)
        }
        state.hosts.update { known ->
            (if (isReturn) known else known.clear()).putAll(hosts)
                .put(state.profile.host, state.profile.announcement)
        }
    }

    private fun apply(entry: StoreEntry, received: StoreEntries) {
        val isFullListing = received.isFullListing
        when (entry) {
            is StoreEntry.Configuration -> adopt(entry)

            is StoreEntry.Target -> if (!isFullListing) putTarget(entry.record)

            is StoreEntry.TargetRemoved -> removeTarget(entry.target, "entry-removed")

            is StoreEntry.Evacuation -> state.evacuations.apply(entry, received.position.era)

            is StoreEntry.Host -> {
                state.believeHost(entry.host)
                state.hosts.update { it.put(entry.host, entry.announcement) }
            }

            is StoreEntry.HostRemoved -> removeHost(entry.host)

            is StoreEntry.Crashes -> receive(entry, isFullListing)

            is StoreEntry.Limits -> receive(entry, isFullListing)

            is StoreEntry.Unreadable -> {
                reportUnreadable(entry)
                entry.target?.let { removeTarget(it, "entry-unreadable") }
            }
        }
    }

    private fun removeHost(host: HostId) {
        when {
            // A write that the store executed late may have bound it to an earlier lease.
            host == state.profile.host -> state.announcementDue.trySend(Unit)

            // Its lease may have ended before the host could write again.
            state.isStoreSettling() -> state.doubtHosts(setOf(host))

            else -> state.hosts.update { it.remove(host) }
        }
    }

    /** Logs [entry] once, since its writer may repeat it as often as a target its record. */
    private fun reportUnreadable(entry: StoreEntry.Unreadable) {
        val reason = entry.reason.take(LOGGED_CHARACTERS)
        if (unreadable[entry.key] == reason) return
        if (unreadable.size >= MAXIMUM_UNREADABLE) unreadable = persistentMapOf()
        unreadable = unreadable.put(entry.key, reason)
        logWarning("store-entry-unreadable") {
            "key" to entry.key.take(LOGGED_CHARACTERS)
            "reason" to reason
        }
    }

    private fun receive(entry: StoreEntry.Crashes, isFullListing: Boolean) {
        if (entry.host == state.profile.host) return
        val now = state.readClock()
        val elapsed = elapsed(entry.report.publishedAt, now, isFullListing)
        val evidence = entry.report.toEvidence(now, elapsed).copy(isExact = !isFullListing)
        state.updateCrashes { it.received(evidence, now.monotonic) }
    }

    private fun receive(entry: StoreEntry.Limits, isFullListing: Boolean) {
        if (entry.host == state.profile.host) return
        val now = state.readClock()
        val elapsed = elapsed(entry.report.publishedAt, now, isFullListing)
        state.shares.receive(entry.report.toStatements(now, elapsed))
    }

    /** Time since a publication at [publishedAt], as far as the wall clocks of the hosts agree. */
    private fun elapsed(publishedAt: Long, now: ClockReading, isFullListing: Boolean): Duration {
        // A report that is read as a change was written recently, whatever the clocks say.
        val maximum = if (isFullListing) CrashEvidence.VALIDITY else MAXIMUM_REPORT_DELAY
        return (now.wallMillis - publishedAt).milliseconds.coerceIn(Duration.ZERO, maximum)
    }

    private fun adopt(entry: StoreEntry.Configuration) {
        val before = state.configuration.value.version
        val after = state.configuration.update { it.adopted(entry.configuration) }.version
        if (before == after) return
        logEvent("configuration-adopted") {
            "version" to after
            "before" to before
            "routes" to entry.configuration.routes.size
        }
    }

    private fun putTarget(record: TargetRecord) {
        val known = state.directory.value.targets[record.id]
        val before = known?.record
        if (before != null && record.precedes(before)) return reportOutdated(record, before)
        state.directory.update { it.put(record, state.clock.now()) }
        val isNew = record.startsNewRun(before)
        if (isNew) state.forget(record.id)
        if (!isNew && before?.leaving == record.leaving && known?.missingSince == null) return
        logEvent("target-listed") {
            "target" to record.id
            "service" to record.service
            "address" to record.endpoint
            "data-centre" to record.dataCentre
            "leaving" to record.leaving
        }
    }

    private fun TargetRecord.startsNewRun(before: TargetRecord?): Boolean =
        before == null || (before.startedAt != startedAt && !precedes(before))

    private fun reportOutdated(record: TargetRecord, known: TargetRecord) {
        logEvent("target-record-outdated") {
            "target" to record.id
            "leaving" to record.leaving
            "started-at" to record.startedAt
            "known-started-at" to known.startedAt
            "sequence" to record.sequence
            "known-sequence" to known.sequence
        }
    }

    private fun removeTarget(target: TargetId, reason: String) {
        if (target !in state.directory.value.targets) return
        state.directory.update { it.removed(target, state.clock.now()) }
        logEvent("target-removed") {
            "target" to target
            "reason" to reason
        }
    }

    private companion object {
        /** A report is read within the longest pause between calls, plus the time of two calls. */
        val MAXIMUM_REPORT_DELAY = 1.seconds
        const val LOGGED_CHARACTERS = 200

        /** Unreadable entries that are remembered. */
        const val MAXIMUM_UNREADABLE = 1_000
    }
}
