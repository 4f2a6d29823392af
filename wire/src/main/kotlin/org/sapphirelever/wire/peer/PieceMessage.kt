/*
 * Messages for shared stage work. The host to which a service is assigned calls it for the pieces
 * of all hosts, so that its batches are large.
 */
package org.sapphirelever.wire.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** A message between a host and the one that makes its stage calls. */
@Serializable
public sealed interface PieceMessage : PeerMessage

/**
 * One piece of a [MakePieces] request.
 *
 * @property key input of a piece whose stage has no preceding stages
 * @property inputs handles of the results that are its inputs
 */
@Serializable
public data class PieceOrderMessage(
    @CborLabel(FieldLabel.FIRST) public val piece: Int,
    @CborLabel(FieldLabel.SECOND) public val key: String? = null,
    @CborLabel(FieldLabel.THIRD) public val inputs: List<String> = emptyList()
)

/**
 * Requests the results of pieces of one stage of [request].
 *
 * @property number identifies this message on its connection
 * @property resultBytes approximate size of one result
 * @property rank scheduling priority, where 0 is the most urgent
 * @property remainingMillis time until the deadline, after which results are of no use
 * @property dataCentre data centre of the sender
 * @property softDeadlineMillis time until the soft deadline, which the objective sets
 * @property inputs size of the inputs in bytes, by data centre
 * @property later number of pieces of the request that follow at other services
 * @property laterMillis time that later stages and the target of the request need
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
    @CborLabel(FieldLabel.NINTH) @SerialName("aimMillis") public val softDeadlineMillis: Long,
    @CborLabel(FieldLabel.TENTH) public val inputs: Map<String, Long> = emptyMap(),
    public val pieces: List<PieceOrderMessage>,
    @CborLabel(FieldLabel.ELEVENTH) public val later: Map<String, Int> = emptyMap(),
    @CborLabel(FieldLabel.TWELFTH) public val laterMillis: Long = 0
) : PieceMessage

/** Result of a piece: its [handle] at the target [maker], which made and stores it. */
@Serializable
public data class MadePieceMessage(
    @CborLabel(FieldLabel.FIRST) public val handle: String,
    @CborLabel(FieldLabel.SECOND) public val maker: String
)

/** Reply to the [MakePieces] message [number]: all results, or the reason of the [failure]. */
@Serializable
public data class PiecesMade(
    @CborLabel(FieldLabel.FIRST) public val number: Long,
    @CborLabel(FieldLabel.SECOND) public val results: List<MadePieceMessage> = emptyList(),
    @CborLabel(FieldLabel.THIRD) public val failure: String? = null
) : PieceMessage

/** Cancels the [MakePieces] message [number]. */
@Serializable
public data class AbandonPieces(@CborLabel(FieldLabel.FIRST) public val number: Long) : PieceMessage

/** Releases results that are no longer needed. */
@Serializable
public data class ReleaseResults(
    @CborLabel(FieldLabel.FIRST) public val service: String,
    @CborLabel(FieldLabel.SECOND) public val results: List<MadePieceMessage>
) : PieceMessage

/**
 * Expected waiting time of new pieces of [service], by rank.
 *
 * @property postponedMillis the same for pieces whose request cannot be on time
 * @property piecesPerMilli rate at which the service completes pieces; 0 if unknown
 */
@Serializable
public data class WaitEstimateMessage(
    @CborLabel(FieldLabel.FIRST) public val service: String,
    @CborLabel(FieldLabel.SECOND) public val waitMillis: Map<Int, Long> = emptyMap(),
    @CborLabel(FieldLabel.THIRD) public val postponedMillis: Map<Int, Long> = emptyMap(),
    @CborLabel(FieldLabel.FOURTH) public val piecesPerMilli: Double = 0.0
)

/** Whether [dataCentre] is to be emptied, as of [revision] of the store's [era]. */
@Serializable
public data class EvacuationMessage(
    @CborLabel(FieldLabel.FIRST) public val dataCentre: String,
    @CborLabel(FieldLabel.SECOND) public val isEmptied: Boolean,
    @CborLabel(FieldLabel.THIRD) public val revision: Long,
    @CborLabel(FieldLabel.FOURTH) public val era: Long = 0
)

/** The evacuations and the [era] of the store that the sender knows; sent in both directions. */
@Serializable
public data class EvacuationsKnown(
    @CborLabel(FieldLabel.FIRST) public val evacuations: List<EvacuationMessage> = emptyList(),
    @CborLabel(FieldLabel.SECOND) public val era: Long = 0
) : PieceMessage

/** Pieces, by rank, that will reach [service] from requests in an earlier stage. */
@Serializable
public data class AnnouncedPiecesMessage(
    @CborLabel(FieldLabel.FIRST) public val service: String,
    @CborLabel(FieldLabel.SECOND) public val pieces: Map<Int, Int> = emptyMap()
)

/**
 * Keep-alive of a host that works on [MakePieces] messages, with its current wait estimates and the
 * work that is on its way from it to other services.
 */
@Serializable
public data class WorkContinues(
    @CborLabel(FieldLabel.FIRST)
    @SerialName("outlooks")
    public val waitEstimates: List<WaitEstimateMessage> = emptyList(),
    @CborLabel(FieldLabel.SECOND)
    public val announced: List<AnnouncedPiecesMessage> = emptyList()
) : PieceMessage
