/*
 * Runs a forwarding host as a separate process.
 */
package org.sapphirelever.cli

import java.io.File
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import kotlin.io.path.createTempFile
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.sapphirelever.core.ExitCode
import org.sapphirelever.core.forwarding.HostProfile
import org.sapphirelever.platform.Behaviour
import org.sapphirelever.platform.CONFIGURATION_KEY
import org.sapphirelever.platform.POLL_MILLIS
import org.sapphirelever.platform.ReplicaStandIn
import org.sapphirelever.platform.StoreStandIn
import org.sapphirelever.platform.TEST_TIMEOUT
import org.sapphirelever.platform.call
import org.sapphirelever.platform.hostProfile
import org.sapphirelever.platform.isReady

/**
 * Guards against a program that starts, serves, reloads or stops differently from the library
 * that other tests run within their own process.
 */
class ForwardProcessTest {
    @Test
    fun `a process serves, reloads settings and stops without cutting off requests`() {
        val target = ReplicaStandIn(ConcurrentLinkedQueue(List(3) { Behaviour.ANSWER }))
        val entries =
            mapOf(
                "servers/i-1" to
                    """{"service":"koder","address":"${target.endpoint}","zone":"z",""" +
                    """"slots":4,"state":"ready"}""",
                CONFIGURATION_KEY to CONFIGURATION
            )
        StoreStandIn(entries).use { store ->
            val profile = hostProfile("entry-1", store.endpoint)
            val settings = createTempFile("node", ".json").toFile()
            settings.writeText(settingsJson(profile, revocationMillis = 5_000))
            val output = createTempFile("host", ".log").toFile()
            val process = startForward(settings, profile.metrics.port, output)
            try {
                runBlocking {
                    withTimeout(TEST_TIMEOUT) { exercise(process, profile, settings, output) }
                }
            } finally {
                process.destroyForcibly()
            }
        }
        target.close()
    }

    private suspend fun exercise(
        process: Process,
        profile: HostProfile,
        settings: File,
        output: File
    ) {
        while (!isReady(profile)) delay(POLL_MILLIS)
        assertEquals(200 to "ok", call(profile.callers, "/safe/", null))
        assertTrue("sapphirelever_forwarded_requests_total" in metrics(profile))
        settings.writeText(settingsJson(profile, revocationMillis = 2_000))
        ProcessBuilder("kill", "-HUP", process.pid().toString()).start().waitFor()
        while ("event=settings-reloaded changed=true" !in output.readText()) delay(POLL_MILLIS)
        process.destroy()
        while (isReady(profile)) delay(POLL_MILLIS)
        // The host reports not ready to the load balancer but still answers callers that connect.
        assertEquals(200 to "ok", call(profile.callers, "/safe/", null))
        assertTrue(process.waitFor(TEST_TIMEOUT.inWholeSeconds, TimeUnit.SECONDS))
        assertEquals(ExitCode.SUCCESS.number, process.exitValue())
        val lines = output.readLines()
        EVENTS.forEach { event -> assertTrue(lines.any { "event=$event" in it }, event) }
        assertEquals(2, lines.count { "event=request-finished request=9c41 status=200" in it })
    }

    private suspend fun metrics(profile: HostProfile): String =
        call(profile.metrics, "/metrics/", null).second

    private companion object {
        val EVENTS =
            listOf(
                "host-started",
                "configuration-adopted",
                "target-chosen",
                "settings-reloaded",
                "signal-received",
                "host-stopped"
            )

        const val CONFIGURATION =
            """{"version":3,"routes":[{"name":"safe","host":"a.example","prefix":"/safe/",""" +
                """"kind":"idempotent","timeout-ms":2000,"slo-ms":500,"service":"koder",""" +
                """"max-attempts":2,"anonymous":true}],"services":[{"name":"koder"}],""" +
                """"limits":{"max-header-bytes":16384,"max-body-bytes":65536,""" +
                """"header-timeout-ms":3000,"idle-timeout-ms":15000}}"""
    }
}
