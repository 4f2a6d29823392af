/*
 * Bounded reading of message heads and lines, so that a peer that never ends a message can neither
 * fill the memory nor keep its reader busy.
 */
package org.sapphirelever.runtime.transport

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.LineEnding
import io.ktor.utils.io.charsets.TooLongLineException
import io.ktor.utils.io.readLineStrict
import java.io.IOException
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive

/** A peer sent more than the [limit] of [what], so the message is not read to its end. */
public class OversizedMessageException(what: String, limit: Long) :
    IOException("oversized: $what exceeds $limit")

/** Greatest size of the head of a response in bytes, with its start line. */
public const val MAXIMUM_HEAD_BYTES: Int = 65_536

/** Greatest size of one line of a head or of the framing of a chunked body, in bytes. */
public const val MAXIMUM_LINE_BYTES: Long = 8_192

/** Greatest size of the trailer fields after a chunked body, in bytes. */
public const val MAXIMUM_TRAILER_BYTES: Int = 16_384

/** Reads a head with its final blank line; null if the channel ends before it. */
internal suspend fun ByteReadChannel.readHead(): String? {
    val head = StringBuilder()
    while (true) {
        val line = readBoundedLine("line of the head") ?: return null
        head.append(line).append(LINE_END)
        if (head.length > MAXIMUM_HEAD_BYTES) {
            throw OversizedMessageException("head", MAXIMUM_HEAD_BYTES.toLong())
        }
        // A parser that reads many lines from a full buffer does not suspend.
        currentCoroutineContext().ensureActive()
        if (line.isEmpty()) return head.toString()
    }
}

/** Reads one line without its end; null if the channel ends before it. */
internal suspend fun ByteReadChannel.readBoundedLine(what: String): String? = try {
    readLineStrict(MAXIMUM_LINE_BYTES, LineEnding.Lenient)
} catch (_: TooLongLineException) {
    throw OversizedMessageException(what, MAXIMUM_LINE_BYTES)
} catch (cancelled: CancellationException) {
    currentCoroutineContext().ensureActive()
    throw TornMessageException("connection failed within a message", cancelled)
} catch (failure: IOException) {
    throw TornMessageException("connection failed within a message", failure)
}

private const val LINE_END = "\r\n"
