/*
 * One connection between two entry hosts: length-prefixed messages over a socket.
 */
package org.sapphirelever.runtime.peer

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import java.io.Closeable
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import org.sapphirelever.core.Endpoint
import org.sapphirelever.wire.peer.PeerMessage
import org.sapphirelever.wire.peer.decodePeerMessage
import org.sapphirelever.wire.peer.encodePeerMessage
import org.sapphirelever.wire.peer.requireFrameSize

/** The peer sent nothing, or accepted no data, within the timeout. */
public class SilentPeerException(message: String) : IOException(message)

/** Sends and receives messages over [socket]. Several tasks may send; one task receives. */
public class PeerConnection(private val socket: Socket) : Closeable {
    private val input = socket.openReadChannel()
    private val output = socket.openWriteChannel(autoFlush = false)
    private val sendMutex = Mutex()

    /** Sends [message]; throws [SilentPeerException] if that takes longer than [timeout]. */
    public suspend fun send(message: PeerMessage, timeout: Duration = SEND_TIMEOUT) {
        val body = encodePeerMessage(message)
        withTimeoutOrNull(timeout) {
            sendMutex.withLock {
                output.writeInt(body.size)
                output.writeByteArray(body)
                output.flush()
            }
        } ?: throw SilentPeerException("the peer accepted no data for $timeout")
    }

    /** Receives a message; throws [SilentPeerException] if none arrives within [timeout]. */
    public suspend fun receive(timeout: Duration): PeerMessage = withTimeoutOrNull(timeout) {
        val size = input.readInt()
        requireFrameSize(size)
        decodePeerMessage(input.readByteArray(size))
    } ?: throw SilentPeerException("the peer sent nothing for $timeout")

    override fun close() {
        socket.close()
    }

    public companion object {
        public val SEND_TIMEOUT: Duration = 6.seconds
        private val CONNECT_TIMEOUT = 2.seconds

        /** Opens a connection to [peer]; throws [IOException] if that fails or times out. */
        public suspend fun open(selector: SelectorManager, peer: Endpoint): PeerConnection {
            val address = InetSocketAddress(peer.address, peer.port)
            val socket =
                withTimeoutOrNull(CONNECT_TIMEOUT) { aSocket(selector).tcp().connect(address) }
                    ?: throw SilentPeerException("no connection to $peer in $CONNECT_TIMEOUT")
            return PeerConnection(socket)
        }
    }
}
