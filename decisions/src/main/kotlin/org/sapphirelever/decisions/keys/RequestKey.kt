/*
 * Key of an at-most-once request. It names the process that minted it, which alone may run the
 * request.
 */
package org.sapphirelever.decisions.keys

import java.util.Base64
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.Incarnation
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.OrganisationName

/**
 * Key of one request of [organisation].
 *
 * @property incarnation process that minted the key
 * @property peer address of that process for other entry hosts
 * @property issuedAt time of issue on the monotonic clock of that process
 * @property nonce random part
 */
public data class RequestKey(
    public val incarnation: Incarnation,
    public val peer: Endpoint,
    public val organisation: OrganisationName,
    public val issuedAt: MonotonicTime,
    public val nonce: Long
) {
    public val expiresAt: MonotonicTime get() = issuedAt + VALIDITY

    public fun encode(): String = listOf(
        VERSION,
        incarnation.value.toBase64(),
        peer.address.toBase64(),
        peer.port.toString(),
        organisation.value.toBase64(),
        issuedAt.nanoseconds.toString(),
        nonce.toString()
    ).joinToString(SEPARATOR)

    public companion object {
        /** Time for which a key is valid; callers that retry longer need a new key. */
        public val VALIDITY: Duration = 10.minutes

        private const val VERSION = "k1"
        private const val SEPARATOR = "."
        private const val FIELDS = 7
        private const val MAXIMUM_LENGTH = 1024

        /**
         * The key with this [text], or null. Only the text that [encode] gives is accepted, so that
         * one key cannot be claimed twice in two spellings.
         */
        public fun parse(text: String): RequestKey? {
            if (text.length > MAXIMUM_LENGTH) return null
            val fields = text.split(SEPARATOR)
            if (fields.size != FIELDS) return null
            val key = runCatching { decode(fields) }.getOrNull() ?: return null
            return key.takeIf { it.encode() == text }
        }

        private fun decode(fields: List<String>): RequestKey {
            val remaining = fields.drop(1).iterator()
            return RequestKey(
                incarnation = Incarnation(remaining.next().fromBase64()),
                peer = Endpoint(remaining.next().fromBase64(), remaining.next().toInt()),
                organisation = OrganisationName(remaining.next().fromBase64()),
                issuedAt = MonotonicTime(remaining.next().toLong()),
                nonce = remaining.next().toLong()
            )
        }

        private fun String.toBase64(): String =
            Base64.getUrlEncoder().withoutPadding().encodeToString(encodeToByteArray())

        private fun String.fromBase64(): String =
            Base64.getUrlDecoder().decode(this).decodeToString(throwOnInvalidSequence = true)
    }
}

public fun mintKey(
    incarnation: Incarnation,
    peer: Endpoint,
    organisation: OrganisationName,
    now: MonotonicTime,
    random: Random
): RequestKey = RequestKey(incarnation, peer, organisation, now, random.nextLong())
