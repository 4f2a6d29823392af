/*
 * Forwarding of keyed requests and handover of key claims to other entry hosts. Each uses a
 * connection of its own, so that a long request does not delay heartbeats.
 */
package org.sapphirelever.runtime.peer

import io.ktor.network.selector.SelectorManager
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.Incarnation
import org.sapphirelever.decisions.membership.Member
import org.sapphirelever.runtime.keys.ForwardResult
import org.sapphirelever.runtime.keys.KeyForwarder
import org.sapphirelever.runtime.keys.KeyHandoverOffer
import org.sapphirelever.runtime.keys.KeyOwner
import org.sapphirelever.wire.RequestMessage
import org.sapphirelever.wire.peer.ForwardRequest
import org.sapphirelever.wire.peer.ForwardedOutcome
import org.sapphirelever.wire.peer.Hello
import org.sapphirelever.wire.peer.KeyHandover
import org.sapphirelever.wire.peer.KeyHandoverAccepted
import org.sapphirelever.wire.peer.PeerMessage
import org.sapphirelever.wire.peer.toMessage

/** Forwards requests to the owners of their keys, and hands claims over at a planned stop. */
public class PeerKeys(private val protocol: PeerProtocol, private val selector: SelectorManager) :
    KeyForwarder {
    private val requestNumbers = AtomicLong()

    private sealed interface Opened {
        data class Ready(val connection: PeerConnection) : Opened

        data object Gone : Opened
    }

    override suspend fun forward(
        owner: KeyOwner,
        request: RequestMessage,
        remaining: Duration
    ): ForwardResult {
        val holder = holderOf(owner)
        val connection = when (val opened = open(holder)) {
            is Opened.Ready -> opened.connection
            Opened.Gone -> return ForwardResult.OwnerGone
        }
        val number = requestNumbers.incrementAndGet()
        val message = ForwardRequest(number, owner.incarnation.value, request)
        return connection.use { sendRequest(it, message, remaining) }
    }

    /** Offers the claims of [offer] to [successor]; returns whether it accepted them. */
    public suspend fun handOver(offer: KeyHandoverOffer, successor: Member): Boolean {
        val opened = open(KeyOwner(successor.id.incarnation, successor.peer))
        val connection = (opened as? Opened.Ready)?.connection ?: return false
        val message = KeyHandover(
            offer.owner.incarnation.value,
            offer.owner.peer.toMessage(),
            offer.claims
        )
        return connection.use { exchange(it, message, HANDOVER_TIMEOUT) } ==
            KeyHandoverAccepted(accepted = true)
    }

    /** Process that holds the keys of [owner]: the owner, or its successor after a planned stop. */
    private fun holderOf(owner: KeyOwner): KeyOwner {
        val record = protocol.state.membership.value.members.values.map { it.member }
            .firstOrNull { it.id.incarnation == owner.incarnation }
        val successor = record?.successor ?: return owner
        return record.successorPeer?.let { KeyOwner(successor, it) } ?: owner
    }

    /** Connects to [holder] and verifies its incarnation, before any part of a request is sent. */
    private suspend fun open(holder: KeyOwner): Opened {
        val connection =
            orNull { PeerConnection.open(selector, holder.peer) } ?: return Opened.Gone
        val hello = orNull {
            connection.send(protocol.hello(holder.incarnation))
            connection.receive(HELLO_TIMEOUT) as? Hello
        }
        if (hello?.member?.incarnation == holder.incarnation.value) return Opened.Ready(connection)
        connection.close()
        return Opened.Gone
    }

    private suspend fun sendRequest(
        connection: PeerConnection,
        message: ForwardRequest,
        remaining: Duration
    ): ForwardResult {
        val answer = exchange(connection, message, remaining) as? ForwardedOutcome
            ?: return ForwardResult.Unclear
        val outcome = answer.outcome ?: return ForwardResult.OwnerGone
        return if (answer.number == message.number) {
            ForwardResult.Answered(outcome)
        } else {
            ForwardResult.Unclear
        }
    }

    /** Sends [message] and returns the answer, or null if none arrives within [timeout]. */
    private suspend fun exchange(
        connection: PeerConnection,
        message: PeerMessage,
        timeout: Duration
    ): PeerMessage? = orNull {
        withTimeoutOrNull(timeout) {
            connection.send(message)
            var answer = connection.receive(timeout)
            while (answer !is ForwardedOutcome && answer !is KeyHandoverAccepted) {
                answer = connection.receive(timeout)
            }
            answer
        }
    }

    private suspend fun <T> orNull(action: suspend () -> T): T? = try {
        action()
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (_: Exception) {
        null
    }

    private companion object {
        val HELLO_TIMEOUT = 2.seconds
        val HANDOVER_TIMEOUT = 5.seconds
    }
}
