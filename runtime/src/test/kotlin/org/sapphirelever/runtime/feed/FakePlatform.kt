package org.sapphirelever.runtime.feed

import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import org.sapphirelever.core.FencingNumber
import org.sapphirelever.runtime.store.LeaseResult
import org.sapphirelever.runtime.store.ListedHost
import org.sapphirelever.runtime.store.Platform
import org.sapphirelever.runtime.store.StoredValue
import org.sapphirelever.runtime.store.WriteResult

/** Fault of the platform in one compare-and-swap. */
enum class SwapFault { NONE, REPLY_LOST, NOT_DONE_AND_REPLY_LOST, REFUSED }

/** Platform in memory that loses replies, is down or is slow as a test requires. */
class FakePlatform(
    private val delayBeforeCalls: Duration = Duration.ZERO,
    initial: StoredValue = StoredValue("", 0)
) : Platform {
    private val stored = MutableStateFlow(initial)
    private val leases = mutableMapOf<String, Pair<String, Long>>()
    private var fencing = 0L
    val faults = ArrayDeque<SwapFault>()
    val watches = AtomicInteger()

    @Volatile var down = false

    @Volatile var hosts: List<ListedHost> = emptyList()

    /** Runs before each compare-and-swap, for example the write of another operator. */
    var beforeSwap: suspend () -> Unit = {}

    override suspend fun read(key: String): StoredValue? = ifUp { stored.value }

    override suspend fun compareAndSwap(key: String, expected: Long, value: String): WriteResult {
        delay(delayBeforeCalls)
        if (down) return WriteResult.Unavailable("down")
        val fault = faults.removeFirstOrNull() ?: SwapFault.NONE
        beforeSwap()
        if (fault == SwapFault.REFUSED) return WriteResult.Unavailable("rate limit")
        if (fault == SwapFault.NOT_DONE_AND_REPLY_LOST) return WriteResult.Unclear("lost")
        val result = swap(expected, value)
        return if (fault == SwapFault.REPLY_LOST) WriteResult.Unclear("lost") else result
    }

    fun swap(expected: Long, value: String): WriteResult = synchronized(leases) {
        val revision = stored.value.revision
        if (revision != expected) return WriteResult.Conflict(revision)
        stored.value = StoredValue(value, revision + 1)
        WriteResult.Written(revision + 1)
    }

    override suspend fun watch(key: String, after: Long, wait: Duration): StoredValue? {
        watches.incrementAndGet()
        return ifUp { withTimeoutOrNull(wait) { stored.first { it.revision > after } } }
    }

    override suspend fun acquireLease(
        name: String,
        holder: String,
        timeToLive: Duration
    ): LeaseResult = lease(name, holder)

    override suspend fun renewLease(
        name: String,
        holder: String,
        fencing: FencingNumber,
        timeToLive: Duration
    ): LeaseResult = lease(name, holder)

    override suspend fun releaseLease(name: String, holder: String, fencing: FencingNumber) {
        synchronized(leases) { if (leases[name]?.first == holder) leases.remove(name) }
    }

    override suspend fun hosts(): List<ListedHost>? = ifUp { hosts }

    private fun lease(name: String, holder: String): LeaseResult = synchronized(leases) {
        if (down) return LeaseResult.Unclear("down")
        val held = leases.getOrPut(name) { holder to ++fencing }
        if (held.first != holder) return LeaseResult.HeldByOther(held.first)
        LeaseResult.Held(FencingNumber(held.second))
    }

    private suspend fun <T> ifUp(answer: suspend () -> T): T? {
        delay(delayBeforeCalls)
        return if (down) null else answer()
    }
}
