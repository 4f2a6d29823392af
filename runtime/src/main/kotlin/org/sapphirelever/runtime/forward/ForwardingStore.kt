/*
 * Interface of the external store that holds configuration, targets, hosts and crash reports.
 */
package org.sapphirelever.runtime.forward

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.flow.StateFlow
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.HostId
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.ForwardingConfiguration
import org.sapphirelever.core.forwarding.HostAnnouncement
import org.sapphirelever.core.forwarding.TargetRecord
import org.sapphirelever.decisions.forwarding.StorePosition
import org.sapphirelever.decisions.forwarding.WatchCall
import org.sapphirelever.wire.CrashReportMessage
import org.sapphirelever.wire.LimitReportMessage

/** An entry of the store, or the removal of one. */
public sealed interface StoreEntry {
    public data class Configuration(public val configuration: ForwardingConfiguration) : StoreEntry

    public data class Target(public val record: TargetRecord) : StoreEntry

    public data class TargetRemoved(public val target: TargetId) : StoreEntry

    /** The operator asked at [revision] to empty [dataCentre], or took that back. */
    public data class Evacuation(
        public val dataCentre: DataCentre,
        public val isEmptied: Boolean,
        public val revision: Long
    ) : StoreEntry

    /** A forwarding host, with the address at which other hosts connect and its capacity. */
    public data class Host(public val host: HostId, public val announcement: HostAnnouncement) :
        StoreEntry

    public data class HostRemoved(public val host: HostId) : StoreEntry

    /** What [host] observed about crashes of targets. */
    public data class Crashes(public val host: HostId, public val report: CrashReportMessage) :
        StoreEntry

    /** Request limits that [host] heard from targets. */
    public data class Limits(public val host: HostId, public val report: LimitReportMessage) :
        StoreEntry

    /** An entry that cannot be decoded. [target] is set if it belongs to a target. */
    public data class Unreadable(
        public val key: String,
        public val reason: String,
        public val target: TargetId? = null
    ) : StoreEntry
}

/**
 * Entries up to [position].
 *
 * @property isFullListing whether these are all entries; any other known entry no longer exists
 * @property bytes size of the answer that held them
 * @property encoded changes as the store encoded them, for [ForwardingStore.decode]; null if there
 *   are none
 * @property pages pages of a full listing as the store encoded them
 * @property call the call that they answer, if it differs from the requested one
 */
public data class StoreEntries(
    public val entries: PersistentList<StoreEntry>,
    public val position: StorePosition,
    public val isFullListing: Boolean,
    public val bytes: Long = 0,
    public val encoded: String? = null,
    public val pages: PersistentList<String> = persistentListOf(),
    public val call: WatchCall? = null
)

/** How a call for changes ended. */
public sealed interface StoreChanges {
    /** The whole answer arrived. */
    public data class Whole(public val entries: StoreEntries) : StoreChanges

    /** The answer broke off with [failure]; [entries] arrived before. */
    public data class CutOff(
        public val entries: StoreEntries,
        public val failure: java.io.IOException
    ) : StoreChanges

    /** The answer was not read to its end because it is longer than a listing. */
    public data object TooLong : StoreChanges

    /** The store has compacted the history of these changes. */
    public data object HistoryGone : StoreChanges
}

/** Decides whether an answer is read to its end. */
public fun interface AnswerReader {
    /**
     * Called when the head of an answer has arrived, and again after each part of one that states
     * no length. [bytes] is the stated length, or else what has arrived.
     */
    public fun readsOn(bytes: Long): Boolean
}

/**
 * A lease in the store that this process holds.
 *
 * @property era era of the store that granted it; in a later one, its id may belong to another host
 */
public data class StoreLease(
    public val id: Long,
    public val lifetime: Duration,
    public val era: Long = 0
)

/** The store rejected a call, or gave no usable answer. */
public class StoreException(message: String, cause: Throwable? = null) :
    java.io.IOException(message, cause)

/**
 * Client of the store. Each call throws [StoreException] if it has no usable answer; an answer of
 * an earlier era than the latest one is none.
 */
public interface ForwardingStore {
    /** The latest era that any answer stated, refusals included; null before the first answer. */
    public val era: StateFlow<Long?>

    /** Lists all entries. */
    public suspend fun entries(): StoreEntries

    /**
     * Entries changed after [after]. If there are none, the store waits for the next change for up
     * to [wait]. The answer is read while [reader] permits. Changes of a later era need not
     * continue those up to [after].
     */
    public suspend fun changes(
        after: StorePosition,
        wait: Duration,
        reader: AnswerReader
    ): StoreChanges

    /**
     * Decodes the entries changed after [revision] from the [encoded] changes of an earlier answer,
     * which another host received.
     */
    public fun decode(encoded: String, revision: Long): PersistentList<StoreEntry>

    /** Decodes the entries of a listing from its encoded [pages], which another host received. */
    public fun decodeListing(pages: List<String>): PersistentList<StoreEntry>

    /** Announces [host] under a new lease of [lifetime]. */
    public suspend fun announce(
        host: HostId,
        announcement: HostAnnouncement,
        lifetime: Duration
    ): StoreLease

    /** Renews [lease]; false if it has expired, or if the store is in a later era by now. */
    public suspend fun renew(lease: StoreLease): Boolean

    public suspend fun revoke(lease: StoreLease)

    /** Replaces the crash report of [host] for [lifetime]. */
    public suspend fun publish(host: HostId, report: CrashReportMessage, lifetime: Duration)

    /** Replaces the limits that [host] heard for [lifetime]. */
    public suspend fun publish(host: HostId, report: LimitReportMessage, lifetime: Duration)

    /**
     * Claims [name] for [lifetime]; false if a host, this one included, holds the claim, or may
     * hold it because the store has just entered a later era.
     */
    public suspend fun claim(name: String, lifetime: Duration): Boolean
}
