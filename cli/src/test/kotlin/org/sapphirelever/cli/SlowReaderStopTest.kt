/*
 * Planned stop of a process whose callers read slowly.
 */
package org.sapphirelever.cli

import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.ExitCode
import org.sapphirelever.platform.Behaviour
import org.sapphirelever.platform.CONFIGURATION_KEY
import org.sapphirelever.platform.POLL_MILLIS
import org.sapphirelever.platform.ReplicaStandIn
import org.sapphirelever.platform.StoreStandIn
import org.sapphirelever.platform.TEST_TIMEOUT
import org.sapphirelever.platform.hostProfile
import org.sapphirelever.platform.requestHead

class SlowReaderStopTest {
    /** Guards against a process that exits before the kernel has the last byte of an answer. */
    @Test
    fun `an answer whose caller reads slowly is complete although the host stops`() {
        val target = ReplicaStandIn(ConcurrentLinkedQueue(listOf(Behaviour.LARGE)))
        val entries =
            mapOf(
                "servers/i-1" to
                    """{"service":"koder","address":"${target.endpoint}","zone":"z",""" +
                    """"slots":4,"state":"ready"}""",
                CONFIGURATION_KEY to CONFIGURATION
            )
        StoreStandIn(entries).use { store ->
            val profile =
                hostProfile("entry-1", store.endpoint).copy(shutdownGracePeriod = 16.seconds)
            withForwardProcess(profile, "-Xmx160m") { process, _ ->
                val size = async { readSlowly(profile.callers) }
                while (target.received.isEmpty()) delay(POLL_MILLIS)
                process.destroy()
                assertEquals(ReplicaStandIn.LARGE_BYTES, size.await())
                assertTrue(process.waitFor(TEST_TIMEOUT.inWholeSeconds, TimeUnit.SECONDS))
                assertEquals(ExitCode.SUCCESS.number, process.exitValue())
            }
        }
        target.close()
    }

    /** Sends a request and reads its answer at 1 MB/s; returns the size of its body. */
    private suspend fun readSlowly(endpoint: Endpoint): Int = withContext(Dispatchers.IO) {
        Socket().use { socket ->
            socket.receiveBufferSize = RECEIVE_BUFFER_BYTES
            socket.connect(InetSocketAddress(endpoint.address, endpoint.port))
            val head = requestHead("GET", "/safe/1", 20_000)
            socket.getOutputStream().write(head.toByteArray())
            val input = socket.getInputStream()
            var line = ""
            while (!line.endsWith("\r\n\r\n")) line += input.read().toChar()
            generateSequence {
                Thread.sleep(READ_PAUSE_MILLIS)
                input.readNBytes(READ_BYTES).size.takeIf { it > 0 }
            }.sum()
        }
    }

    private companion object {
        const val READ_BYTES = 20_000
        const val READ_PAUSE_MILLIS = 20L
        const val RECEIVE_BUFFER_BYTES = 16_384

        const val CONFIGURATION =
            """{"version":3,"routes":[{"name":"safe","host":"a.example","prefix":"/safe/",""" +
                """"kind":"idempotent","timeout-ms":20000,"slo-ms":500,"service":"koder",""" +
                """"max-attempts":2,"anonymous":true}],"services":[{"name":"koder"}],""" +
                """"limits":{"max-header-bytes":16384,"max-body-bytes":65536,""" +
                """"header-timeout-ms":3000,"idle-timeout-ms":15000}}"""
    }
}
