/*
 * The store that outlives every host, as the forwarding front end uses it.
 */
package org.sapphirelever.runtime.forward

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import org.sapphirelever.core.HostId
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.ForwardingConfiguration
import org.sapphirelever.core.forwarding.HostAnnouncement
import org.sapphirelever.core.forwarding.TargetRecord
import org.sapphirelever.decisions.suspicion.CrashMark

/** One fact in the store, or the end of one. */
public sealed interface StoreFact {
    public data class Configuration(public val configuration: ForwardingConfiguration) : StoreFact

    public data class Target(public val record: TargetRecord) : StoreFact

    public data class TargetGone(public val target: TargetId) : StoreFact

    /** A host and its address for other hosts. */
    public data class Host(public val host: HostId, public val announcement: HostAnnouncement) :
        StoreFact

    public data class HostGone(public val host: HostId) : StoreFact

    public data class Crash(public val mark: CrashMark) : StoreFact

    /** An entry that cannot be read; it names nothing that may be used. */
    public data class Unreadable(
        public val key: String,
        public val reason: String,
        public val target: TargetId? = null
    ) : StoreFact
}

/** Facts up to [revision]; [complete] tells that all others have ended. */
public data class StoreFacts(
    public val facts: PersistentList<StoreFact>,
    public val revision: Long,
    public val complete: Boolean
)

/** A lease of this process in the store. */
public data class StoreLease(public val id: Long, public val lifetime: Duration)

/** The store did not do what was asked, or did not say so. */
public class StoreException(message: String, cause: Throwable? = null) :
    java.io.IOException(message, cause)

/** Client of the store. Each call throws [StoreException] if it has no usable answer. */
public interface ForwardingStore {
    /** All facts. */
    public suspend fun facts(): StoreFacts

    /** Facts that changed after [revision], or null if the store no longer has that history. */
    public suspend fun changes(revision: Long): StoreFacts?

    /** Announces [host] until the lease ends. */
    public suspend fun announce(
        host: HostId,
        announcement: HostAnnouncement,
        lifetime: Duration
    ): StoreLease

    /** Renews [lease]; false if it has ended. */
    public suspend fun renew(lease: StoreLease): Boolean

    public suspend fun end(lease: StoreLease)

    /** Publishes the suspicion that a request crashes targets, for the time that it is valid. */
    public suspend fun publish(mark: CrashMark)
}
