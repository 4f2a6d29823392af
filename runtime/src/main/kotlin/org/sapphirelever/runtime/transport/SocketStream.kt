/*
 * Bytes of one TCP connection. Ktor's channels would read ahead and buffer up to a megabyte of each
 * connection; here bytes stay with the kernel until they are wanted, so that a peer is held back by
 * TCP.
 */
package org.sapphirelever.runtime.transport

import io.ktor.network.selector.InterestSuspensionsMap
import io.ktor.network.selector.SelectInterest
import io.ktor.network.selector.Selectable
import io.ktor.network.selector.SelectorManager
import io.ktor.utils.io.InternalAPI
import java.io.Closeable
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.SelectableChannel
import java.nio.channels.SocketChannel
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger

/** A channel that a task can wait for. At most one task waits for each kind of [SelectInterest]. */
@OptIn(InternalAPI::class)
internal open class SelectableSocket(
    override val channel: SelectableChannel,
    private val selector: SelectorManager
) : Selectable,
    Closeable {
    private val closed = AtomicBoolean()
    private val operations = AtomicInteger()
    override val suspensions: InterestSuspensionsMap = InterestSuspensionsMap()
    override val isClosed: Boolean get() = closed.get()
    override val interestedOps: Int get() = operations.get()

    override fun interestOp(interest: SelectInterest, state: Boolean) {
        operations.updateAndGet { now ->
            if (state) now or interest.flag else now and interest.flag.inv()
        }
    }

    /** Waits until the channel is ready for [interest]. */
    suspend fun await(interest: SelectInterest) {
        interestOp(interest, true)
        try {
            selector.select(this, interest)
        } finally {
            interestOp(interest, false)
            // The selector keeps the handler of a cancelled wait, which would bar the next one.
            suspensions.removeSuspension(interest)
        }
    }

    override fun close() {
        if (!closed.compareAndSet(false, true)) return
        channel.close()
        selector.notifyClosed(this)
    }

    override fun dispose() {
        close()
    }
}

/**
 * The bytes of the connected [socket], for which [selectable] waits. One task reads and one task
 * writes at a time.
 */
internal class SocketStream(
    private val socket: SocketChannel,
    private val selectable: SelectableSocket
) : Closeable {
    constructor(socket: SocketChannel, selector: SelectorManager) :
        this(socket, SelectableSocket(socket, selector))

    private val lock = Any()

    /**
     * The kernel reports a reset only once. After a write that failed, a read ends as if the peer
     * had closed the connection, so the end no longer shows that everything arrived.
     */
    private var hasWriteFailed = false

    /** Waits until there are bytes to read or the peer has closed the connection. */
    suspend fun awaitReadable() {
        selectable.await(SelectInterest.READ)
    }

    /**
     * Reads what is there into [buffer] without waiting; -1 at the end, 0 if nothing is there.
     * Throws [IOException] if the connection was reset.
     */
    fun readNow(buffer: ByteArray, offset: Int = 0): Int = synchronized(lock) {
        val count = socket.read(ByteBuffer.wrap(buffer, offset, buffer.size - offset))
        if (count < 0 && hasWriteFailed) throw IOException("connection lost during a write")
        count
    }

    /**
     * Writes all [bytes] and returns when the kernel has them. Waits by [awaitWritable], which gets
     * the wait itself, and reports what the kernel took to [onProgress].
     */
    suspend fun write(
        bytes: ByteArray,
        awaitWritable: suspend (suspend () -> Unit) -> Unit,
        onProgress: (Int) -> Unit
    ) {
        var offset = 0
        while (offset < bytes.size) {
            val count = minOf(bytes.size - offset, MAXIMUM_WRITE_BYTES)
            val written = writeNow(ByteBuffer.wrap(bytes, offset, count))
            offset += written
            onProgress(written)
            if (written == 0) awaitWritable { selectable.await(SelectInterest.WRITE) }
        }
    }

    private fun writeNow(bytes: ByteBuffer): Int = synchronized(lock) {
        try {
            socket.write(bytes)
        } catch (failure: IOException) {
            hasWriteFailed = true
            throw failure
        }
    }

    fun shutdownOutput() {
        socket.shutdownOutput()
    }

    override fun close() {
        selectable.close()
    }

    private companion object {
        /** The runtime copies what is written to memory outside the heap, which it keeps. */
        const val MAXIMUM_WRITE_BYTES = 65_536
    }
}
