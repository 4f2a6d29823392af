/*
 * What requests can have in common that makes targets crash.
 */
package org.sapphirelever.decisions.suspicion

import org.sapphirelever.decisions.keys.Fingerprint

/**
 * A whole request, or one shared part of its prompt. Parts are not bound to an organisation, since
 * a part that crashes targets does so in the requests of any.
 *
 * @property depth position in the prompt; requests that share a part mostly share those before it
 */
public data class RequestTrait(public val fingerprint: Fingerprint, public val depth: Int) {
    public val isWholeRequest: Boolean get() = depth == WHOLE_REQUEST

    public companion object {
        public const val WHOLE_REQUEST: Int = Int.MAX_VALUE

        /** 64 bits; collisions among the traits that a host remembers are negligible. */
        private const val FINGERPRINT_DIGITS = 16

        public fun ofRequest(fingerprint: Fingerprint): RequestTrait =
            RequestTrait(fingerprint.shortened(), WHOLE_REQUEST)

        public fun ofPromptPart(id: String, depth: Int): RequestTrait =
            RequestTrait(Fingerprint.of("prompt-part", id).shortened(), depth)

        private fun Fingerprint.shortened(): Fingerprint =
            Fingerprint(value.take(FINGERPRINT_DIGITS))
    }
}
