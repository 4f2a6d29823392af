/*
 * HTTP response to one request of a caller.
 */
package org.sapphirelever.runtime.forward

import org.sapphirelever.runtime.transport.CONNECTION
import org.sapphirelever.runtime.transport.CONTENT_LENGTH
import org.sapphirelever.runtime.transport.Header
import org.sapphirelever.runtime.transport.HttpConnection
import org.sapphirelever.runtime.transport.LAST_CHUNK
import org.sapphirelever.runtime.transport.MessageBody
import org.sapphirelever.runtime.transport.ResponseHead
import org.sapphirelever.runtime.transport.TRANSFER_ENCODING
import org.sapphirelever.runtime.transport.chunkOf
import org.sapphirelever.runtime.transport.encoded

/**
 * Writes one response. [keepAlive] is evaluated when the head is written, because the host may have
 * started to shut down while the request ran. With [omitsBody] only the head is written (HEAD).
 */
public class CallerResponse(
    private val connection: HttpConnection,
    private val omitsBody: Boolean,
    private val keepAlive: () -> Boolean
) {
    /** Whether the head has been written. */
    public var hasStarted: Boolean = false
        private set

    /** Whether the complete response has been written. */
    public var isComplete: Boolean = false
        private set

    /** Whether the connection stays open for further requests. */
    public var isKeptAlive: Boolean = false
        private set

    /** Writes a complete response with a known length. */
    public suspend fun send(head: ResponseHead, body: MessageBody) {
        val framed = framed(head, Header(CONTENT_LENGTH, body.size.toString()))
        hasStarted = true
        val blocks = if (omitsBody) emptyList() else body.blocks
        connection.write(framed.encoded(), blocks)
        isComplete = true
    }

    /** Writes [head] and the first [part] of a chunked response. */
    public suspend fun startStream(head: ResponseHead, part: ByteArray) {
        val framed = framed(head, Header(TRANSFER_ENCODING, "chunked"))
        hasStarted = true
        connection.write(framed.encoded(), if (part.isEmpty()) part else chunkOf(part))
    }

    /** Writes [part] as the next chunk, unless it is empty: an empty chunk would end the body. */
    public suspend fun sendChunk(part: ByteArray) {
        if (part.isNotEmpty()) connection.write(chunkOf(part))
    }

    /** Writes the last chunk. Without it the caller detects that the response is truncated. */
    public suspend fun endStream() {
        connection.write(LAST_CHUNK)
        isComplete = true
    }

    private fun framed(head: ResponseHead, framing: Header): ResponseHead {
        isKeptAlive = keepAlive()
        val fields = head.headers + framing
        return head.copy(
            headers = if (isKeptAlive) fields else fields + Header(CONNECTION, "close")
        )
    }
}
