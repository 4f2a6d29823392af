/*
 * Memory of this process for messages that other parties send.
 */
package org.sapphirelever.runtime.transport

import java.io.Closeable
import java.io.IOException
import org.sapphirelever.decisions.admission.ByteBudget
import org.sapphirelever.runtime.StateCell

/** The messages that are held at the moment leave no memory for another one. */
public class MemoryExhaustedException(bytes: Long) :
    IOException("memory for messages exhausted at $bytes bytes")

/** Memory of [capacity] bytes, which all messages of a process share. */
public class MessageMemory(capacity: Long = defaultCapacity()) {
    private val budget = StateCell(ByteBudget(capacity))

    /** Bytes that messages hold at the moment. */
    public val heldBytes: Long get() = budget.value.held

    /** A claim without any bytes yet, which may grow while [share] of the memory is not held. */
    public fun claim(share: Double = 1.0): MemoryClaim = MemoryClaim(budget, share)

    public companion object {
        /** The rest of the heap is for the state of the host and for garbage. */
        private const val HEAP_SHARE = 4

        /** Memory for messages in a heap of [heapBytes]. */
        public fun capacityOf(heapBytes: Long): Long = heapBytes / HEAP_SHARE

        private fun defaultCapacity(): Long = capacityOf(Runtime.getRuntime().maxMemory())
    }
}

/** Bytes that are held for one message; [close] returns them for good. */
public class MemoryClaim internal constructor(
    private val budget: StateCell<ByteBudget>,
    private val share: Double
) : Closeable {
    private var held = 0L
    private var isClosed = false

    /**
     * Changes the claim to [bytes]; throws [MemoryExhaustedException] if they are not available
     * within [share] of the memory, or if the claim has been closed. Small messages have room of
     * their own, so that large ones do not keep ordinary requests out.
     */
    @Synchronized
    public fun resize(bytes: Long, share: Double = this.share) {
        val counted = roundedUp(bytes)
        if (counted == held) return
        if (isClosed) throw MemoryExhaustedException(bytes)
        val permitted = if (counted <= SMALL_BYTES) SMALL_SHARE else share
        val isGranted = budget.decide { it.resized(held, counted, permitted) }.isNotEmpty()
        if (!isGranted) throw MemoryExhaustedException(bytes)
        held = counted
    }

    /** Like [resize], if the claim has less than [bytes]. */
    @Synchronized
    public fun grow(bytes: Long) {
        if (bytes > held) resize(bytes)
    }

    @Synchronized
    override fun close() {
        if (!isClosed) resize(0)
        isClosed = true
    }

    private fun roundedUp(bytes: Long): Long = (bytes + STEP_BYTES - 1) / STEP_BYTES * STEP_BYTES

    private companion object {
        const val STEP_BYTES = 4_096L

        /** A message that is small; most are. */
        const val SMALL_BYTES = 16_384L

        /** Share of the memory up to which small messages find room. */
        const val SMALL_SHARE = 1.25
    }
}
