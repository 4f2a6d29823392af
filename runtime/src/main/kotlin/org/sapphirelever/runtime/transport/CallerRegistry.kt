/*
 * The callers that are connected to one address, and what the host keeps for each of them.
 */
package org.sapphirelever.runtime.transport

import com.sun.management.UnixOperatingSystemMXBean
import java.io.Closeable
import java.lang.management.ManagementFactory
import java.util.concurrent.atomic.AtomicLong
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.decisions.admission.CallerHold
import org.sapphirelever.decisions.admission.CallerPhase
import org.sapphirelever.decisions.admission.PeerProgress
import org.sapphirelever.decisions.admission.callerToClose
import org.sapphirelever.decisions.admission.callersToClose
import org.sapphirelever.runtime.StateCell
import org.sapphirelever.runtime.log.logEvent

/**
 * Connections that callers may hold of [descriptors], or of the limit of this process if that is
 * null. The rest is for files, and for connections to targets, other hosts and the store.
 */
public fun callerConnections(descriptors: Int?): Int {
    val limits = listOfNotNull(descriptors?.toLong(), processDescriptors())
    val available = (limits.minOrNull() ?: UNKNOWN_DESCRIPTORS) - FILE_DESCRIPTORS
    return (available * CALLER_SHARE).toInt().coerceAtLeast(1)
}

private fun processDescriptors(): Long? =
    (ManagementFactory.getOperatingSystemMXBean() as? UnixOperatingSystemMXBean)
        ?.maxFileDescriptorCount

/** Files of the program and the descriptors of its selector. */
private const val FILE_DESCRIPTORS = 200L
private const val CALLER_SHARE = 0.6
private const val UNKNOWN_DESCRIPTORS = 1_024L

/** Counts of callers that met a limit, for the metrics. */
public class CallerCounts {
    /** Connections that were closed at once, because all others made progress. */
    public val refused: AtomicLong = AtomicLong()

    /** Connections that were closed to make room for others. */
    public val evicted: AtomicLong = AtomicLong()

    /** Senders and readers that made too little progress. */
    public val stalled: AtomicLong = AtomicLong()

    /** Requests with more bytes or fields than permitted. */
    public val oversized: AtomicLong = AtomicLong()
}

/** At most [maximum] connections of callers, whose bytes count against [memory]. */
public class CallerRegistry(
    private val maximum: Int,
    private val memory: MessageMemory,
    private val clock: MonotonicClock,
    public val counts: CallerCounts = CallerCounts()
) {
    private val callers = StateCell<PersistentMap<Long, Caller>>(persistentMapOf())
    private val lastId = AtomicLong()

    /** Connections that may be open. */
    public val capacity: Int get() = maximum

    /** Connections at the moment. */
    public val size: Int get() = callers.value.size

    /** Registers [connection], for which another one may be closed; null if there is no room. */
    public fun open(connection: HttpConnection): Caller? {
        if (callers.value.size >= maximum && !evictOne()) {
            counts.refused.incrementAndGet()
            connection.close()
            return null
        }
        val caller = Caller(lastId.incrementAndGet(), connection, memory.claim(), clock, this)
        callers.update { it.put(caller.id, caller) }
        return caller
    }

    internal fun remove(caller: Caller) {
        callers.update { it.remove(caller.id) }
    }

    /** Closes callers that together hold [bytes]; false if too few of them may be closed. */
    internal fun evict(bytes: Long): Boolean {
        val current = callers.value
        val chosen = callersToClose(current.values.map { it.hold }, bytes, clock.now())
        chosen.forEach { evict(current.getValue(it.id)) }
        return chosen.isNotEmpty()
    }

    private fun evictOne(): Boolean {
        val current = callers.value
        val chosen = callerToClose(current.values.map { it.hold }, clock.now()) ?: return false
        evict(current.getValue(chosen.id))
        return true
    }

    private fun evict(caller: Caller) {
        counts.evicted.incrementAndGet()
        logEvent("caller-evicted") {
            "phase" to caller.hold.phase
            "bytes" to caller.hold.bytes
        }
        caller.close()
    }
}

/**
 * One caller: its [connection], and the memory that the host keeps for it. One task serves it and
 * changes its phase and bytes; any task may read its [hold] and close it.
 */
public class Caller
internal constructor(
    internal val id: Long,
    public val connection: HttpConnection,
    private val claim: MemoryClaim,
    private val clock: MonotonicClock,
    private val registry: CallerRegistry
) : Closeable {
    @Volatile
    private var state = CallerHold(id, CallerPhase.IDLE, 0, PeerProgress(clock.now()))

    private var movedBytes = 0L

    public val counts: CallerCounts get() = registry.counts

    internal fun now(): MonotonicTime = clock.now()

    /** What the host keeps for this caller at the moment. */
    public val hold: CallerHold get() = state

    /** Enters [phase], with a new span of progress. */
    public fun enter(phase: CallerPhase) {
        state = state.copy(phase = phase, progress = PeerProgress(clock.now()))
    }

    /** Notes what the caller has sent or accepted since the last call. */
    public fun noteProgress() {
        val moved = connection.receivedBytes + connection.sentBytes
        if (moved == movedBytes) return
        state = state.copy(progress = state.progress.moved(moved - movedBytes, clock.now()))
        movedBytes = moved
    }

    /**
     * Keeps [bytes] for this caller. If there is no room, callers that make no progress are closed;
     * throws [MemoryExhaustedException] if that does not help.
     */
    public fun keep(bytes: Long, share: Double) {
        try {
            claim.resize(bytes, share)
        } catch (exhausted: MemoryExhaustedException) {
            if (!registry.evict(bytes - state.bytes)) throw exhausted
            claim.resize(bytes, share)
        }
        state = state.copy(bytes = bytes)
    }

    /** Closes the connection and returns what was kept; may be called repeatedly. */
    override fun close() {
        registry.remove(this)
        claim.close()
        connection.close()
    }
}
