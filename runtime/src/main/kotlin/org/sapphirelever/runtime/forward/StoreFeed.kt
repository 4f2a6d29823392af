/*
 * Keeps this host's beliefs up to date with the store: configuration, targets, other hosts and
 * suspicions. One call at a fixed period covers all of them, so that the calls on the store do not
 * grow with the number of targets.
 */
package org.sapphirelever.runtime.forward

import java.io.IOException
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.TargetRecord
import org.sapphirelever.decisions.forwarding.Moment
import org.sapphirelever.decisions.forwarding.adopted
import org.sapphirelever.decisions.forwarding.confirmed
import org.sapphirelever.decisions.forwarding.listed
import org.sapphirelever.decisions.forwarding.put
import org.sapphirelever.decisions.forwarding.removed
import org.sapphirelever.decisions.forwarding.storeAnswered
import org.sapphirelever.decisions.forwarding.storeLost
import org.sapphirelever.decisions.suspicion.merged
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.runtime.log.logWarning

/** Reads [store] into [state]. */
public class StoreFeed(private val store: ForwardingStore, private val state: ForwardingState) {
    private var revision: Long? = null
    private var lost = false

    private val withdrawn = CompletableDeferred<Unit>()

    /** Follows the store until cancelled. */
    public suspend fun follow() {
        while (true) {
            val sentAt = state.moment()
            val answered =
                try {
                    read()
                    true
                } catch (failure: IOException) {
                    lost(failure)
                    false
                }
            if (answered) answered(sentAt)
            delay(if (answered) PERIOD else RETRY_PERIOD)
        }
    }

    /** Announces this host and renews its lease until it is withdrawn. */
    public suspend fun announce() {
        var lease: StoreLease? = null
        while (!withdrawn.isCompleted) {
            lease =
                try {
                    val held = lease
                    if (held != null && store.renew(held)) {
                        held
                    } else {
                        store.announce(
                            state.profile.host,
                            state.profile.announcement,
                            maxOf(ANNOUNCEMENT_LIFETIME, state.profile.minimumLeaseTtl)
                        )
                    }
                } catch (failure: IOException) {
                    logWarning("announcement-failed") { "failure" to failure.message }
                    lease
                }
            withTimeoutOrNull(ANNOUNCEMENT_PERIOD) { withdrawn.await() }
        }
        lease?.let { end(it) }
    }

    /** Ends the announcement, so that other hosts pass no more work to this one. */
    public fun withdraw() {
        withdrawn.complete(Unit)
    }

    private suspend fun end(lease: StoreLease) {
        try {
            store.end(lease)
        } catch (failure: IOException) {
            logWarning("withdrawal-failed") { "failure" to failure.message }
        }
    }

    private suspend fun read() {
        val known = revision
        val changes = known?.let { store.changes(it) }
        if (known != null && changes == null) logEvent("store-history-gone") { "after" to known }
        val facts = changes ?: store.facts()
        apply(facts)
        revision = maxOf(facts.revision, known ?: 0)
    }

    private fun answered(sentAt: Moment) {
        state.directory.update { it.storeAnswered(state.clock.now()) }
        state.belief.update { it.confirmed(sentAt) }
        if (!lost) return
        lost = false
        logEvent("store-regained") { "revision" to revision }
    }

    private fun lost(failure: IOException) {
        state.directory.update { it.storeLost() }
        if (lost) return
        lost = true
        logWarning("store-lost") { "failure" to failure.message }
    }

    private fun apply(facts: StoreFacts) {
        val now = state.clock.now()
        if (facts.complete) {
            val records = facts.facts.filterIsInstance<StoreFact.Target>().map { it.record }
            state.directory.update { it.listed(records, now) }
            val hosts = facts.facts.filterIsInstance<StoreFact.Host>()
            state.hosts.update { known ->
                hosts.fold(known.clear()) { all, fact -> all.put(fact.host, fact.announcement) }
                    .put(state.profile.host, state.profile.announcement)
            }
        }
        facts.facts.forEach(::apply)
    }

    private fun apply(fact: StoreFact) {
        when (fact) {
            is StoreFact.Configuration -> adopt(fact)

            is StoreFact.Target -> putTarget(fact.record)

            is StoreFact.TargetGone -> removeTarget(fact.target, "entry-removed")

            is StoreFact.Host -> state.hosts.update { it.put(fact.host, fact.announcement) }

            is StoreFact.HostGone ->
                state.hosts.update { hosts ->
                    hosts.remove(fact.host).put(state.profile.host, state.profile.announcement)
                }

            is StoreFact.Crash ->
                state.suspicion.update { it.merged(listOf(fact.mark), state.clock.now()) }

            is StoreFact.Unreadable -> {
                logWarning("store-entry-unreadable") {
                    "key" to fact.key
                    "reason" to fact.reason
                }
                fact.target?.let { removeTarget(it, "entry-unreadable") }
            }
        }
    }

    private fun adopt(fact: StoreFact.Configuration) {
        val before = state.belief.value.version
        val after = state.belief.update { it.adopted(fact.configuration) }.version
        if (before == after) return
        logEvent("configuration-adopted") {
            "version" to after
            "before" to before
            "routes" to fact.configuration.routes.size
        }
    }

    private fun putTarget(record: TargetRecord) {
        val known = state.directory.value.targets[record.id]
        state.directory.update { it.put(record) }
        val before = known?.record
        val isNew = before == null || before.startedAt != record.startedAt
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

    private fun removeTarget(target: TargetId, reason: String) {
        if (target !in state.directory.value.targets) return
        state.directory.update { it.removed(target, state.clock.now()) }
        logEvent("target-removed") {
            "target" to target
            "reason" to reason
        }
    }

    private companion object {
        /** Inside the shortest bound on configurations and leaving targets (2 s), with a retry. */
        val PERIOD = 700.milliseconds
        val RETRY_PERIOD = 250.milliseconds
        val ANNOUNCEMENT_LIFETIME = 6.seconds
        val ANNOUNCEMENT_PERIOD = 2.seconds
    }
}
