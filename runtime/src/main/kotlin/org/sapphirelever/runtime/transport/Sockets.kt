/*
 * Opens and accepts TCP connections.
 */
package org.sapphirelever.runtime.transport

import io.ktor.network.selector.SelectInterest
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import java.io.Closeable
import java.io.IOException
import java.net.StandardSocketOptions
import java.nio.channels.ClosedChannelException
import java.nio.channels.ServerSocketChannel
import java.nio.channels.SocketChannel
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.sapphirelever.core.Endpoint
import org.sapphirelever.runtime.log.logWarning

/** Opens the sockets of one process, which share one selector. */
public class Sockets : Closeable {
    private val selector = SelectorManager(Dispatchers.IO)

    /** Connects to [endpoint]; throws [IOException] on failure or after [timeout]. */
    public suspend fun connect(endpoint: Endpoint, timeout: Duration): HttpConnection {
        val channel = SocketChannel.open()
        val selectable = SelectableSocket(channel, selector)
        try {
            channel.configureBlocking(false)
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
            val address = java.net.InetSocketAddress(endpoint.address, endpoint.port)
            if (!channel.connect(address)) selectable.awaitConnected(channel, endpoint, timeout)
            return HttpConnection(SocketStream(channel, selectable))
        } catch (failure: Throwable) {
            selectable.close()
            throw failure
        }
    }

    private suspend fun SelectableSocket.awaitConnected(
        channel: SocketChannel,
        endpoint: Endpoint,
        timeout: Duration
    ) {
        try {
            withTimeoutOrNull(timeout) {
                while (!channel.finishConnect()) await(SelectInterest.CONNECT)
            } ?: throw IOException("no connection to $endpoint in $timeout")
        } catch (cancelled: CancellationException) {
            currentCoroutineContext().ensureActive()
            throw IOException("connection to $endpoint failed", cancelled)
        }
    }

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

    /** Listens on [endpoint] for callers, which [registry] bounds. */
    public fun listen(endpoint: Endpoint, registry: CallerRegistry): Listener {
        val server = ServerSocketChannel.open()
        server.configureBlocking(false)
        server.setOption(StandardSocketOptions.SO_REUSEADDR, true)
        server.bind(java.net.InetSocketAddress(endpoint.address, endpoint.port), BACKLOG)
        return Listener(server, selector, registry)
    }

    /** Listens on [endpoint] for a protocol other than HTTP. */
    public suspend fun listenSockets(endpoint: Endpoint): SocketListener {
        val address = InetSocketAddress(endpoint.address, endpoint.port)
        val server =
            aSocket(selector).tcp().configure { reuseAddress = true }.bind(address) {
                backlogSize = BACKLOG
            }
        return SocketListener(server)
    }

    override fun close() {
        selector.close()
    }

    private companion object {
        /** Connections that may wait to be accepted; a full queue delays callers by seconds. */
        const val BACKLOG = 1_024
    }
}

/** Accepts the connections of callers on one address, as many as [registry] permits. */
public class Listener
internal constructor(
    private val server: ServerSocketChannel,
    private val selector: SelectorManager,
    private val registry: CallerRegistry
) : Closeable {
    private val selectable = SelectableSocket(server, selector)

    /** The port that is bound. */
    public val port: Int get() = server.socket().localPort

    /** Runs [serve] in a separate task for each connection, until this listener is closed. */
    public suspend fun run(serve: suspend (Caller) -> Unit): Unit = coroutineScope {
        while (true) {
            val connection = accept()?.let { connectionOf(it) } ?: continue
            val caller = registry.open(connection) ?: continue
            launch { guarded(caller) { serve(caller) } }
        }
    }

    /** The next connection; null if accepting failed, for want of descriptors for example. */
    private suspend fun accept(): SocketChannel? = try {
        server.accept() ?: selectable.await(SelectInterest.ACCEPT).let { null }
    } catch (closed: ClosedChannelException) {
        throw closed
    } catch (failure: IOException) {
        logWarning("accept-failed") { "failure" to failure }
        delay(ACCEPT_RETRY)
        null
    }

    /** Null if the caller has already closed the connection. */
    private fun connectionOf(channel: SocketChannel): HttpConnection? = try {
        channel.configureBlocking(false)
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
        channel.setOption(StandardSocketOptions.SO_SNDBUF, SEND_BUFFER_BYTES)
        HttpConnection(SocketStream(channel, selector), WRITE_SPAN)
    } catch (_: IOException) {
        channel.close()
        null
    }

    override fun close() {
        selectable.close()
    }

    private companion object {
        /** Connections end meanwhile and free their descriptors. */
        val ACCEPT_RETRY = 100.milliseconds

        /** Small enough that a slow reader frees room in it, and so shows progress, in time. */
        const val SEND_BUFFER_BYTES = 65_536

        /** A reader of 2 KB/s frees room in the buffer of the kernel within this time. */
        val WRITE_SPAN = 30.seconds
    }
}

/** Accepts connections of a protocol other than HTTP on one address. */
public class SocketListener(private val server: ServerSocket) : Closeable {
    /** Runs [serve] in a separate task for each connection, until this listener is closed. */
    public suspend fun run(serve: suspend (Socket) -> Unit): Unit = coroutineScope {
        while (true) {
            val socket = server.accept()
            launch { guarded(socket) { serve(socket) } }
        }
    }

    override fun close() {
        server.close()
    }
}

/** Runs [serve] and closes [connection]; a failure ends only this connection. */
private suspend fun CoroutineScope.guarded(connection: Closeable, serve: suspend () -> Unit) {
    try {
        serve()
    } catch (cancelled: CancellationException) {
        ensureActive()
        logWarning("connection-failed") { "failure" to cancelled }
    } catch (_: IOException) {
        // The peer closed or reset the connection; the request itself was logged.
    } catch (exhausted: OutOfMemoryError) {
        throw exhausted
    } catch (failure: Throwable) {
        // Errors too, such as a stack overflow, end only the connection that caused them.
        logWarning("connection-failed") { "failure" to failure }
    } finally {
        connection.close()
    }
}
