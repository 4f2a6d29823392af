/*
 * The answer to one request, on its way to the caller.
 */
package org.sapphirelever.runtime.forward

import org.sapphirelever.runtime.transport.CONNECTION
import org.sapphirelever.runtime.transport.CONTENT_LENGTH
import org.sapphirelever.runtime.transport.Header
import org.sapphirelever.runtime.transport.HttpConnection
import org.sapphirelever.runtime.transport.LAST_CHUNK
import org.sapphirelever.runtime.transport.ResponseHead
import org.sapphirelever.runtime.transport.TRANSFER_ENCODING
import org.sapphirelever.runtime.transport.chunkOf
import org.sapphirelever.runtime.transport.encoded

/**
 * Writes one answer. [keepsOpen] is asked when the head is written, since the host may have begun
 * to stop while the request ran.
 */
public class CallerAnswer(
    private val connection: HttpConnection,
    private val withoutBody: Boolean,
    private val keepsOpen: () -> Boolean
) {
    /** Whether the head has been written. */
    public var hasBegun: Boolean = false
        private set

    /** Whether the whole answer has been written. */
    public var isWhole: Boolean = false
        private set

    /** Whether the connection serves further requests. */
    public var keptOpen: Boolean = false
        private set

    /** Writes a whole answer. */
    public suspend fun whole(head: ResponseHead, body: ByteArray) {
        val framed = framed(head, Header(CONTENT_LENGTH, body.size.toString()))
        hasBegun = true
        connection.write(framed.encoded(), if (withoutBody) ByteArray(0) else body)
        isWhole = true
    }

    /** Writes [head] and the first [part] of an answer whose length is not known. */
    public suspend fun begin(head: ResponseHead, part: ByteArray) {
        val framed = framed(head, Header(TRANSFER_ENCODING, "chunked"))
        hasBegun = true
        connection.write(framed.encoded(), if (part.isEmpty()) part else chunkOf(part))
    }

    /** Writes the next [part]. */
    public suspend fun part(part: ByteArray) {
        if (part.isNotEmpty()) connection.write(chunkOf(part))
    }

    /** Ends an answer that is whole. Without this call the caller sees that it is not. */
    public suspend fun end() {
        connection.write(LAST_CHUNK)
        isWhole = true
    }

    private fun framed(head: ResponseHead, framing: Header): ResponseHead {
        keptOpen = keepsOpen()
        val fields = head.headers + framing
        return head.copy(headers = if (keptOpen) fields else fields + Header(CONNECTION, "close"))
    }
}
