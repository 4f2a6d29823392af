/*
 * Bodies whose sender must make progress.
 */
package org.sapphirelever.runtime.transport

import kotlin.time.Duration
import kotlinx.coroutines.withTimeoutOrNull
import org.sapphirelever.decisions.admission.PeerProgress

/**
 * Reads [body], which [caller] sends. Throws [StalledPeerException] if no part arrives within
 * [span], or too little in one such span.
 */
public class ProgressingBody(
    private val caller: Caller,
    private val body: BodyReader,
    private val span: Duration
) : BodyReader {
    private var spanStart = caller.now()
    private var spanBytes = 0

    override suspend fun next(): ByteArray? {
        var part: ByteArray? = null
        withTimeoutOrNull(span) { part = body.next() } ?: throw StalledPeerException(span)
        caller.noteProgress()
        spanBytes += part?.size ?: return null
        val now = caller.now()
        if (now - spanStart > span) {
            if (spanBytes < PeerProgress.MINIMUM_SPAN_BYTES) throw StalledPeerException(span)
            spanStart = now
            spanBytes = 0
        }
        return part
    }
}
