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

/** Bytes that are held for one message; [close] returns them. Not thread-safe. */
public class MemoryClaim internal constructor(
    private val budget: StateCell<ByteBudget>,
    private val share: Double
) : Closeable {
    private var held = 0L

    /**
     * Changes the claim to [bytes]; throws [MemoryExhaustedException] if they are not available.
     * Small messages are not counted, since most are, and the number of requests bounds them.
     */
    public fun resize(bytes: Long) {
        val counted = if (bytes <= UNCOUNTED_BYTES) 0 else roundedUp(bytes)
        if (counted == held) return
        val isGranted = budget.decide { it.resized(held, counted, share) }.isNotEmpty()
        if (!isGranted) throw MemoryExhaustedException(bytes)
        held = counted
    }

    /** Like [resize], if the claim has less than [bytes]. */
    public fun grow(bytes: Long) {
        if (bytes > held) resize(bytes)
    }

    override fun close() {
        resize(0)
    }

    private fun roundedUp(bytes: Long): Long = (bytes + STEP_BYTES - 1) / STEP_BYTES * STEP_BYTES

    private companion object {
        const val UNCOUNTED_BYTES = 16_384L
        const val STEP_BYTES = 65_536L
    }
}
