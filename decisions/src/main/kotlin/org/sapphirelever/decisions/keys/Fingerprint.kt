/*
 * Fingerprints of requests, by which another use of a key or a repeated crash is recognised.
 */
package org.sapphirelever.decisions.keys

import java.nio.ByteBuffer
import java.security.MessageDigest

/** Hash of the parts of a request, as hexadecimal text. */
@JvmInline
public value class Fingerprint(public val value: String) {
    public companion object {
        /** Fingerprint of [parts]; their lengths are hashed too, so that parts cannot shift. */
        public fun of(vararg parts: String): Fingerprint {
            val digest = MessageDigest.getInstance("SHA-256")
            parts.map { it.encodeToByteArray() }.forEach {
                digest.update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(it.size).array())
                digest.update(it)
            }
            return Fingerprint(digest.digest().joinToString("") { "%02x".format(it) })
        }
    }
}
