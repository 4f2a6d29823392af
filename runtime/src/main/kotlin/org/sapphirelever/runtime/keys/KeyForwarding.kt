/*
 * Interfaces between the owner of keys and the links to other entry hosts. A request whose key was
 * minted by another incarnation is forwarded to that incarnation and runs nowhere else.
 */
package org.sapphirelever.runtime.keys

import kotlin.time.Duration
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.Incarnation
import org.sapphirelever.wire.KeyClaimMessage
import org.sapphirelever.wire.OutcomeMessage
import org.sapphirelever.wire.RequestMessage

/** Process that minted a key, and the address at which other entry hosts reach it. */
public data class KeyOwner(public val incarnation: Incarnation, public val peer: Endpoint)

/** Result of forwarding a request to the owner of its key. */
public sealed interface ForwardResult {
    public data class Answered(public val outcome: OutcomeMessage) : ForwardResult

    /** The owner did not accept a connection, or another incarnation runs at its address. */
    public data object OwnerGone : ForwardResult

    /** The owner may have received the request, but no answer arrived in time. */
    public data object Unclear : ForwardResult
}

/** Forwards requests to the owners of their keys. */
public fun interface KeyForwarder {
    public suspend fun forward(
        owner: KeyOwner,
        request: RequestMessage,
        remaining: Duration
    ): ForwardResult
}

/** Claims that [owner] hands over to another host when it stops. */
public data class KeyHandoverOffer(
    public val owner: KeyOwner,
    public val claims: List<KeyClaimMessage>
)

/** Handles messages about keys from other entry hosts. */
public interface KeyMessageHandler {
    /** Runs a forwarded request whose key this incarnation minted or took over. */
    public suspend fun run(request: RequestMessage): OutcomeMessage

    /** Takes over the claims of a stopping host; returns false if this host is stopping too. */
    public suspend fun takeOver(offer: KeyHandoverOffer): Boolean
}
