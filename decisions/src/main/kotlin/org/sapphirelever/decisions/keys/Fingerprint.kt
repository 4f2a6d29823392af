/*
 * Fingerprints of requests. They show whether a key is reused for another request, and whether the
 * same request crashes targets repeatedly.
 */
package org.sapphirelever.decisions.keys

import java.nio.ByteBuffer
import java.security.MessageDigest

/** Hash of the parts of a request, as hexadecimal text. */
@JvmInline
public value class Fingerprint(public val value: String) {
    public companion object {
        /**
         * Fingerprint of [parts] and of the blocks of a [body], if there is one. The lengths of the
         * parts are hashed, so ("ab", "c") is not ("a", "bc").
         */
        public fun of(vararg parts: String, body: List<ByteArray> = emptyList()): Fingerprint {
            val digest = MessageDigest.getInstance("SHA-256")
            parts.map { it.encodeToByteArray() }.forEach {
                digest.update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(it.size).array())
                digest.update(it)
            }
            body.forEach { digest.update(it) }
            return Fingerprint(digest.digest().joinToString("") { "%02x".format(it) })
        }
    }
}
