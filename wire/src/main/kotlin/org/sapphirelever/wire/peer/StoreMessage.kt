/*
 * Messages by which a host takes changes of the store from the one that reads it for their data
 * centre.
 */
package org.sapphirelever.wire.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** A message between a host and the one that reads the store for it. */
@Serializable
public sealed interface StoreMessage : PeerMessage

/** Requests the changes after the revision [after] of the store's [era]. */
@Serializable
@SerialName("store-request")
public data class StoreChangesRequest(
    @CborLabel(FieldLabel.FIRST) public val after: Long,
    @CborLabel(FieldLabel.SECOND) public val era: Long = 0
) : StoreMessage

/** Why the receiver of a [StoreChangesRequest] does not know the changes. */
@Serializable
public enum class StoreRefusal {
    /** It does not read the store, or the store does not answer it. */
    @SerialName("not-reading")
    NOT_READING,

    /** It read the store only after the requested revision. */
    @SerialName("gap")
    GAP
}

/** An answer of the store up to [revision]; [text] is in the store's encoding. */
@Serializable
public data class ChangesMessage(
    @CborLabel(FieldLabel.FIRST) public val revision: Long,
    @CborLabel(FieldLabel.SECOND) public val text: String
)

/**
 * Reply to a [StoreChangesRequest].
 *
 * @property revision revision of [era] up to which [changes] or [listing] are complete
 * @property ageMillis age of the store's confirmation when the request was received, rounded up;
 *   negative if the store confirmed later
 * @property refusal set if the sender does not know the changes; the other fields are unset then
 * @property era era of the store that the sender reads
 * @property listing pages of a listing in the store's encoding, if the request names an earlier era
 */
@Serializable
@SerialName("store-reply")
public data class StoreChangesReply(
    @CborLabel(FieldLabel.FIRST) public val revision: Long = 0,
    @CborLabel(FieldLabel.SECOND) public val ageMillis: Long = 0,
    @CborLabel(FieldLabel.THIRD) public val changes: List<ChangesMessage> = emptyList(),
    @CborLabel(FieldLabel.FOURTH) public val refusal: StoreRefusal? = null,
    @CborLabel(FieldLabel.FIFTH) public val era: Long = 0,
    @CborLabel(FieldLabel.SIXTH) public val listing: List<String> = emptyList()
) : StoreMessage
