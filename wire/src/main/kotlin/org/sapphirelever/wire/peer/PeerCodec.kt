/*
 * Encoding of messages between hosts: CBOR in frames with a length prefix.
 */
package org.sapphirelever.wire.peer

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor

/** Size of the length prefix of a frame. */
public const val FRAME_HEADER_BYTES: Int = 4

/** Greatest size of a frame body: twice that of a configuration document of 1 MB. */
public const val MAXIMUM_FRAME_BYTES: Int = 2 * 1024 * 1024

/** Format of the messages; ignores unknown fields, so that versions can be mixed. */
public val PeerCbor: Cbor =
    Cbor {
        ignoreUnknownKeys = true
        encodeDefaults = false
        preferCborLabelsOverNames = true
        useDefiniteLengthEncoding = true
    }

/** Cached, since each call of `PeerMessage.serializer()` builds the sealed serializer anew. */
private val messageSerializer = PeerMessage.serializer()

/** Encodes [message] as the body of a frame. */
public fun encodePeerMessage(message: PeerMessage): ByteArray {
    val body = PeerCbor.encodeToByteArray(messageSerializer, message)
    requireFrameSize(body.size)
    return body
}

/** Decodes the [body] of a frame; throws a [SerializationException] if it is no valid message. */
public fun decodePeerMessage(body: ByteArray): PeerMessage = decodeCbor(messageSerializer, body)

/**
 * Decodes [bytes]; throws a [SerializationException] if they are no valid message. The decoder
 * itself fails with other exceptions as well, such as those of array accesses.
 */
internal fun <T> decodeCbor(serializer: DeserializationStrategy<T>, bytes: ByteArray): T = try {
    PeerCbor.decodeFromByteArray(serializer, bytes)
} catch (invalid: SerializationException) {
    throw invalid
} catch (invalid: RuntimeException) {
    throw SerializationException("invalid CBOR", invalid)
} catch (invalid: StackOverflowError) {
    throw SerializationException("CBOR is nested too deeply", invalid)
} catch (invalid: OutOfMemoryError) {
    throw SerializationException("CBOR states too large a length", invalid)
}

/** Throws a [SerializationException] if a frame body of [size] bytes is empty or too large. */
public fun requireFrameSize(size: Int) {
    if (size !in 1..MAXIMUM_FRAME_BYTES) {
        throw SerializationException("frame of $size bytes is outside 1..$MAXIMUM_FRAME_BYTES")
    }
}
