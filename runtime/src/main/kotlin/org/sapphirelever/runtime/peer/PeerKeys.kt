/*
 * Requests and claims of keys, sent to other entry hosts. Each uses its own connection, so that a
 * long request does not hold up heartbeats.
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

/** Sends requests to the owners of their keys, and hands claims over at a planned stop. */
public class PeerKeys(private val protocol: PeerProtocol, private val selector: SelectorManager) :
    KeyForwarder {
    private val numbers = AtomicLong()

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
        val number = numbers.incrementAndGet()
        val message = ForwardRequest(number, owner.incarnation.value, request)
        return connection.use { result(it, message, remaining) }
    }

    /** Hands [offer] to [successor]; false if it did not accept. */
    public suspend fun handOver(offer: KeyHandoverOffer, successor: Member): Boolean {
        val opened = open(KeyOwner(successor.id.incarnation, successor.peer))
        val connection = (opened as? Opened.Ready)?.connection ?: return false
        val message = KeyHandover(
            offer.owner.incarnation.value,
            offer.owner.peer.toMessage(),
            offer.claims
        )
        return connection.use { exchange(it, message, HANDOVER_LIMIT) } ==
            KeyHandoverAccepted(accepted = true)
    }

    /** The process that answers for the keys of [owner]: itself, or its successor. */
    private fun holderOf(owner: KeyOwner): KeyOwner {
        val left = protocol.state.membership.value.members.values.map { it.member }
            .firstOrNull { it.id.incarnation == owner.incarnation }
        val successor = left?.successor ?: return owner
        return left.successorPeer?.let { KeyOwner(successor, it) } ?: owner
    }

    /** Opens a connection to exactly the process of [holder]. Nothing of a request is sent yet. */
    private suspend fun open(holder: KeyOwner): Opened {
        val connection =
            attempt { PeerConnection.open(selector, holder.peer) } ?: return Opened.Gone
        val hello = attempt {
            connection.send(protocol.hello(holder.incarnation))
            connection.receive(HELLO_LIMIT) as? Hello
        }
        if (hello?.member?.incarnation == holder.incarnation.value) return Opened.Ready(connection)
        connection.close()
        return Opened.Gone
    }

    private suspend fun result(
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

    /** Sends [message] and returns the answer; null if none came in time. */
    private suspend fun exchange(
        connection: PeerConnection,
        message: PeerMessage,
        limit: Duration
    ): PeerMessage? = attempt {
        withTimeoutOrNull(limit) {
            connection.send(message)
            var answer = connection.receive(limit)
            while (answer !is ForwardedOutcome && answer !is KeyHandoverAccepted) {
                answer = connection.receive(limit)
            }
            answer
        }
    }

    private suspend fun <T> attempt(act: suspend () -> T): T? = try {
        act()
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (_: Exception) {
        null
    }

    private companion object {
        val HELLO_LIMIT = 2.seconds
        val HANDOVER_LIMIT = 5.seconds
    }
}
