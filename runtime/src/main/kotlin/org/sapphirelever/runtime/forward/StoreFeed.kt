/*
 * Synchronisation of this host with the store: configuration, targets, other hosts and reports. One
 * call at a time waits for changes of all of them, so that the number of calls to the store does
 * not grow with the number of targets.
 */
package org.sapphirelever.runtime.forward

import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.TargetRecord
import org.sapphirelever.decisions.forwarding.ClockReading
import org.sapphirelever.decisions.forwarding.TargetLimits
import org.sapphirelever.decisions.forwarding.WatchCall
import org.sapphirelever.decisions.forwarding.WatchSchedule
import org.sapphirelever.decisions.forwarding.adopted
import org.sapphirelever.decisions.forwarding.changesArrive
import org.sapphirelever.decisions.forwarding.confirmed
import org.sapphirelever.decisions.forwarding.isListingShorter
import org.sapphirelever.decisions.forwarding.listed
import org.sapphirelever.decisions.forwarding.maximumReadyAge
import org.sapphirelever.decisions.forwarding.precedes
import org.sapphirelever.decisions.forwarding.put
import org.sapphirelever.decisions.forwarding.removed
import org.sapphirelever.decisions.forwarding.storeAnswered
import org.sapphirelever.decisions.forwarding.storeLost
import org.sapphirelever.decisions.forwarding.storeUnreachable
import org.sapphirelever.decisions.forwarding.watchWait
import org.sapphirelever.decisions.suspicion.CrashEvidence
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.runtime.log.logWarning

/** Follows [store], applies its changes to [state], and announces this host. */
public class StoreFeed(private val store: ForwardingStore, private val state: ForwardingState) {
    private var revision: Long? = null
    private var isLost = false

    /** Size of the last listing. */
    private var listingBytes = 0L

    /** Whether any byte of the answer to the latest call arrived. */
    private var hasAnswerBegun = false

    /** Reasons of the unreadable entries that are already logged, by key. */
    private var unreadable: PersistentMap<String, String> = persistentMapOf()

    private val withdrawn = CompletableDeferred<Unit>()

    /** Follows the store until cancelled. */
    public suspend fun follow() {
        var schedule = WatchSchedule()
        while (true) {
            val call =
                try {
                    watch()
                } catch (failure: IOException) {
                    recordLoss(failure)
                    null
                }
            if (call != null) {
                recordAnswer(call)
                schedule = schedule.after(call)
            }
            delay(if (call != null) schedule.pause else RETRY_PERIOD)
        }
    }

    /** Waits for changes. The store may cut a watch, so another call decides whether it is lost. */
    private suspend fun watch(): WatchCall {
        val age = state.configuration.value.age(state.readClock())
        val wait = watchWait(age, maximumReadyAge(state.profile.maximumRevocationDelay))
        if (isLost || revision == null) return read(Duration.ZERO)
        return try {
            read(wait)
        } catch (failure: IOException) {
            logEvent("watch-cut") { "failure" to failure.message }
            read(Duration.ZERO)
        }
    }

    /** Announces this host and renews the lease of the announcement until [withdraw] is called. */
    public suspend fun announce() {
        var lease: StoreLease? = null
        while (!withdrawn.isCompleted) {
            lease =
                try {
                    val current = lease
                    if (current != null && store.renew(current)) {
                        current
                    } else {
                        store.announce(
                            state.profile.host,
                            state.profile.announcement,
                            maxOf(ANNOUNCEMENT_TTL, state.profile.minimumLeaseTtl)
                        )
                    }
                } catch (failure: IOException) {
                    logWarning("announcement-failed") { "failure" to failure.message }
                    lease
                }
            withTimeoutOrNull(ANNOUNCEMENT_RENEWAL_PERIOD) { withdrawn.await() }
        }
        lease?.let { revoke(it) }
    }

    /** Publishes the crash evidence of this host whenever it is due. */
    public suspend fun publishCrashes() {
        publishWhenDue("crashes", state.crashReportDue) {
            val now = state.readClock()
            val evidence = state.updateCrashes { it.copy(publishedAt = now.monotonic) }
            val report = evidence.publication().toMessage(now)
            store.publish(state.profile.host, report, CrashEvidence.VALIDITY)
        }
    }

    /** Publishes the request limits that this host heard whenever it is due. */
    public suspend fun publishLimits() {
        publishWhenDue("limits", state.shares.reportDue) {
            val report = state.shares.publication().toMessage(state.readClock())
            store.publish(state.profile.host, report, TargetLimits.VALIDITY)
        }
    }

    private suspend fun publishWhenDue(
        what: String,
        due: Channel<Unit>,
        publish: suspend () -> Unit
    ) {
        while (true) {
            due.receive()
            // Events with the same cause, such as a crash, are published together.
            delay(GATHERING_TIME)
            val isPublished =
                try {
                    publish()
                    logEvent("report-published") { "of" to what }
                    true
                } catch (failure: IOException) {
                    logWarning("report-unpublished") {
                        "of" to what
                        "failure" to failure.message
                    }
                    false
                }
            if (!isPublished) due.trySend(Unit)
            delay(if (isPublished) reportPeriod() else RETRY_PERIOD)
        }
    }

    private fun reportPeriod(): Duration = CrashEvidence.publicationPeriod(state.hosts.value.size)

    /** Withdraws the announcement, so that other hosts send no more work to this one. */
    public fun withdraw() {
        withdrawn.complete(Unit)
    }

    private suspend fun revoke(lease: StoreLease) {
        try {
            store.revoke(lease)
        } catch (failure: IOException) {
            logWarning("withdrawal-failed") { "failure" to failure.message }
        }
    }

    /**
     * Reads the changes after the known revision. Lists all entries if no revision is known, and if
     * the changes are no longer kept or take longer to receive than a listing.
     */
    private suspend fun read(wait: Duration): WatchCall {
        hasAnswerBegun = false
        val known = revision ?: return list()
        val sentAt = state.readClock()
        when (val changes = store.changes(known, wait, ::readsOn)) {
            is StoreChanges.Whole -> {
                val answeredAt = state.readClock()
                val received = changes.entries
                adopt(received)
                return received.call
                    ?: WatchCall(sentAt, answeredAt, wait, received.entries.isNotEmpty())
            }

            is StoreChanges.CutOff -> {
                adopt(changes.entries)
                throw changes.failure
            }

            StoreChanges.TooLong -> logEvent("store-changes-long") { "after" to known }

            StoreChanges.HistoryGone -> {
                state.configuration.update { it.changesArrive(state.readClock()) }
                logEvent("store-history-gone") { "after" to known }
            }
        }
        return list()
    }

    private suspend fun list(): WatchCall {
        val sentAt = state.readClock()
        val listing = store.entries()
        val answeredAt = state.readClock()
        listingBytes = listing.bytes
        adopt(listing)
        return WatchCall(sentAt, answeredAt, Duration.ZERO, listing.entries.isNotEmpty())
    }

    private fun adopt(received: StoreEntries) {
        apply(received)
        revision = maxOf(received.revision, revision ?: 0)
    }

    private fun readsOn(answerBytes: Long): Boolean {
        hasAnswerBegun = true
        state.configuration.update { it.changesArrive(state.readClock()) }
        return !isListingShorter(answerBytes, listingBytes)
    }

    private fun recordAnswer(call: WatchCall) {
        state.directory.update { it.storeAnswered(state.clock.now()) }
        state.configuration.update { it.confirmed(call.confirmedAt) }
        if (!isLost) return
        isLost = false
        logEvent("store-regained") { "revision" to revision }
    }

    private fun recordLoss(failure: IOException) {
        state.directory.update { it.storeLost(state.clock.now()) }
        if (!hasAnswerBegun) state.configuration.update { it.storeUnreachable() }
        if (isLost) return
        isLost = true
        logWarning("store-lost") { "failure" to failure.message }
    }

    private fun apply(received: StoreEntries) {
        val now = state.readClock()
        if (received.isFullListing) {
            val records = received.entries.filterIsInstance<StoreEntry.Target>().map { it.record }
            val emptied = received.entries.filterIsInstance<StoreEntry.Evacuation>()
                .associate { it.dataCentre to it.revision }
            val before = state.directory.value.targets
            records.filter { it.startsNewRun(before[it.id]?.record) }
                .forEach { state.forget(it.id) }
            state.evacuations.updateDirectory { directory ->
                val evacuations = directory.evacuations
                    .listed(emptied, received.revision, now.monotonic)
                directory.copy(evacuations = evacuations).listed(records, now)
            }
            val hosts = received.entries.filterIsInstance<StoreEntry.Host>()
            state.hosts.update { known ->
                hosts.fold(known.clear()) { all, entry -> all.put(entry.host, entry.announcement) }
                    .put(state.profile.host, state.profile.announcement)
            }
        }
        received.entries.forEach { apply(it, received.isFullListing) }
        state.evacuations.read(received.revision)
        state.shares.followHosts()
    }

    private fun apply(entry: StoreEntry, isFullListing: Boolean) {
        when (entry) {
            is StoreEntry.Configuration -> adopt(entry)

            is StoreEntry.Target -> if (!isFullListing) putTarget(entry.record)

            is StoreEntry.TargetRemoved -> removeTarget(entry.target, "entry-removed")

            is StoreEntry.Evacuation -> state.evacuations.apply(entry)

            is StoreEntry.Host -> state.hosts.update { it.put(entry.host, entry.announcement) }

            is StoreEntry.HostRemoved ->
                state.hosts.update { hosts ->
                    hosts.remove(entry.host).put(state.profile.host, state.profile.announcement)
                }

            is StoreEntry.Crashes -> receive(entry, isFullListing)

            is StoreEntry.Limits -> receive(entry, isFullListing)

            is StoreEntry.Unreadable -> {
                reportUnreadable(entry)
                entry.target?.let { removeTarget(it, "entry-unreadable") }
            }
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
        val RETRY_PERIOD = 250.milliseconds

        /** A report is read within the longest pause between calls, plus the time of two calls. */
        val MAXIMUM_REPORT_DELAY = 1.seconds

        /** Longer than it takes to notice that the connections to a crashed target broke. */
        val GATHERING_TIME = 50.milliseconds
        const val LOGGED_CHARACTERS = 200

        /** Unreadable entries that are remembered. */
        const val MAXIMUM_UNREADABLE = 1_000
        val ANNOUNCEMENT_TTL = 6.seconds
        val ANNOUNCEMENT_RENEWAL_PERIOD = 2.seconds
    }
}
