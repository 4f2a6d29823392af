/*
 * Connection to the host that reads the store for this one. It carries one request at a time.
 */
package org.sapphirelever.runtime.forward

import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.SerializationException
import org.sapphirelever.core.HostId
import org.sapphirelever.decisions.forwarding.StoreLog
import org.sapphirelever.decisions.forwarding.StorePosition
import org.sapphirelever.runtime.peer.PeerConnection
import org.sapphirelever.runtime.transport.Sockets
import org.sapphirelever.wire.peer.EvacuationsKnown
import org.sapphirelever.wire.peer.StoreChangesReply
import org.sapphirelever.wire.peer.StoreChangesRequest

/** Asks other hosts for changes of the store. Only one task may use it. */
public class StoreFollower(private val sockets: Sockets, private val state: ForwardingState) {
    private class Link(val reader: HostId, val connection: PeerConnection)

    private var link: Link? = null

    /**
     * Asks [reader] for the changes after [after]. Throws [IOException] if it does not answer in
     * time.
     */
    public suspend fun ask(reader: HostId, after: StorePosition): StoreChangesReply {
        var isAnswered = false
        try {
            val connection = connectionTo(reader)
            connection.send(StoreChangesRequest(after.revision, after.era), ANSWER_TIMEOUT)
            val reply = receive(connection)
            isAnswered = true
            return reply
        } catch (invalid: SerializationException) {
            throw IOException("reply cannot be decoded", invalid)
        } finally {
            // A late reply on this connection could be taken for that to the next request.
            if (!isAnswered) close()
        }
    }

    /** Receives the reply; evacuations that the reader knows may arrive before it. */
    private suspend fun receive(connection: PeerConnection): StoreChangesReply {
        while (true) {
            when (val message = connection.receive(ANSWER_TIMEOUT)) {
                is StoreChangesReply -> return message
                is EvacuationsKnown -> state.evacuations.receive(message)
                else -> throw IOException("unexpected ${message::class.simpleName}")
            }
        }
    }

    /** Closes the connection, if there is one. */
    public fun close() {
        link?.connection?.close()
        link = null
    }

    private suspend fun connectionTo(reader: HostId): PeerConnection {
        link?.takeIf { it.reader == reader }?.let { return it.connection }
        close()
        val endpoint = state.hosts.value[reader]?.peers ?: throw IOException("unknown host")
        val opened = PeerConnection(sockets.connectSocket(endpoint, CONNECT_TIMEOUT))
        link = Link(reader, opened)
        return opened
    }

    private companion object {
        /** A reply may be late by 200 ms. */
        val ANSWER_TIMEOUT: Duration = StoreLog.LONGEST_HOLD + 200.milliseconds
        val CONNECT_TIMEOUT = 250.milliseconds
    }
}
