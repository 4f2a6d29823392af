/*
 * Reads of the store by the hosts of a data centre. One of them calls the store and the others take
 * its answers, so that the calls do not grow with the number of hosts. A host whose reader fails
 * calls the store at once.
 */
package org.sapphirelever.runtime.forward

import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.delay
import org.sapphirelever.core.HostId
import org.sapphirelever.decisions.forwarding.ClockReading
import org.sapphirelever.decisions.forwarding.LostReaders
import org.sapphirelever.decisions.forwarding.ReaderFailure
import org.sapphirelever.decisions.forwarding.StorePosition
import org.sapphirelever.decisions.forwarding.StoreSource
import org.sapphirelever.decisions.forwarding.WatchCall
import org.sapphirelever.decisions.forwarding.maximumReadyAge
import org.sapphirelever.decisions.forwarding.maximumRelayedAge
import org.sapphirelever.decisions.forwarding.readerOrder
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.wire.peer.StoreChangesReply
import org.sapphirelever.wire.peer.StoreRefusal

/**
 * Reads changes of [store] through another host where one reads them for the data centre; all other
 * calls go to [store]. Only one task may read.
 */
public class DataCentreStore(
    private val store: ForwardingStore,
    private val follower: StoreFollower,
    private val relay: StoreRelay,
    private val state: ForwardingState,
    private val reads: StoreReads
) : ForwardingStore by store {
    private val self = state.profile.host
    private var lostReaders = LostReaders()
    private var source: StoreSource = StoreSource.Store(isFollowed = false)

    /** Position that this host has read up to. */
    private var position = StorePosition.START

    /** Lists the store, or takes its listing from another host after the store returned. */
    override suspend fun entries(): StoreEntries {
        val isBehind = position.era < (state.recovery.value.era ?: 0)
        val relayed = if (isBehind && state.isStoreSettling()) relayedListing() else null
        val listing = relayed ?: listStore()
        position = listing.position
        return listing
    }

    private suspend fun listStore(): StoreEntries {
        val sentAt = state.readClock()
        val listing = store.entries()
        val call = WatchCall(sentAt, state.readClock(), Duration.ZERO, hasChanges = true)
        relay.update { it.listed(listing.position, call, listing.pages) }
        reads.listings.incrementAndGet()
        return listing
    }

    /**
     * The listing of one of the hosts that read the store for this one, so that not all hosts list
     * it at the same time; null if this host is the first reader, or none of them answers.
     */
    private suspend fun relayedListing(): StoreEntries? {
        val order = readerOrder(state.profile.dataCentre, state.hosts.value)
        if (order.size < MINIMUM_HOSTS) return null
        return order.takeWhile { it != self }
            .take(LISTING_READERS)
            .firstNotNullOfOrNull { listingOf(it) }
    }

    private suspend fun listingOf(reader: HostId): StoreEntries? {
        repeat(LISTING_ATTEMPTS) {
            val sentAt = state.readClock()
            val reply =
                try {
                    follower.ask(reader, position)
                } catch (failure: IOException) {
                    logEvent("store-listing-failed") {
                        "reader" to reader
                        "failure" to failure.message
                    }
                    return null
                }
            reply.toListing(sentAt)?.let { return it }
            // The reader learns of the return about when this host does.
            delay(LISTING_PAUSE)
        }
        return null
    }

    private fun StoreChangesReply.toListing(sentAt: ClockReading): StoreEntries? {
        val isLate = era < (state.recovery.value.era ?: 0)
        if (refusal != null || listing.isEmpty() || isLate) return null
        val call = relayedCall(sentAt)
        if (isOld(call)) return null
        val entries =
            try {
                store.decodeListing(listing)
            } catch (_: StoreException) {
                // The store's own listing tells whether it is unreadable.
                return null
            }
        reads.relayed.incrementAndGet()
        return StoreEntries(entries, StorePosition(era, revision), true, call = call)
    }

    private fun StoreChangesReply.relayedCall(sentAt: ClockReading): WatchCall {
        val hasChanges = changes.isNotEmpty() || listing.isNotEmpty()
        return WatchCall(
            sentAt,
            state.readClock(),
            Duration.ZERO,
            hasChanges,
            ageMillis.milliseconds
        )
    }

    private fun isOld(call: WatchCall): Boolean = call.answeredAt.since(call.confirmedAt) >
        maximumRelayedAge(maximumReadyAge(state.profile.maximumRevocationDelay))

    /** Without a [wait], the store itself is asked, unless this host cannot reach it. */
    override suspend fun changes(
        after: StorePosition,
        wait: Duration,
        reader: AnswerReader
    ): StoreChanges {
        position = after
        val now = state.clock.now()
        val order = readerOrder(state.profile.dataCentre, state.hosts.value)
        val chosen = lostReaders.source(self, order, now)
        recordSource(chosen)
        val mustCall = wait == Duration.ZERO && !lostReaders.isAvoided(self, now)
        return when (chosen) {
            is StoreSource.Store ->
                call(after, if (mustCall) wait else chosen.bounded(wait), reader)

            is StoreSource.Peer -> {
                val relayed = if (mustCall) null else follow(chosen.reader, after)
                relayed?.let { StoreChanges.Whole(it) } ?: call(after, Duration.ZERO, reader)
            }
        }
    }

    /** Followers have to notice soon that the store no longer answers this host. */
    private fun StoreSource.Store.bounded(wait: Duration): Duration =
        if (isFollowed) minOf(wait, relay.log.readWait(state.readClock())) else wait

    private suspend fun call(
        after: StorePosition,
        wait: Duration,
        reader: AnswerReader
    ): StoreChanges {
        val sentAt = state.readClock()
        val changes =
            try {
                store.changes(after, wait, reader)
            } catch (failure: IOException) {
                // The store may cut a call that waits.
                if (wait == Duration.ZERO) recordLoss()
                throw failure
            }
        if (changes is StoreChanges.CutOff && wait == Duration.ZERO) recordLoss()
        if (changes !is StoreChanges.Whole) return changes
        val received = changes.entries
        val call = WatchCall(sentAt, state.readClock(), wait, received.entries.isNotEmpty())
        // Changes of a later era do not continue the log; a listing follows.
        if (received.position.era == after.era) {
            val reached = received.position.revision
            relay.update { it.answered(after.revision, reached, received.encoded, call) }
        }
        lostReaders = lostReaders.regained(self)
        reads.storeCalls.incrementAndGet()
        return StoreChanges.Whole(received.copy(call = call))
    }

    private fun recordLoss() {
        relay.update { it.lost() }
        lostReaders = lostReaders.lost(self, state.clock.now())
    }

    /** Asks [reader] for the changes after [after]; null if the store has to be asked. */
    private suspend fun follow(reader: HostId, after: StorePosition): StoreEntries? {
        val sentAt = state.readClock()
        val reply =
            try {
                follower.ask(reader, after)
            } catch (failure: IOException) {
                return fallBack(reader, ReaderFailure.UNREACHABLE, failure.message)
            }
        state.observeEra(reply.era)
        reply.objection()?.let { return fallBack(reader, it) }
        val call = reply.relayedCall(sentAt)
        if (isOld(call)) {
            val age = call.answeredAt.since(call.confirmedAt)
            return fallBack(reader, ReaderFailure.OLD, "$age")
        }
        val entries =
            (if (reply.era > after.era) reply.toListing(sentAt) else reply.toEntries(after, call))
                ?: return fallBack(reader, ReaderFailure.UNREADABLE)
        reads.relayed.incrementAndGet()
        return entries
    }

    /** Why this reply is of no use, whatever it holds. */
    private fun StoreChangesReply.objection(): ReaderFailure? = when (refusal) {
        StoreRefusal.NOT_READING -> ReaderFailure.NOT_READING

        StoreRefusal.GAP -> ReaderFailure.GAP

        null ->
            ReaderFailure.EARLIER_ERA.takeIf { era < (state.recovery.value.era ?: 0) }
    }

    private fun StoreChangesReply.toEntries(after: StorePosition, call: WatchCall): StoreEntries? {
        if (changes.isNotEmpty() && revision <= after.revision) return null
        val entries =
            try {
                changes.flatMap { store.decode(it.text, after.revision) }
            } catch (_: StoreException) {
                // The store's own answer tells whether it is unreadable.
                return null
            }
        val reached = StorePosition(era, revision)
        return StoreEntries(entries.toPersistentList(), reached, false, call = call)
    }

    private fun fallBack(
        reader: HostId,
        cause: ReaderFailure,
        detail: String? = null
    ): StoreEntries? {
        reads.countFallback(cause)
        if (cause != ReaderFailure.GAP) {
            lostReaders = lostReaders.lost(reader, state.clock.now())
            follower.close()
        }
        logEvent("store-reader-failed") {
            "reader" to reader
            "cause" to cause.label
            "failure" to detail
            "avoided-ms" to lostReaders.avoidances[reader]?.pause?.inWholeMilliseconds
        }
        return null
    }

    private fun recordSource(chosen: StoreSource) {
        if (chosen == source) return
        source = chosen
        if (chosen is StoreSource.Store) follower.close()
        logEvent("store-reader-changed") {
            "reader" to if (chosen is StoreSource.Peer) chosen.reader else self
            "followed" to (chosen == StoreSource.Store(isFollowed = true))
        }
    }

    private companion object {
        /** With fewer hosts, none reads the store for others. */
        const val MINIMUM_HOSTS = 3
        const val LISTING_READERS = 2
        const val LISTING_ATTEMPTS = 3
        val LISTING_PAUSE = 150.milliseconds
    }
}
