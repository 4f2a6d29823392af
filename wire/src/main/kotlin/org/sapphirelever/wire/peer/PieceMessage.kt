/*
 * Messages by which hosts share calls for stage work: the host that a service is assigned to makes
 * the pieces of all hosts, so that its batches are large.
 */
package org.sapphirelever.wire.peer

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** A message about stage work. */
@Serializable
public sealed interface PieceMessage : PeerMessage

@Serializable
public data class PieceOrderMessage(
    @CborLabel(FieldLabel.FIRST) public val piece: Int,
    @CborLabel(FieldLabel.SECOND) public val key: String? = null,
    @CborLabel(FieldLabel.THIRD) public val inputs: List<String> = emptyList()
)

/**
 * Asks for the pieces of one stage of [request]. [number] identifies the question on its
 * connection; the answer is of use for [remainingMillis], and on time for [aimMillis].
 */
@Serializable
public data class MakePieces(
    @CborLabel(FieldLabel.FIRST) public val number: Long,
    @CborLabel(FieldLabel.SECOND) public val service: String,
    @CborLabel(FieldLabel.THIRD) public val request: String,
    @CborLabel(FieldLabel.FOURTH) public val stage: Int,
    @CborLabel(FieldLabel.FIFTH) public val resultBytes: Long,
    @CborLabel(FieldLabel.SIXTH) public val rank: Int,
    @CborLabel(FieldLabel.SEVENTH) public val remainingMillis: Long,
    @CborLabel(FieldLabel.EIGHTH) public val dataCentre: String,
    @CborLabel(FieldLabel.NINTH) public val aimMillis: Long,
    @CborLabel(FieldLabel.TENTH) public val inputs: Map<String, Long> = emptyMap(),
    public val pieces: List<PieceOrderMessage>
) : PieceMessage

@Serializable
public data class MadePieceMessage(
    @CborLabel(FieldLabel.FIRST) public val handle: String,
    @CborLabel(FieldLabel.SECOND) public val maker: String
)

/** Answers the question [number]: either all results, or why there are none. */
@Serializable
public data class PiecesMade(
    @CborLabel(FieldLabel.FIRST) public val number: Long,
    @CborLabel(FieldLabel.SECOND) public val results: List<MadePieceMessage> = emptyList(),
    @CborLabel(FieldLabel.THIRD) public val failure: String? = null
) : PieceMessage

/** Withdraws the question [number]. */
@Serializable
public data class AbandonPieces(@CborLabel(FieldLabel.FIRST) public val number: Long) : PieceMessage

/** Results that are no longer needed. */
@Serializable
public data class ReleaseResults(
    @CborLabel(FieldLabel.FIRST) public val service: String,
    @CborLabel(FieldLabel.SECOND) public val results: List<MadePieceMessage>
) : PieceMessage

/** Expected waiting time in milliseconds of new pieces of [service], by their rank. */
@Serializable
public data class OutlookMessage(
    @CborLabel(FieldLabel.FIRST) public val service: String,
    @CborLabel(FieldLabel.SECOND) public val waitMillis: Map<Int, Long> = emptyMap()
)

/** Tells that the sender works on questions, and how long new ones are expected to wait. */
@Serializable
public data class WorkContinues(
    @CborLabel(FieldLabel.FIRST) public val outlooks: List<OutlookMessage> = emptyList()
) : PieceMessage
