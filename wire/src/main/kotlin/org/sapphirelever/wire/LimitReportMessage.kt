/*
 * The stored form of the request limits that a host heard from targets.
 */
package org.sapphirelever.wire

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.CborLabel
import org.sapphirelever.wire.peer.FieldLabel
import org.sapphirelever.wire.peer.PeerCbor
import org.sapphirelever.wire.peer.decodeCbor

/**
 * What [target] last stated.
 *
 * @property startedAt start time of the target in milliseconds on its own clock
 * @property ageMillis time since the statement
 * @property rate requests a second that the target takes from all hosts, or null without a limit
 */
@Serializable
public data class LimitMessage(
    @CborLabel(FieldLabel.FIRST) public val target: String,
    @CborLabel(FieldLabel.SECOND) public val startedAt: Long? = null,
    @CborLabel(FieldLabel.THIRD) public val ageMillis: Long,
    @CborLabel(FieldLabel.FOURTH) public val rate: Double? = null
)

/**
 * Statements of targets that one host heard.
 *
 * @property publishedAt time of the publication in milliseconds on the wall clock of the host
 */
@Serializable
public data class LimitReportMessage(
    @CborLabel(FieldLabel.FIRST) public val publishedAt: Long,
    @CborLabel(FieldLabel.SECOND) public val limits: List<LimitMessage> = emptyList()
)

public fun encodeLimitReport(message: LimitReportMessage): ByteArray =
    PeerCbor.encodeToByteArray(LimitReportMessage.serializer(), message)

/** Decodes [bytes]; throws a [SerializationException] if they are no valid report. */
public fun decodeLimitReport(bytes: ByteArray): LimitReportMessage =
    decodeCbor(LimitReportMessage.serializer(), bytes)
