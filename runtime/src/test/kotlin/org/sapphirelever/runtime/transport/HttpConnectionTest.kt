/*
 * Responses received over real sockets. Each case guards against a truncated body that is accepted
 * as complete.
 */
package org.sapphirelever.runtime.transport

import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.sapphirelever.core.Endpoint

class HttpConnectionTest {
    /**
     * A response of a target. If [resets] is set, the target resets the connection afterwards;
     * otherwise it closes it. [expected] is the body, or null if the response must be rejected.
     */
    private data class Case(
        val name: String,
        val sent: String,
        val resets: Boolean,
        val expected: String?
    )

    private val cases =
        listOf(
            Case("length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", false, "body"),
            Case(
                "short of its length",
                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody",
                false,
                null
            ),
            Case("until close", "HTTP/1.1 200 OK\r\n\r\nbody", false, "body"),
            Case("reset before close", "HTTP/1.1 200 OK\r\n\r\nbody", true, null),
            Case(
                "chunks",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                false,
                "body"
            ),
            Case(
                "no last chunk",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
                false,
                null
            ),
            Case(
                "closed inside a chunk",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nbody",
                false,
                null
            ),
            Case(
                "reset before the last chunk",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
                true,
                null
            ),
            Case("no response", "garbage\r\n\r\n", false, null)
        )

    @Test
    fun `a body is accepted only if its framing shows that it is complete`() {
        cases.forEach { case -> assertEquals(case.expected, receivedBody(case), case.name) }
    }

    private fun receivedBody(case: Case): String? =
        ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")).use { server ->
            val sender = thread { send(server, case) }
            val endpoint = Endpoint("127.0.0.1", server.localPort)
            val body = runBlocking { withTimeout(TEST_TIMEOUT) { receive(endpoint) } }
            sender.join()
            body
        }

    private fun send(server: ServerSocket, case: Case) {
        server.accept().use { socket ->
            socket.getOutputStream().write(case.sent.toByteArray())
            socket.getOutputStream().flush()
            if (case.resets) {
                Thread.sleep(RESET_DELAY_MILLIS)
                socket.setSoLinger(true, 0)
            }
        }
    }

    private suspend fun receive(endpoint: Endpoint): String? = Sockets().use { sockets ->
        sockets.connect(endpoint, 5.seconds).use { connection ->
            try {
                val head = connection.receiveResponse()
                val framing = head.headers.responseFraming("GET", head.status)
                connection.body(framing).readWhole(MAXIMUM_BODY_BYTES)?.decodeToString()
            } catch (_: TornMessageException) {
                null
            }
        }
    }

    private companion object {
        const val MAXIMUM_BODY_BYTES = 1_000

        /** Fails a test that hangs. */
        val TEST_TIMEOUT = 30.seconds

        /** Lets the bytes arrive before the reset, which would otherwise discard them. */
        const val RESET_DELAY_MILLIS = 100L
    }
}
