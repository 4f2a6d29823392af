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
import org.sapphirelever.core.HostId
import org.sapphirelever.decisions.forwarding.LostReaders
import org.sapphirelever.decisions.forwarding.ReaderFailure
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

    override suspend fun entries(): StoreEntries {
        val sentAt = state.readClock()
        val listing = store.entries()
        val call = WatchCall(sentAt, state.readClock(), Duration.ZERO, hasChanges = true)
        relay.update { it.listed(listing.revision, call) }
        return listing
    }

    /** Without a [wait], the store itself is asked, unless this host cannot reach it. */
    override suspend fun changes(
        revision: Long,
        wait: Duration,
        reader: AnswerReader
    ): StoreChanges {
        val now = state.clock.now()
        val order = readerOrder(state.profile.dataCentre, state.hosts.value)
        val chosen = lostReaders.source(self, order, now)
        recordSource(chosen)
        val mustCall = wait == Duration.ZERO && !lostReaders.isAvoided(self, now)
        return when (chosen) {
            is StoreSource.Store ->
                call(revision, if (mustCall) wait else chosen.bounded(wait), reader)

            is StoreSource.Peer -> {
                val relayed = if (mustCall) null else follow(chosen.reader, revision)
                relayed?.let { StoreChanges.Whole(it) } ?: call(revision, Duration.ZERO, reader)
            }
        }
    }

    /** Followers have to notice soon that the store no longer answers this host. */
    private fun StoreSource.Store.bounded(wait: Duration): Duration =
        if (isFollowed) minOf(wait, relay.log.readWait(state.readClock())) else wait

    private suspend fun call(revision: Long, wait: Duration, reader: AnswerReader): StoreChanges {
        val sentAt = state.readClock()
        val changes =
            try {
                store.changes(revision, wait, reader)
            } catch (failure: IOException) {
                // The store may cut a call that waits.
                if (wait == Duration.ZERO) recordLoss()
                throw failure
            }
        if (changes is StoreChanges.CutOff && wait == Duration.ZERO) recordLoss()
        if (changes !is StoreChanges.Whole) return changes
        val received = changes.entries
        val call = WatchCall(sentAt, state.readClock(), wait, received.entries.isNotEmpty())
        relay.update { it.answered(revision, received.revision, received.encoded, call) }
        lostReaders = lostReaders.regained(self)
        reads.storeCalls.incrementAndGet()
        return StoreChanges.Whole(received.copy(call = call))
    }

    private fun recordLoss() {
        relay.update { it.lost() }
        lostReaders = lostReaders.lost(self, state.clock.now())
    }

    /** Asks [reader] for the changes after [revision]; null if the store has to be asked. */
    private suspend fun follow(reader: HostId, revision: Long): StoreEntries? {
        val sentAt = state.readClock()
        val reply =
            try {
                follower.ask(reader, revision)
            } catch (failure: IOException) {
                return fallBack(reader, ReaderFailure.UNREACHABLE, failure.message)
            }
        when (reply.refusal) {
            StoreRefusal.NOT_READING -> return fallBack(reader, ReaderFailure.NOT_READING)
            StoreRefusal.GAP -> return fallBack(reader, ReaderFailure.GAP)
            null -> Unit
        }
        val age = reply.ageMillis.milliseconds
        val hasChanges = reply.changes.isNotEmpty()
        val call = WatchCall(sentAt, state.readClock(), Duration.ZERO, hasChanges, age)
        val confirmedAge = call.answeredAt.since(call.confirmedAt)
        if (confirmedAge >
            maximumRelayedAge(maximumReadyAge(state.profile.maximumRevocationDelay))
        ) {
            return fallBack(reader, ReaderFailure.OLD, "$confirmedAge")
        }
        val entries =
            reply.toEntries(revision, call)
                ?: return fallBack(reader, ReaderFailure.UNREADABLE)
        reads.relayed.incrementAndGet()
        return entries
    }

    private fun StoreChangesReply.toEntries(after: Long, call: WatchCall): StoreEntries? {
        if (changes.isNotEmpty() && revision <= after) return null
        val entries =
            try {
                changes.flatMap { store.decode(it.text, after) }
            } catch (_: StoreException) {
                // The store's own answer tells whether it is unreadable.
                return null
            }
        return StoreEntries(entries.toPersistentList(), revision, false, call = call)
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
}
