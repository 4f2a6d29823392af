/*
 * HTTP response to one request of a caller.
 */
package org.sapphirelever.runtime.forward

import org.sapphirelever.decisions.admission.CallerPhase
import org.sapphirelever.runtime.transport.CONNECTION
import org.sapphirelever.runtime.transport.CONTENT_LENGTH
import org.sapphirelever.runtime.transport.Caller
import org.sapphirelever.runtime.transport.Header
import org.sapphirelever.runtime.transport.LAST_CHUNK
import org.sapphirelever.runtime.transport.MessageBody
import org.sapphirelever.runtime.transport.ResponseHead
import org.sapphirelever.runtime.transport.StalledPeerException
import org.sapphirelever.runtime.transport.TRANSFER_ENCODING
import org.sapphirelever.runtime.transport.chunkOf
import org.sapphirelever.runtime.transport.encoded

/**
 * Writes one response. [keepAlive] is evaluated when the head is written, because the host may have
 * started to shut down while the request ran. With [omitsBody] only the head is written (HEAD).
 */
public class CallerResponse(
    private val caller: Caller,
    private val omitsBody: Boolean,
    private val keepAlive: () -> Boolean
) {
    /** Whether the head has been written. */
    public var hasStarted: Boolean = false
        private set

    /** Whether the complete response has been written. */
    public var isComplete: Boolean = false
        private set

    private var saysKeepAlive = false
    private var writtenBytes = 0L

    /**
     * Whether the connection stays open for further requests. The end of the connection shows when
     * the kernel has the last byte, so it is needed after responses that the kernel may not hold.
     */
    public val isKeptAlive: Boolean get() = saysKeepAlive && writtenBytes <= MAXIMUM_KEPT_BYTES

    /** Writes a complete response with a known length. */
    public suspend fun send(head: ResponseHead, body: MessageBody) {
        writtenBytes = body.size.toLong()
        val framed = framed(head, Header(CONTENT_LENGTH, body.size.toString()))
        hasStarted = true
        val blocks = if (omitsBody) emptyList() else body.blocks
        write(framed.encoded(), blocks)
        isComplete = true
    }

    /** Writes [head] and the first [part] of a chunked response. */
    public suspend fun startStream(head: ResponseHead, part: ByteArray) {
        val framed = framed(head, Header(TRANSFER_ENCODING, "chunked"))
        hasStarted = true
        writtenBytes += part.size
        write(if (part.isEmpty()) framed.encoded() else framed.encoded() + chunkOf(part))
    }

    /** Writes [part] as the next chunk, unless it is empty: an empty chunk would end the body. */
    public suspend fun sendChunk(part: ByteArray) {
        if (part.isEmpty()) return
        writtenBytes += part.size
        write(chunkOf(part))
    }

    /** Writes the last chunk. Without it the caller detects that the response is truncated. */
    public suspend fun endStream() {
        write(LAST_CHUNK)
        isComplete = true
    }

    /** A caller that does not take the bytes may be closed if the host needs the room. */
    private suspend fun write(head: ByteArray, blocks: List<ByteArray> = emptyList()) {
        caller.enter(CallerPhase.SENDING)
        try {
            caller.connection.write(head, blocks) { caller.noteProgress() }
        } catch (stalled: StalledPeerException) {
            caller.counts.stalled.incrementAndGet()
            throw stalled
        } finally {
            caller.enter(CallerPhase.RUNNING)
        }
    }

    private fun framed(head: ResponseHead, framing: Header): ResponseHead {
        saysKeepAlive = keepAlive()
        val fields = head.headers + framing
        return head.copy(
            headers = if (isKeptAlive) fields else fields + Header(CONNECTION, "close")
        )
    }

    private companion object {
        /** What the kernel holds of a response even if its caller does not read. */
        const val MAXIMUM_KEPT_BYTES = 65_536L
    }
}
