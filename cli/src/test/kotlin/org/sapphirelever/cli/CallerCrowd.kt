/*
 * Callers that keep connections open and do not behave. One task moves all of them in rounds.
 */
package org.sapphirelever.cli

import java.io.Closeable
import java.io.IOException
import java.net.InetSocketAddress
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel
import kotlinx.coroutines.delay
import org.sapphirelever.core.Endpoint

/**
 * How the callers of one crowd behave.
 *
 * @property callers number of connections
 * @property readBytes greatest number of bytes that a caller reads in a round; 0 if it never reads
 * @property pauseMillis pause after each round, which makes slow callers
 * @property closes whether the callers reset their connections after the last piece
 * @property pieces what a caller sends to a path, one piece in a round
 */
internal class CrowdCase(
    val name: String,
    val callers: Int,
    val readBytes: Int = 0,
    val pauseMillis: Long = 0,
    val closes: Boolean = false,
    val pieces: (path: String) -> Sequence<ByteArray>
) {
    override fun toString(): String = name
}

/** Connections of the callers of [case] to [path] at [endpoint]. */
internal class CallerCrowd(
    private val case: CrowdCase,
    private val endpoint: Endpoint,
    private val path: String
) : Closeable {
    private var callers: List<Caller> = emptyList()

    /** Sends until all callers have sent everything or none makes progress any more. */
    suspend fun send() {
        callers = List(case.callers) { Caller() }
        var quietRounds = 0
        var rounds = 0
        while (quietRounds < QUIET_ROUNDS && rounds < MAXIMUM_ROUNDS) {
            val progress = callers.filterNot { it.isDone }.map { it.move() }
            if (progress.isEmpty()) break
            quietRounds = if (progress.any { it }) 0 else quietRounds + 1
            rounds++
            delay(if (quietRounds > 0) QUIET_PAUSE_MILLIS else case.pauseMillis)
        }
        if (case.closes) close()
    }

    override fun close() {
        callers.forEach { it.close() }
    }

    private inner class Caller : Closeable {
        private val channel = SocketChannel.open()
        private val pieces = case.pieces(path).iterator()
        private val received = ByteBuffer.allocate(case.readBytes)
        private var unsent = ByteBuffer.allocate(0)

        var isDone = false
            private set

        init {
            channel.configureBlocking(false)
            attempt { channel.connect(InetSocketAddress(endpoint.address, endpoint.port)) }
        }

        /** Sends and reads what is possible now; whether anything moved. */
        fun move(): Boolean = attempt { channel.finishConnect() && (send() or receive()) }

        private fun send(): Boolean {
            if (!unsent.hasRemaining()) {
                if (!pieces.hasNext()) return finish()
                unsent = ByteBuffer.wrap(pieces.next())
            }
            return channel.write(unsent) > 0
        }

        private fun receive(): Boolean {
            if (case.readBytes == 0) return false
            received.clear()
            val count = channel.read(received)
            if (count < 0) isDone = true
            return count > 0
        }

        private fun finish(): Boolean {
            if (case.readBytes == 0) isDone = true
            return false
        }

        private fun attempt(action: () -> Boolean): Boolean = try {
            action()
        } catch (_: IOException) {
            // The host refused or closed the connection.
            isDone = true
            true
        }

        override fun close() {
            if (case.closes && channel.isOpen) channel.socket().setSoLinger(true, 0)
            channel.close()
        }
    }

    private companion object {
        const val QUIET_PAUSE_MILLIS = 20L

        /** Rounds without any progress after which the crowd only keeps its connections open. */
        const val QUIET_ROUNDS = 10
        const val MAXIMUM_ROUNDS = 4_000
    }
}
