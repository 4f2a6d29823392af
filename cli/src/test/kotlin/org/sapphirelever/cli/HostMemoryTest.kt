/*
 * Memory of a forwarding host that runs as a separate process with a small heap.
 */
package org.sapphirelever.cli

import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.forwarding.HostProfile
import org.sapphirelever.platform.ANSWER_HEAD
import org.sapphirelever.platform.CONFIGURATION_KEY
import org.sapphirelever.platform.EndlessTargetStandIn
import org.sapphirelever.platform.OTHER_ANSWER_HEAD
import org.sapphirelever.platform.POLL_MILLIS
import org.sapphirelever.platform.REFUSAL_HEAD
import org.sapphirelever.platform.ReplicaStandIn
import org.sapphirelever.platform.StoreStandIn
import org.sapphirelever.platform.call
import org.sapphirelever.platform.hostProfile
import org.sapphirelever.platform.requestHead

class HostMemoryTest {
    private data class Case(val name: String, val path: String, val start: String)

    private val cases =
        listOf(
            Case("head", "/once/", "HTTP/1.1 200 OK\r\nA: "),
            Case("body", "/once/", "$ANSWER_HEAD\r\n"),
            Case(
                "chunked body",
                "/once/",
                "${ANSWER_HEAD}Transfer-Encoding: chunked\r\n\r\nfffffff\r\n"
            ),
            Case("declared body", "/once/", "${ANSWER_HEAD}Content-Length: 9999999999\r\n\r\n"),
            Case("body of another answer", "/once/", "$OTHER_ANSWER_HEAD\r\n"),
            Case("body of a refusal", "/once/", "$REFUSAL_HEAD\r\n"),
            Case("event", "/stream/", "$ANSWER_HEAD\r\nid: 1\ndata: ")
        )

    /**
     * Guards against a target that fills the memory of a host with answers that do not end, which
     * ends the requests of other callers or the process.
     */
    @Test
    fun `many answers without end neither exhaust the memory nor delay other requests`() {
        for (case in cases) {
            EndlessTargetStandIn(case.start, "x").use { faulty ->
                ReplicaStandIn().use { sound -> run(case, faulty, sound) }
            }
        }
    }

    /**
     * Guards against uploads that together exceed the heap, which stalls the host and closes
     * connections without an answer. Those that find no room are refused at once.
     */
    @Test
    fun `many large uploads neither exhaust the memory nor delay other requests`() {
        val targets = List(2) { ReplicaStandIn() }
        val entries =
            mapOf(
                "servers/i-1" to entry("faulty", targets[0].endpoint),
                "servers/i-2" to entry("sound", targets[1].endpoint),
                CONFIGURATION_KEY to CONFIGURATION
            )
        StoreStandIn(entries).use { store ->
            val profile = hostProfile("entry-1", store.endpoint)
            withForwardProcess(profile, "-Xmx160m") { process, output ->
                val others = async { callOthers(profile) }
                val statuses = List(UPLOADS) { async { upload(profile.callers) } }.awaitAll()
                assertEquals(setOf("200", "503"), statuses.toSet())
                assertEquals(setOf(200 to "ok"), others.await().toSet())
                assertTrue(process.isAlive)
                assertFalse("OutOfMemoryError" in output.readText())
            }
        }
        targets.forEach { it.close() }
    }

    /** Sends a body of the largest permitted size; returns the status of the response. */
    private suspend fun upload(endpoint: Endpoint): String = withContext(Dispatchers.IO) {
        Socket(endpoint.address, endpoint.port).use { socket ->
            socket.soTimeout = READ_TIMEOUT_MILLIS
            val head = requestHead("POST", "/once/1", 20_000, "Content-Length: $BODY_BYTES\r\n")
            socket.getOutputStream().write(head.toByteArray())
            val block = ByteArray(BODY_BYTES / UPLOAD_BLOCKS)
            repeat(UPLOAD_BLOCKS) {
                Thread.sleep(BLOCK_PAUSE_MILLIS)
                socket.getOutputStream().write(block)
            }
            socket.getInputStream().bufferedReader().readLine().split(' ')[1]
        }
    }

    private suspend fun callOthers(profile: HostProfile): List<Pair<Int, String>> =
        List(OTHER_REQUESTS) {
            delay(POLL_MILLIS)
            call(profile.callers, "/sound/", null)
        }

    private fun run(case: Case, faulty: EndlessTargetStandIn, sound: ReplicaStandIn) {
        val entries =
            mapOf(
                "servers/i-1" to entry("faulty", faulty.endpoint),
                "servers/i-2" to entry("sound", sound.endpoint),
                CONFIGURATION_KEY to CONFIGURATION
            )
        StoreStandIn(entries).use { store ->
            val profile = hostProfile("entry-1", store.endpoint)
            withForwardProcess(profile, "-Xmx160m") { process, output ->
                exercise(case, profile, faulty)
                assertTrue(process.isAlive, case.name)
                assertFalse("OutOfMemoryError" in output.readText(), case.name)
            }
        }
    }

    private suspend fun exercise(case: Case, profile: HostProfile, faulty: EndlessTargetStandIn) =
        coroutineScope {
            val others = async { callOthers(profile) }
            val affected =
                List(REQUESTS) { async { call(profile.callers, case.path, null) } }.awaitAll()
            // On a busy machine a connection may not open in time; such a request has not run.
            val (ran, refused) = affected.map { it.first }.partition { it == 502 }
            assertEquals(faulty.received.get(), ran.size, case.name)
            assertTrue(ran.isNotEmpty() && refused.all { it == 503 }, "${case.name}: $refused")
            assertEquals(setOf(200 to "ok"), others.await().toSet(), case.name)
        }

    private fun entry(service: String, endpoint: Endpoint): String =
        """{"service":"$service","address":"$endpoint","zone":"z","slots":4,"state":"ready"}"""

    private companion object {
        /** Requests at a time; their answers together are far larger than the heap. */
        const val REQUESTS = 32
        const val OTHER_REQUESTS = 20

        /** Uploads at a time; their bodies together are larger than the heap. */
        const val UPLOADS = 48
        const val BODY_BYTES = 4_194_304
        const val UPLOAD_BLOCKS = 32
        const val BLOCK_PAUSE_MILLIS = 20L
        const val READ_TIMEOUT_MILLIS = 20_000

        val CONFIGURATION: String =
            """{"version":3,"routes":[${route("once", "non_idempotent", "faulty")},""" +
                """${route("stream", "streaming", "faulty")},""" +
                """${route("sound", "idempotent", "sound")}],""" +
                """"services":[{"name":"faulty"},{"name":"sound"}],""" +
                """"limits":{"max-header-bytes":16384,"max-body-bytes":$BODY_BYTES,""" +
                """"header-timeout-ms":3000,"idle-timeout-ms":15000}}"""

        fun route(name: String, kind: String, service: String): String =
            """{"name":"$name","host":"a.example","prefix":"/$name/","kind":"$kind",""" +
                """"timeout-ms":9000,"slo-ms":500,"service":"$service","max-attempts":2,""" +
                """"anonymous":true}"""
    }
}
