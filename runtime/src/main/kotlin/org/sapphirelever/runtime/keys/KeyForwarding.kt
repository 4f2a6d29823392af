/*
 * Boundary between the owner of keys and the links to other entry hosts. A request whose key
 * another incarnation minted is sent to that incarnation and runs nowhere else.
 */
package org.sapphirelever.runtime.keys

import kotlin.time.Duration
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.Incarnation
import org.sapphirelever.wire.KeyClaimMessage
import org.sapphirelever.wire.OutcomeMessage
import org.sapphirelever.wire.RequestMessage

/** Process that minted a key, and its address for other entry hosts. */
public data class KeyOwner(public val incarnation: Incarnation, public val peer: Endpoint)

/** Result of sending a request to the owner of its key. */
public sealed interface ForwardResult {
    public data class Answered(public val outcome: OutcomeMessage) : ForwardResult

    /** No connection to the owner, or the process there is another incarnation. */
    public data object OwnerGone : ForwardResult

    /** The request may have been received; no answer came in time. */
    public data object Unclear : ForwardResult
}

/** Sends requests to the owners of their keys. */
public fun interface KeyForwarder {
    public suspend fun forward(
        owner: KeyOwner,
        request: RequestMessage,
        remaining: Duration
    ): ForwardResult
}

/** Claims that one incarnation hands over when it stops. */
public data class KeyHandoverOffer(
    public val owner: KeyOwner,
    public val claims: List<KeyClaimMessage>
)

/** What the links to other hosts call when a message about keys arrives. */
public interface KeyRequests {
    /** Runs a forwarded request whose key this incarnation owns, by minting or by handover. */
    public suspend fun run(request: RequestMessage): OutcomeMessage

    /** Takes over the claims of a stopping host; false if this host is stopping as well. */
    public suspend fun takeOver(offer: KeyHandoverOffer): Boolean
}
