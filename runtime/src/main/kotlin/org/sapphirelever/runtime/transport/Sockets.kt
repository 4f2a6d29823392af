/*
 * Opens and accepts TCP connections.
 */
package org.sapphirelever.runtime.transport

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import java.io.Closeable
import java.io.IOException
import kotlin.time.Duration
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.sapphirelever.core.Endpoint
import org.sapphirelever.runtime.log.logWarning

/** Opens the sockets of one process, which share one selector. */
public class Sockets : Closeable {
    private val selector = SelectorManager(Dispatchers.IO)

    /** Connects to [endpoint]; throws [IOException] on failure or after [timeout]. */
    public suspend fun connect(endpoint: Endpoint, timeout: Duration): HttpConnection =
        HttpConnection(connectSocket(endpoint, timeout))

    /** Like [connect], for a protocol other than HTTP. */
    public suspend fun connectSocket(endpoint: Endpoint, timeout: Duration): Socket {
        val address = InetSocketAddress(endpoint.address, endpoint.port)
        val socket =
            try {
                withTimeoutOrNull(timeout) {
                    aSocket(selector).tcp().connect(address) { noDelay = true }
                }
            } catch (cancelled: CancellationException) {
                currentCoroutineContext().ensureActive()
                throw IOException("connection to $endpoint failed", cancelled)
            }
        return socket ?: throw IOException("no connection to $endpoint in $timeout")
    }

    public suspend fun listen(endpoint: Endpoint): Listener {
        val address = InetSocketAddress(endpoint.address, endpoint.port)
        val server =
            aSocket(selector).tcp().configure { reuseAddress = true }.bind(address) {
                backlogSize = BACKLOG
            }
        return Listener(server)
    }

    override fun close() {
        selector.close()
    }

    private companion object {
        /** Connections that may wait to be accepted; a full queue delays callers by seconds. */
        const val BACKLOG = 1_024
    }
}

/** Accepts connections on one address. */
public class Listener(private val server: ServerSocket) : Closeable {
    /** Runs [serve] in a separate task for each connection, until this listener is closed. */
    public suspend fun run(serve: suspend (HttpConnection) -> Unit) {
        runSockets { socket -> HttpConnection(socket).use { serve(it) } }
    }

    /** Like [run], for a protocol other than HTTP. */
    public suspend fun runSockets(serve: suspend (Socket) -> Unit): Unit = coroutineScope {
        while (true) {
            val socket = server.accept()
            launch { serveGuarded(socket, serve) }
        }
    }

    override fun close() {
        server.close()
    }

    private suspend fun CoroutineScope.serveGuarded(
        socket: Socket,
        serve: suspend (Socket) -> Unit
    ) {
        try {
            serve(socket)
        } catch (cancelled: CancellationException) {
            ensureActive()
            logWarning("connection-failed") { "failure" to cancelled }
        } catch (_: IOException) {
            // The peer closed or reset the connection; the request itself was logged.
        } catch (failure: Throwable) {
            // Errors too, such as a stack overflow, end only the connection that caused them.
            logWarning("connection-failed") { "failure" to failure }
        } finally {
            socket.close()
        }
    }
}
