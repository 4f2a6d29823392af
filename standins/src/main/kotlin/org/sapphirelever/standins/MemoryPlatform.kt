/*
 * In-memory platform for runs on virtual time. It uses the same state transitions as the platform
 * stand-in, without HTTP.
 */
package org.sapphirelever.standins

import kotlin.time.Duration
import kotlinx.coroutines.delay
import org.sapphirelever.core.FencingNumber
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.decisions.Decision
import org.sapphirelever.runtime.StateCell
import org.sapphirelever.runtime.store.LeaseRequestMessage
import org.sapphirelever.runtime.store.LeaseResult
import org.sapphirelever.runtime.store.ListedHost
import org.sapphirelever.runtime.store.Platform
import org.sapphirelever.runtime.store.StoredValue
import org.sapphirelever.runtime.store.WriteResult

/** Platform in memory; of [faults], only the outage has an effect, on all following calls. */
public class MemoryPlatform(private val clock: MonotonicClock) : Platform {
    private val state = StateCell(PlatformState())

    @Volatile
    public var faults: PlatformFaults = PlatformFaults()

    @Volatile
    private var repliesToLose = 0

    /** Loses the replies to the next [count] writes; the writes take effect. */
    public fun loseReplies(count: Int) {
        repliesToLose = count
    }

    /** End of the lease [name], or null if it was last granted to another holder than [holder]. */
    public fun leaseEnd(name: String, holder: String): MonotonicTime? =
        state.value.leases[name]?.takeIf { it.holder == holder }?.expires

    override suspend fun read(key: String): StoredValue? = if (faults.outage) null else stored(key)

    override suspend fun compareAndSwap(key: String, expected: Long, value: String): WriteResult {
        if (faults.outage) return WriteResult.Unavailable("outage")
        val reply = state.decide { it.onWrite(key, expected, value) }.single()
        if (repliesToLose > 0) {
            repliesToLose--
            return WriteResult.Unclear("reply lost")
        }
        return when (reply) {
            is PlatformReply.Written -> WriteResult.Written(reply.revision)
            is PlatformReply.Conflict -> WriteResult.Conflict(reply.revision)
            else -> WriteResult.Unavailable("refused")
        }
    }

    override suspend fun watch(key: String, after: Long, wait: Duration): StoredValue? {
        delay(wait)
        return read(key)?.takeIf { it.revision > after }
    }

    override suspend fun acquireLease(
        name: String,
        holder: String,
        timeToLive: Duration
    ): LeaseResult = changeLease {
        it.onAcquire(name, leaseRequest(holder, timeToLive, FencingNumber(0)), clock.now())
    }

    override suspend fun renewLease(
        name: String,
        holder: String,
        fencing: FencingNumber,
        timeToLive: Duration
    ): LeaseResult = changeLease {
        it.onRenew(name, leaseRequest(holder, timeToLive, fencing), clock.now())
    }

    override suspend fun releaseLease(name: String, holder: String, fencing: FencingNumber) {
        changeLease {
            it.onRelease(name, leaseRequest(holder, Duration.ZERO, fencing), clock.now())
        }
    }

    override suspend fun hosts(): List<ListedHost>? = if (faults.outage) null else emptyList()

    private fun stored(key: String): StoredValue =
        state.value.value(key).let { StoredValue(it.value, it.revision) }

    private fun leaseRequest(holder: String, timeToLive: Duration, fencing: FencingNumber) =
        LeaseRequestMessage(holder, timeToLive.inWholeMilliseconds, fencing.value)

    private fun changeLease(
        transition: (PlatformState) -> Decision<PlatformState, PlatformReply>
    ): LeaseResult {
        if (faults.outage) return LeaseResult.Unclear("outage")
        return when (val reply = state.decide(transition).single()) {
            is PlatformReply.LeaseHeld -> LeaseResult.Held(FencingNumber(reply.lease.fencing))
            is PlatformReply.LeaseRefused -> LeaseResult.HeldByOther(reply.lease.holder)
            else -> LeaseResult.Unclear("refused")
        }
    }
}
