/*
 * What this host writes to the store: its announcement under a lease, and its reports. All of it is
 * written again after the store returned from an older copy, spread over time.
 */
package org.sapphirelever.runtime.forward

import java.io.IOException
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.collectLatest
import kotlinx.coroutines.flow.distinctUntilChangedBy
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.decisions.forwarding.StoreRecovery
import org.sapphirelever.decisions.forwarding.TargetLimits
import org.sapphirelever.decisions.suspicion.CrashEvidence
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.runtime.log.logWarning

/** Announces this host in [store] and publishes its reports. */
public class HostPublications(
    private val store: ForwardingStore,
    private val state: ForwardingState
) {
    private val withdrawn = CompletableDeferred<Unit>()

    /** Announces this host and renews the lease of the announcement until [withdraw] is called. */
    public suspend fun announce() {
        var lease: StoreLease? = null
        var announcedAt: MonotonicTime? = null
        while (!withdrawn.isCompleted) {
            try {
                val current = lease
                if (current == null || !isRenewed(current)) {
                    lease = write()
                    announcedAt = state.clock.now()
                }
            } catch (failure: IOException) {
                logWarning("announcement-failed") { "failure" to failure.message }
            }
            if (awaitNext(lease, announcedAt)) lease = null
        }
        lease?.takeUnless { isOutdated(it) }?.let { revoke(it) }
    }

    /** Whether [lease] still holds, or is not to be replaced yet. */
    private suspend fun isRenewed(lease: StoreLease): Boolean =
        // The host writes again when its turn comes, which ends the wait for the next renewal.
        isOutdated(lease) || store.renew(lease)

    /** Whether [lease] is of an earlier era, so that its id may be that of another host. */
    private fun isOutdated(lease: StoreLease): Boolean =
        state.recovery.value.era?.let { lease.era < it } == true

    private suspend fun write(): StoreLease = store.announce(
        state.profile.host,
        state.profile.announcement,
        maxOf(ANNOUNCEMENT_TTL, state.profile.minimumLeaseTtl)
    )

    /** Waits for the next renewal; true if the announcement has to be written again. */
    private suspend fun awaitNext(lease: StoreLease?, announcedAt: MonotonicTime?): Boolean =
        select {
            withdrawn.onAwait { false }
            state.announcementDue.onReceive {
                // A listing that was sent before the last announcement does not have it yet.
                val mayBeListed =
                    announcedAt == null || state.clock.now() - announcedAt > LISTING_TIME
                mayBeListed || lease?.let { isOutdated(it) } == true
            }
            onTimeout(ANNOUNCEMENT_RENEWAL_PERIOD) { false }
        }

    /** Writes everything again after each return of the store from an older copy. */
    public suspend fun followEras() {
        state.recovery.distinctUntilChangedBy { it.era }.collectLatest { recovery ->
            if (!recovery.isReturn) return@collectLatest
            val spread = StoreRecovery.rewriteSpread(state.hosts.value.size)
            delay(spread * Random.nextDouble())
            state.announcementDue.trySend(Unit)
            if (state.crashEvidence.own.crashes.isNotEmpty()) state.crashReportDue.trySend(Unit)
            state.shares.publishAgain()
        }
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

    private companion object {
        val RETRY_PERIOD = 250.milliseconds

        /** Longer than it takes to notice that the connections to a crashed target broke. */
        val GATHERING_TIME = 50.milliseconds

        /** Time that a listing takes at most, with a slow store. */
        val LISTING_TIME = 2.seconds
        val ANNOUNCEMENT_TTL = 6.seconds
        val ANNOUNCEMENT_RENEWAL_PERIOD = 2.seconds
    }
}
