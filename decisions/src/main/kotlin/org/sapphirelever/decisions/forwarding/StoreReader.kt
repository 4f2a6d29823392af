/*
 * Which host of a data centre reads the store, and when the others stop taking its answers. All
 * hosts compute the same order, so that those that lose a reader agree on the next one.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.HostId
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.forwarding.HostAnnouncement

/** The hosts of [dataCentre] in the order in which they read the store for it. */
public fun readerOrder(dataCentre: DataCentre, hosts: Map<HostId, HostAnnouncement>): List<HostId> =
    hosts.filterValues { it.dataCentre == dataCentre }.inOrder(READER_PURPOSE)

/** Where a host gets the changes of the store from. */
public sealed interface StoreSource {
    /** Calls of its own, for itself or, if [isFollowed], for the other hosts as well. */
    public data class Store(public val isFollowed: Boolean) : StoreSource

    /** The answers of another host. */
    public data class Peer(public val reader: HostId) : StoreSource
}

/**
 * The hosts that failed as readers of the store, this one included if it cannot reach the store.
 *
 * @property avoidances failures by host
 */
public data class LostReaders(
    public val avoidances: PersistentMap<HostId, PeerAvoidance> = persistentMapOf()
) {
    /** Records that [host] failed at [now]; it is avoided for longer if it fails repeatedly. */
    public fun lost(host: HostId, now: MonotonicTime): LostReaders =
        LostReaders(avoidances.put(host, (avoidances[host] ?: PeerAvoidance()).lost(now)))

    /** Records that [host] reads the store again. */
    public fun regained(host: HostId): LostReaders = LostReaders(avoidances.remove(host))

    public fun isAvoided(host: HostId, now: MonotonicTime): Boolean =
        avoidances[host]?.let { now - it.lostAt < it.pause } == true

    /** The source of [self] at [now], where [order] lists the hosts of its data centre. */
    public fun source(self: HostId, order: List<HostId>, now: MonotonicTime): StoreSource {
        if (order.size < MINIMUM_HOSTS) return StoreSource.Store(isFollowed = false)
        val reader = order.firstOrNull { !isAvoided(it, now) }
        return when (reader) {
            null -> StoreSource.Store(isFollowed = false)
            self -> StoreSource.Store(isFollowed = true)
            else -> StoreSource.Peer(reader)
        }
    }
}

/** Why a host makes a call of its own instead of taking the answer of its reader. */
public enum class ReaderFailure {
    /** It did not answer, or the connection failed. */
    UNREACHABLE,

    /** It does not read the store, or the store does not answer it. */
    NOT_READING,

    /** It does not know the changes after the requested revision; it stays the reader. */
    GAP,

    /** Its confirmation is old. */
    OLD,

    /** It knows only an earlier era of the store. */
    EARLIER_ERA,

    /** Its answer cannot be decoded, or holds no changes after the requested revision. */
    UNREADABLE
}

/**
 * Age of a relayed confirmation from which a host makes a call of its own, so that it is answered
 * before the host stops being ready.
 */
public fun maximumRelayedAge(maximumReadyAge: Duration): Duration = maximumReadyAge - OWN_CALL_TIME

/** Two readers on their own make fewer calls than one that is followed. */
private const val MINIMUM_HOSTS = 3
private const val READER_PURPOSE = "store"
private val OWN_CALL_TIME = 100.milliseconds
