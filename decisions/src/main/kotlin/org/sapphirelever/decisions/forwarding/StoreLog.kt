/*
 * What a host that reads the store can tell others: the latest changes, as the store encoded them,
 * and until when the store confirmed that there are no more.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/** An answer of the store with changes up to [revision], in the store's encoding. */
public data class EncodedChanges(public val revision: Long, public val text: String)

/** The [pages] of a listing up to [revision], in the store's encoding. */
public data class EncodedListing(
    public val revision: Long,
    public val pages: PersistentList<String>,
    public val confirmedAt: ClockReading
)

/** What a host answers to one that follows it. */
public sealed interface LogAnswer {
    /**
     * Everything up to [revision] of [era].
     *
     * @property listing the encoded pages of a listing up to [revision], if the requested position
     *   is of an earlier era; there are no changes then
     * @property changes answers of the store that reach beyond the requested revision
     * @property age age of the confirmation when the request was received; negative if the store
     *   confirmed later
     */
    public data class Known(
        public val revision: Long,
        public val changes: PersistentList<EncodedChanges>,
        public val age: Duration,
        public val era: Long = 0,
        public val listing: PersistentList<String> = persistentListOf()
    ) : LogAnswer

    public data class Refused(public val failure: ReaderFailure) : LogAnswer
}

/** The last call of this host that the store answered; see [WatchCall.confirmedAt]. */
public data class StoreContact(
    public val answeredAt: ClockReading,
    public val confirmedAt: ClockReading
)

/**
 * Changes after the revision [start] up to [revision] of [era].
 *
 * @property listing the listing with which this host followed the store into [era], if it did
 * @property changes the answers of the store that held them, oldest first
 * @property contact last answer of the store; null before the first one and after a failed call
 * @property isLost whether the last call without a wait failed
 */
public data class StoreLog(
    public val start: Long = 0,
    public val revision: Long = 0,
    public val changes: PersistentList<EncodedChanges> = persistentListOf(),
    public val contact: StoreContact? = null,
    public val isLost: Boolean = false,
    public val era: Long = 0,
    public val listing: EncodedListing? = null
) {
    /**
     * The log with the answer to [call], which asked for changes after [after] and got [text] up to
     * [reached]; [text] is null if there were none. The log starts anew if it does not continue.
     */
    public fun answered(after: Long, reached: Long, text: String?, call: WatchCall): StoreLog {
        val contact = StoreContact(call.answeredAt, call.confirmedAt)
        val continued =
            if (after == revision) {
                this
            } else {
                copy(start = after, revision = after, changes = persistentListOf())
            }
        val added =
            text?.let { continued.changes.add(EncodedChanges(reached, it)) } ?: continued.changes
        return continued
            .copy(revision = maxOf(reached, after), changes = added)
            .trimmed()
            .copy(contact = contact, isLost = false)
    }

    /**
     * The log after a listing up to [reached], whose encoded pages are [pages]; what changed before
     * it is unknown. The first listing of an era is kept for hosts that know only an earlier one.
     */
    public fun listed(
        reached: StorePosition,
        call: WatchCall,
        pages: PersistentList<String> = persistentListOf()
    ): StoreLog {
        val isKept = revision > 0 && reached.era > era && pages.isNotEmpty() &&
            pages.sumOf { it.length } <= MAXIMUM_CHARACTERS
        return StoreLog(
            start = reached.revision,
            revision = reached.revision,
            contact = StoreContact(call.answeredAt, call.confirmedAt),
            era = reached.era,
            listing =
                if (isKept) EncodedListing(reached.revision, pages, call.confirmedAt) else null
        )
    }

    /** The log after a call without a wait that failed. */
    public fun lost(): StoreLog = copy(contact = null, isLost = true)

    /** Whether the store answered recently enough that nothing is missing but what comes now. */
    public fun isCurrent(now: ClockReading): Boolean =
        contact?.let { now.since(it.answeredAt) <= READ_PERIOD + ANSWER_TIME } == true

    /** Time for which the store may hold the next call of a host that others follow. */
    public fun readWait(now: ClockReading): Duration {
        val elapsed = contact?.let { now.since(it.answeredAt) } ?: READ_PERIOD
        return (READ_PERIOD - elapsed).coerceIn(SHORTEST_WAIT, READ_PERIOD)
    }

    /** Time for which a request received at [now] may wait for an answer. */
    public fun holdTime(now: ClockReading): Duration {
        if (!isCurrent(now)) return LONGEST_HOLD
        val left = contact?.let { READ_PERIOD + ANSWER_TIME - now.since(it.answeredAt) }
        return (left ?: LONGEST_HOLD).coerceIn(SHORTEST_WAIT, LONGEST_HOLD)
    }

    /** Whether a request for changes after [after], received at [receivedAt], need not wait. */
    public fun hasNews(after: StorePosition, receivedAt: ClockReading): Boolean {
        if (isLost) return true
        if (!isCurrent(receivedAt)) return false
        val confirmedAgain = contact?.let { it.answeredAt.monotonic > receivedAt.monotonic } == true
        return after.era != era || after.revision < start || revision > after.revision ||
            confirmedAgain
    }

    /** The answer at [now] to a request for changes after [after], received at [receivedAt]. */
    public fun answer(
        after: StorePosition,
        receivedAt: ClockReading,
        now: ClockReading
    ): LogAnswer {
        val contact = contact
        return when {
            contact == null || !isCurrent(now) || after.era > era ->
                LogAnswer.Refused(ReaderFailure.NOT_READING)

            after.era < era -> listing?.takeIf { after.era > 0 }?.let { answer(it, receivedAt) }
                ?: LogAnswer.Refused(ReaderFailure.GAP)

            after.revision < start -> LogAnswer.Refused(ReaderFailure.GAP)

            else ->
                LogAnswer.Known(
                    revision,
                    changes.filter { it.revision > after.revision }.toPersistentList(),
                    receivedAt.since(contact.confirmedAt),
                    era
                )
        }
    }

    /** The changes since [listing] are for the next request. */
    private fun answer(listing: EncodedListing, receivedAt: ClockReading) = LogAnswer.Known(
        listing.revision,
        persistentListOf(),
        receivedAt.since(listing.confirmedAt),
        era,
        listing.pages
    )

    /** Drops the oldest changes beyond [MAXIMUM_CHARACTERS] or [MAXIMUM_ANSWERS]. */
    private fun trimmed(): StoreLog {
        var kept = changes
        while (kept.size > MAXIMUM_ANSWERS || kept.sumOf { it.text.length } > MAXIMUM_CHARACTERS) {
            kept = kept.removeAt(0)
        }
        val dropped = changes.size - kept.size
        if (dropped == 0) return this
        return copy(start = changes[dropped - 1].revision, changes = kept)
    }

    public companion object {
        /** A request is answered after this time even without news, as a sign of life. */
        public val LONGEST_HOLD: Duration = 400.milliseconds

        /** Time within which the store answers a host that others follow. */
        private val READ_PERIOD = 800.milliseconds

        /** Time of an answer beyond the wait, with a slow store. */
        private val ANSWER_TIME = 300.milliseconds
        private val SHORTEST_WAIT = 1.milliseconds

        /** Leaves room in a frame for characters of several bytes. */
        private const val MAXIMUM_CHARACTERS = 650_000

        /** More than the answers within the time in which a follower asks again. */
        private const val MAXIMUM_ANSWERS = 64
    }
}
