/*
 * Encoding of messages between entry hosts: CBOR in frames that start with their length.
 */
package org.sapphirelever.wire.peer

import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor

/** Size of the length at the head of a frame, in bytes. */
public const val FRAME_HEADER_BYTES: Int = 4

/** Greatest body of a frame: a configuration document of 1 MB with its framing, twice over. */
public const val MAXIMUM_FRAME_BYTES: Int = 2 * 1024 * 1024

/** CBOR of the messages. Unknown fields are ignored, so that versions can be mixed. */
public val PeerCbor: Cbor =
    Cbor {
        ignoreUnknownKeys = true
        encodeDefaults = false
        preferCborLabelsOverNames = true
        useDefiniteLengthEncoding = true
    }

/** Held once, since the serializer of a sealed type is built again on each request for it. */
private val messageSerializer = PeerMessage.serializer()

/** Body of the frame of [message]. */
public fun encodePeerMessage(message: PeerMessage): ByteArray {
    val body = PeerCbor.encodeToByteArray(messageSerializer, message)
    requireFrameSize(body.size)
    return body
}

/** The message in [body]; a [SerializationException] says that it is not one. */
public fun decodePeerMessage(body: ByteArray): PeerMessage =
    PeerCbor.decodeFromByteArray(messageSerializer, body)

/** Refuses a frame of [size] bytes that is empty or larger than the bound. */
public fun requireFrameSize(size: Int) {
    if (size !in 1..MAXIMUM_FRAME_BYTES) {
        throw SerializationException("frame of $size bytes is outside 1..$MAXIMUM_FRAME_BYTES")
    }
}
