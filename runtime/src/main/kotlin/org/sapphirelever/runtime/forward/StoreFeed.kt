/*
 * Reading of the store by this host: configuration, targets, other hosts and reports. One call at a
 * time waits for changes of all of them, so that the number of calls to the store does not grow
 * with the number of targets.
 */
package org.sapphirelever.runtime.forward

import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.delay
import org.sapphirelever.decisions.forwarding.AnswerUse
import org.sapphirelever.decisions.forwarding.StorePosition
import org.sapphirelever.decisions.forwarding.WatchCall
import org.sapphirelever.decisions.forwarding.WatchSchedule
import org.sapphirelever.decisions.forwarding.changesArrive
import org.sapphirelever.decisions.forwarding.confirmed
import org.sapphirelever.decisions.forwarding.isListingShorter
import org.sapphirelever.decisions.forwarding.maximumReadyAge
import org.sapphirelever.decisions.forwarding.storeAnswered
import org.sapphirelever.decisions.forwarding.storeLost
import org.sapphirelever.decisions.forwarding.storeUnreachable
import org.sapphirelever.decisions.forwarding.watchWait
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.runtime.log.logWarning

/** Follows [store] and applies its changes to [state]. */
public class StoreFeed(private val store: ForwardingStore, private val state: ForwardingState) {
    private val handler = StoreEntryHandler(state)
    private var position: StorePosition? = null
    private var isLost = false

    /** Size of the last listing. */
    private var listingBytes = 0L

    /** Whether any byte of the answer to the latest call arrived. */
    private var hasAnswerBegun = false

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
        if (isLost || position == null) return read(Duration.ZERO)
        return try {
            read(wait)
        } catch (failure: IOException) {
            logEvent("watch-cut") { "failure" to failure.message }
            read(Duration.ZERO)
        }
    }

    /**
     * Reads the changes after the known position. Lists all entries if no position is known, and if
     * the changes are no longer kept, take longer to receive than a listing, or are of a later era.
     */
    private suspend fun read(wait: Duration): WatchCall {
        hasAnswerBegun = false
        val known = position
        if (known == null || state.recovery.value.era?.let { known.era < it } == true) return list()
        val sentAt = state.readClock()
        when (val changes = store.changes(known, wait, ::readsOn)) {
            is StoreChanges.Whole -> {
                val answeredAt = state.readClock()
                val received = changes.entries
                if (!adopt(received)) return list()
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
        return listing.call
            ?: WatchCall(sentAt, answeredAt, Duration.ZERO, listing.entries.isNotEmpty())
    }

    /** Applies [received]; false if a listing is needed instead. */
    private fun adopt(received: StoreEntries): Boolean {
        val known = position
        val reached = received.position
        state.observeEra(reached.era)
        when (state.recovery.value.use(known, reached, received.isFullListing)) {
            AnswerUse.DROP -> throw StoreException("answer of the earlier era ${reached.era}")
            AnswerUse.LIST -> return false
            AnswerUse.APPLY -> Unit
        }
        if (known != null && reached.era > known.era) reportReturn(known, received)
        handler.apply(received)
        position = maxOf(reached, known ?: StorePosition.START)
        return true
    }

    private fun reportReturn(known: StorePosition, received: StoreEntries) {
        val age = state.configuration.value.age(state.readClock())
        logWarning("store-returned") {
            "era" to received.position.era
            "before" to known
            "after" to received.position
            "entries" to received.entries.size
            "confirmed-ms-ago" to age?.inWholeMilliseconds
            "from-host" to (received.call?.relayedAge != null)
        }
    }

    private fun readsOn(answerBytes: Long): Boolean {
        hasAnswerBegun = true
        state.configuration.update { it.changesArrive(state.readClock()) }
        return !isListingShorter(answerBytes, listingBytes)
    }

    private fun recordAnswer(call: WatchCall) {
        state.directory.update { it.storeAnswered(state.clock.now()) }
        position?.let { handler.settleIfDue(it) }
        state.configuration.update { it.confirmed(call.confirmedAt) }
        if (!isLost) return
        isLost = false
        logEvent("store-regained") {
            "revision" to position?.revision
            "era" to position?.era
        }
    }

    private fun recordLoss(failure: IOException) {
        state.directory.update { it.storeLost(state.clock.now()) }
        if (!hasAnswerBegun) state.configuration.update { it.storeUnreachable() }
        if (isLost) return
        isLost = true
        logWarning("store-lost") { "failure" to failure.message }
    }

    private companion object {
        val RETRY_PERIOD = 250.milliseconds
    }
}
