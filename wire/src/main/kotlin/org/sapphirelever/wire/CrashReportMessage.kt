/*
 * The stored form of what a host observed about crashes of targets. Times are ages in milliseconds,
 * since the clocks of hosts differ.
 */
package org.sapphirelever.wire

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.CborLabel
import org.sapphirelever.wire.peer.FieldLabel
import org.sapphirelever.wire.peer.PeerCbor
import org.sapphirelever.wire.peer.decodeCbor

/**
 * A crash of [target].
 *
 * @property startedAt start time of the target in milliseconds on its own clock
 * @property traits position in the prompt of each trait, by fingerprint
 */
@Serializable
public data class CrashMessage(
    @CborLabel(FieldLabel.FIRST) public val target: String,
    @CborLabel(FieldLabel.SECOND) public val startedAt: Long? = null,
    @CborLabel(FieldLabel.THIRD) public val ageMillis: Long,
    @CborLabel(FieldLabel.FOURTH) public val traits: Map<String, Int>
)

/**
 * Crashes that one host observed, and for each trait the age of its last successful request.
 *
 * @property publishedAt time of the publication in milliseconds on the wall clock of the host
 */
@Serializable
public data class CrashReportMessage(
    @CborLabel(FieldLabel.FIRST) public val publishedAt: Long,
    @CborLabel(FieldLabel.SECOND) public val crashes: List<CrashMessage> = emptyList(),
    @CborLabel(FieldLabel.THIRD) public val survivals: Map<String, Long> = emptyMap()
)

public fun encodeCrashReport(message: CrashReportMessage): ByteArray =
    PeerCbor.encodeToByteArray(CrashReportMessage.serializer(), message)

/** Decodes [bytes]; throws a [SerializationException] if they are no valid report. */
public fun decodeCrashReport(bytes: ByteArray): CrashReportMessage =
    decodeCbor(CrashReportMessage.serializer(), bytes)
