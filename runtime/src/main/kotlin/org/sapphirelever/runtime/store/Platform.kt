/*
 * Interfaces to the platform's key-value service, host list and weight store. Results distinguish
 * a write that did not happen from an unknown outcome, since a reply can be lost after a write.
 */
package org.sapphirelever.runtime.store

import kotlin.time.Duration
import org.sapphirelever.core.FencingNumber

/** A stored value and its revision; revision 0 means that the key has never been written. */
public data class StoredValue(public val value: String, public val revision: Long)

/** Result of a compare-and-swap. */
public sealed interface WriteResult {
    public data class Written(public val revision: Long) : WriteResult

    /** The stored revision is [revision], not the expected one; nothing was written. */
    public data class Conflict(public val revision: Long) : WriteResult

    /** No usable reply arrived; the write may have taken effect. */
    public data class Unclear(public val reason: String) : WriteResult

    /** The platform refused the call; nothing was written. */
    public data class Unavailable(public val reason: String) : WriteResult
}

/** Result of acquiring or renewing a lease. */
public sealed interface LeaseResult {
    public data class Held(public val fencing: FencingNumber) : LeaseResult

    public data class HeldByOther(public val holder: String) : LeaseResult

    /** No usable reply arrived; it is unknown whether the lease is held. */
    public data class Unclear(public val reason: String) : LeaseResult
}

/** One entry of the platform's host list, which lags behind the real state. */
public data class ListedHost(
    public val id: String,
    public val service: String,
    public val dataCentre: String,
    public val address: String,
    public val port: Int,
    public val leaving: Boolean
)

/** Client of the platform. Reads return null if the platform does not answer. */
public interface Platform {
    public suspend fun read(key: String): StoredValue?

    /** Writes [value] if the stored revision is [expected]; 0 expects an absent key. */
    public suspend fun compareAndSwap(key: String, expected: Long, value: String): WriteResult

    /** Waits at most [wait] for a revision greater than [after]; null if none appears. */
    public suspend fun watch(key: String, after: Long, wait: Duration): StoredValue?

    public suspend fun acquireLease(name: String, holder: String, timeToLive: Duration): LeaseResult

    public suspend fun renewLease(
        name: String,
        holder: String,
        fencing: FencingNumber,
        timeToLive: Duration
    ): LeaseResult

    public suspend fun releaseLease(name: String, holder: String, fencing: FencingNumber)

    /** The host list, or null if the platform does not answer. */
    public suspend fun hosts(): List<ListedHost>?
}

/** Result of fetching the weights of a model. */
public sealed interface WeightResult {
    public data class Fetched(public val bytes: Long) : WeightResult

    /** The weight store refused the call because of its rate limit. */
    public data object Throttled : WeightResult

    public data class Unavailable(public val reason: String) : WeightResult
}

/** The platform's rate-limited store of model weights. */
public fun interface WeightStore {
    public suspend fun fetch(model: String): WeightResult
}
