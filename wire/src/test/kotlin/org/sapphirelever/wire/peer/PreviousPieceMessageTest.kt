package org.sapphirelever.wire.peer

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/** Guards against stage work that stops while hosts of two versions run side by side. */
class PreviousPieceMessageTest {
    @Serializable
    private data class PreviousEstimate(
        @CborLabel(FieldLabel.FIRST) val service: String,
        @CborLabel(FieldLabel.SECOND) val waitMillis: Map<Int, Long> = emptyMap()
    )

    @Serializable
    private data class PreviousWorkContinues(
        @CborLabel(FieldLabel.FIRST)
        @SerialName("outlooks")
        val waitEstimates: List<PreviousEstimate> = emptyList()
    )

    @Serializable
    private data class PreviousMakePieces(
        @CborLabel(FieldLabel.FIRST) val number: Long,
        @CborLabel(FieldLabel.SECOND) val service: String,
        @CborLabel(FieldLabel.THIRD) val request: String,
        @CborLabel(FieldLabel.FOURTH) val stage: Int,
        @CborLabel(FieldLabel.FIFTH) val resultBytes: Long,
        @CborLabel(FieldLabel.SIXTH) val rank: Int,
        @CborLabel(FieldLabel.SEVENTH) val remainingMillis: Long,
        @CborLabel(FieldLabel.EIGHTH) val dataCentre: String,
        @CborLabel(FieldLabel.NINTH) @SerialName("aimMillis") val softDeadlineMillis: Long,
        @CborLabel(FieldLabel.TENTH) val inputs: Map<String, Long> = emptyMap(),
        val pieces: List<PieceOrderMessage>
    )

    private val waits = mapOf(0 to 100L, 1 to 200L)
    private val pieces = listOf(PieceOrderMessage(0, "key"), PieceOrderMessage(1, "key"))
    private val request =
        MakePieces(7, "encode", "r", 0, 10, 1, 900, "a", 800, mapOf("a" to 5L), pieces)
    private val previousRequest =
        PreviousMakePieces(7, "encode", "r", 0, 10, 1, 900, "a", 800, mapOf("a" to 5L), pieces)

    @Test
    fun `a host of the previous version reads requests and reports`() {
        val sent = request.copy(later = mapOf("rank" to 6), laterMillis = 300)
        assertEquals(
            previousRequest,
            PeerCbor.decodeFromByteArray<PreviousMakePieces>(PeerCbor.encodeToByteArray(sent))
        )
        val report =
            WorkContinues(
                listOf(WaitEstimateMessage("encode", waits, mapOf(1 to 300L), 0.5)),
                listOf(AnnouncedPiecesMessage("rank", mapOf(1 to 6)))
            )
        assertEquals(
            PreviousWorkContinues(listOf(PreviousEstimate("encode", waits))),
            PeerCbor.decodeFromByteArray<PreviousWorkContinues>(PeerCbor.encodeToByteArray(report))
        )
    }

    @Test
    fun `requests and reports of a host of the previous version are read`() {
        assertEquals(
            request,
            PeerCbor.decodeFromByteArray<MakePieces>(PeerCbor.encodeToByteArray(previousRequest))
        )
        val report = PreviousWorkContinues(listOf(PreviousEstimate("encode", waits)))
        assertEquals(
            WorkContinues(listOf(WaitEstimateMessage("encode", waits))),
            PeerCbor.decodeFromByteArray<WorkContinues>(PeerCbor.encodeToByteArray(report))
        )
    }
}
