/*
 * Crowds of callers that do not behave, at a forwarding host in a process of its own.
 */
package org.sapphirelever.cli

import kotlin.io.path.createTempFile
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.sapphirelever.core.forwarding.HostProfile
import org.sapphirelever.platform.CONFIGURATION_KEY
import org.sapphirelever.platform.ReplicaStandIn
import org.sapphirelever.platform.StoreStandIn
import org.sapphirelever.platform.TEST_TIMEOUT
import org.sapphirelever.platform.callerFields
import org.sapphirelever.platform.hostProfile

/**
 * Guards against callers that end a process, leave it without answers, or take its memory or
 * descriptors, at any of its addresses.
 */
class ForwardingHostCrowdTest {
    @Test
    fun `no crowd ends the host or keeps it from answering others`() {
        val faults = CROWD_CASES.flatMap { run(it) }
        assertEquals(emptyList(), faults)
    }

    private fun run(case: CrowdCase): List<String> = ReplicaStandIn().use { target ->
        val entry =
            """{"service":"koder","address":"${target.endpoint}","zone":"z","slots":4,""" +
                """"state":"ready"}"""
        val entries = mapOf("servers/i-1" to entry, CONFIGURATION_KEY to CONFIGURATION)
        StoreStandIn(entries).use { store -> run(case, hostProfile("entry-1", store.endpoint)) }
    }

    private fun run(case: CrowdCase, profile: HostProfile): List<String> {
        val settings = createTempFile("node", ".json").toFile()
        settings.writeText(settingsJson(profile, revocationMillis = 5_000, limits = LIMITS))
        val arguments =
            listOf(
                "forward",
                "--settings",
                settings.path,
                "--metrics-port",
                profile.metrics.port.toString()
            )
        val ordinary = ordinaryRequests(profile)
        return CrowdProcess(arguments).use { process ->
            runBlocking(Dispatchers.IO) {
                withTimeout(TEST_TIMEOUT) { ordinary.forEach { process.awaitAnswer(it) } }
                placesOf(profile).flatMap { (endpoint, path) ->
                    process.faultsAfter(case, endpoint, path, ordinary)
                }
            }
        }
    }

    private fun ordinaryRequests(profile: HostProfile): List<OrdinaryRequest> = listOf(
        OrdinaryRequest(profile.readiness, "GET /readyz HTTP/1.1\r\nHost: a.example\r\n\r\n"),
        OrdinaryRequest(profile.callers, ORDINARY_TEXT)
    )

    private fun placesOf(profile: HostProfile) = listOf(
        profile.callers to "/safe/1",
        profile.callers to "/none/1",
        profile.readiness to "/readyz",
        profile.metrics to "/metrics"
    )

    private companion object {
        val ORDINARY_TEXT =
            "GET /safe/1 HTTP/1.1\r\n${callerFields(deadlineMillis = 2_000, id = "9c41")}\r\n"
        const val LIMITS = """{"max-fds":$CROWD_DESCRIPTORS}"""

        const val CONFIGURATION =
            """{"version":3,"routes":[{"name":"safe","host":"a.example","prefix":"/safe/",""" +
                """"kind":"idempotent","timeout-ms":2000,"slo-ms":500,"service":"koder",""" +
                """"max-attempts":2,"anonymous":true}],"services":[{"name":"koder"}],""" +
                """"limits":{"max-header-bytes":$CROWD_HEADER_BYTES,""" +
                """"max-body-bytes":$CROWD_BODY_BYTES,""" +
                """"header-timeout-ms":3000,"idle-timeout-ms":6000}}"""
    }
}
