/*
 * Crowds of callers that do not behave, at the product's own entry host in a process of its own.
 */
package org.sapphirelever.cli

import java.io.ByteArrayOutputStream
import java.io.PrintStream
import kotlin.io.path.createTempFile
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.ExitCode
import org.sapphirelever.platform.POLL_MILLIS
import org.sapphirelever.platform.TEST_TIMEOUT
import org.sapphirelever.platform.freeEndpoint
import org.sapphirelever.standins.PlatformStandIn
import org.sapphirelever.standins.PoolStandIn

/**
 * Guards against callers that end an entry host, leave it without answers, or take its memory or
 * descriptors.
 */
class EntryHostCrowdTest {
    private val resources = createTempFile("resources", ".json").apply { writeText(RESOURCES) }

    @Test
    fun `no crowd ends the entry host or keeps it from answering others`() {
        val faults = CROWD_CASES.flatMap { runBlocking(Dispatchers.IO) { run(it) } }
        assertEquals(emptyList(), faults)
    }

    private suspend fun run(case: CrowdCase): List<String> = coroutineScope {
        val platform = freeEndpoint()
        val target = freeEndpoint()
        val http = freeEndpoint()
        launch { PlatformStandIn(platform).run() }
        launch { PoolStandIn(target, "pool", 8, 8, 1.milliseconds).run() }
        val faults =
            CrowdProcess(arguments(http, platform)).use { process ->
                configure(http, platform, target)
                val ordinary = ordinaryRequests(http)
                withTimeout(TEST_TIMEOUT) { ordinary.forEach { process.awaitAnswer(it) } }
                PATHS.flatMap { process.faultsAfter(case, http, it, ordinary) }
            }
        coroutineContext.cancelChildren()
        faults
    }

    private fun arguments(http: Endpoint, platform: Endpoint): List<String> = listOf(
        "host", "--host", "h", "--data-centre", "c", "--http-port", "${http.port}",
        "--peer-port", "${freeEndpoint().port}", "--platform", "$platform",
        "--body-limit", "$CROWD_BODY_BYTES"
    )

    private suspend fun configure(http: Endpoint, platform: Endpoint, target: Endpoint) {
        val listed =
            """{"id":"pool-1","service":"pool","dataCentre":"c",""" +
                """"address":"${target.address}","port":${target.port}}"""
        withTimeout(TEST_TIMEOUT) {
            OperatorClient(platform, 5.seconds).use { client ->
                while (runCatching { client.submit("/admin/hosts", listed) }.isFailure) {
                    delay(POLL_MILLIS)
                }
            }
            while (apply(http) != ExitCode.SUCCESS) delay(POLL_MILLIS)
        }
    }

    private fun apply(http: Endpoint): ExitCode {
        val output = PrintStream(ByteArrayOutputStream())
        val environment = mapOf("SAPPHIRELEVER_ENTRY_HOST" to http.toString())
        return Program(environment, output, output).run(listOf("apply", resources.toString()))
    }

    private fun ordinaryRequests(http: Endpoint): List<OrdinaryRequest> = listOf(
        OrdinaryRequest(http, "GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n"),
        OrdinaryRequest(
            http,
            "POST /v1/requests HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n" +
                "Content-Length: ${REQUEST.length}\r\n\r\n$REQUEST"
        )
    )

    private companion object {
        val PATHS = listOf("/v1/requests", "/none", "/readyz")

        const val RESOURCES =
            """{"services":[{"name":"pool","type":"plain"}],"organisations":[{"name":"o"}],""" +
                """"pipelines":[{"name":"chat","stages":[{"name":"a","service":"pool"},""" +
                """{"name":"b","service":"pool"},{"name":"c","service":"pool"}]}]}"""

        const val REQUEST =
            """{"pipeline":"chat","organisation":"o","input":"x","deadlineMillis":2000}"""
    }
}
