/*
 * Complete bodies of messages, held in blocks so that they are neither copied to grow nor joined.
 */
package org.sapphirelever.runtime.transport

/** A body of [size] bytes in consecutive [blocks], which must not be changed. */
public class MessageBody private constructor(
    public val blocks: List<ByteArray>,
    public val size: Int
) {
    /** Collects the parts of a body. */
    internal class Collector {
        private val blocks = mutableListOf<ByteArray>()
        private var used = 0

        /** Bytes that the blocks occupy. */
        val occupied: Long get() = blocks.sumOf { it.size.toLong() }

        var size: Int = 0
            private set

        fun add(part: ByteArray) {
            var offset = 0
            while (offset < part.size) {
                if (blocks.isEmpty() || used == blocks.last().size) startBlock()
                val block = blocks.last()
                val count = minOf(part.size - offset, block.size - used)
                part.copyInto(block, used, offset, offset + count)
                used += count
                offset += count
            }
            size += part.size
        }

        fun toBody(): MessageBody {
            if (blocks.isNotEmpty()) blocks += blocks.removeLast().copyOf(used)
            return MessageBody(blocks.toList(), size)
        }

        private fun startBlock() {
            blocks += ByteArray(if (blocks.isEmpty()) FIRST_BLOCK_BYTES else BLOCK_BYTES)
            used = 0
        }
    }

    public companion object {
        public val EMPTY: MessageBody = MessageBody(emptyList(), 0)

        /** Most bodies fit into the first block. */
        private const val FIRST_BLOCK_BYTES = 2_048
        private const val BLOCK_BYTES = 65_536

        public fun of(bytes: ByteArray): MessageBody =
            if (bytes.isEmpty()) EMPTY else MessageBody(listOf(bytes), bytes.size)
    }
}

/**
 * Reads the complete body, whose bytes [claim] holds; null if it exceeds [limit] bytes. Throws
 * [MemoryExhaustedException] if there is no memory for it.
 */
public suspend fun BodyReader.readWhole(limit: Int, claim: MemoryClaim): MessageBody? =
    readWhole(limit, claim::grow)

/** Reads the complete body and passes the bytes it occupies to [onGrowth]; null beyond [limit]. */
public suspend fun BodyReader.readWhole(limit: Int, onGrowth: (Long) -> Unit): MessageBody? {
    val collector = MessageBody.Collector()
    while (true) {
        val part = next() ?: return collector.toBody()
        if (collector.size + part.size > limit) return null
        collector.add(part)
        onGrowth(collector.occupied)
    }
}

/** Reads the body to its end without keeping it; false if it exceeds [limit] bytes. */
public suspend fun BodyReader.skipWhole(limit: Int): Boolean {
    var size = 0L
    while (true) {
        val part = next() ?: return true
        size += part.size
        if (size > limit) return false
    }
}
