/*
 * Counts of how this host read the store.
 */
package org.sapphirelever.runtime.forward

import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicLongArray
import org.sapphirelever.decisions.forwarding.ReaderFailure

/** Counts since the start of the process. */
public class StoreReads {
    /** Answered calls for changes to the store. */
    public val storeCalls: AtomicLong = AtomicLong()

    /** Listings of the store that this host made itself. */
    public val listings: AtomicLong = AtomicLong()

    /** Answers that another host passed on to this one. */
    public val relayed: AtomicLong = AtomicLong()

    /** Answers of this host to others. */
    public val replies: AtomicLong = AtomicLong()

    private val fallbacks = AtomicLongArray(ReaderFailure.entries.size)

    /** Calls to the store that replaced the answer of another host because of [cause]. */
    public fun fallbacks(cause: ReaderFailure): Long = fallbacks.get(cause.ordinal)

    public fun countFallback(cause: ReaderFailure) {
        fallbacks.incrementAndGet(cause.ordinal)
    }
}

/** Name of this cause in logs and metrics. */
internal val ReaderFailure.label: String get() = name.lowercase().replace('_', '-')
