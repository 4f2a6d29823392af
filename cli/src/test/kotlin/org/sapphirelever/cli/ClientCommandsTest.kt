package org.sapphirelever.cli

import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.net.ServerSocket
import kotlin.io.path.createTempDirectory
import kotlin.io.path.readText
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.ExitCode
import org.sapphirelever.core.HostId
import org.sapphirelever.runtime.host.EntryHost
import org.sapphirelever.runtime.host.HostSettings
import org.sapphirelever.runtime.store.HttpPlatform
import org.sapphirelever.runtime.target.HttpTargetClient
import org.sapphirelever.standins.PlatformStandIn
import org.sapphirelever.standins.PoolStandIn

private const val LOOPBACK = "127.0.0.1"

/** [needsRetry]: whether the command is repeated until it succeeds. */
private data class ClientCase(val line: String, val exit: ExitCode, val printed: List<String>) {
    val needsRetry: Boolean
        get() = exit == ExitCode.SUCCESS && ("--input x" in line || "get services" in line)
}

/** Guards against client commands that misread the replies of a running entry host. */
class ClientCommandsTest {
    private val directory = createTempDirectory("client")
    private val endpoints =
        List(3) { ServerSocket(0) }
            .onEach { it.close() }
            .map { Endpoint(LOOPBACK, it.localPort) }
    private val platform = endpoints[0]
    private val target = endpoints[1]
    private val host = endpoints[2]
    private val valid = directory.resolve("valid.json")
    private val invalid = directory.resolve("invalid.json")
    private val page = directory.resolve("burn.html")

    private val cases =
        listOf(
            ClientCase("apply $valid", ExitCode.SUCCESS, listOf("revision           1")),
            ClientCase(
                "apply $valid --expected-revision 0",
                ExitCode.FAILURE,
                listOf("revision-conflict", "revision 1 won")
            ),
            ClientCase("apply $invalid", ExitCode.INVALID_RESOURCE, listOf("$invalid:2")),
            ClientCase("get services none", ExitCode.FAILURE, listOf("unknown-resource")),
            ClientCase("get services pool", ExitCode.SUCCESS, listOf("plain")),
            ClientCase("status", ExitCode.SUCCESS, listOf("desiredRevision    1")),
            ClientCase("watch --count 1", ExitCode.SUCCESS, listOf("revision           1")),
            ClientCase("explain none", ExitCode.FAILURE, listOf("not-found")),
            ClientCase("delete services pool", ExitCode.INVALID_RESOURCE, listOf("pool")),
            ClientCase("delete organisations spare", ExitCode.SUCCESS, listOf("revision")),
            ClientCase(
                "watch --after 1 --count 1",
                ExitCode.SUCCESS,
                listOf("revision           2")
            ),
            ClientCase("list --output json", ExitCode.SUCCESS, listOf("\"name\":\"chat\"")),
            ClientCase("list", ExitCode.SUCCESS, listOf("  name  deadlineMillis  stages")),
            ClientCase(
                "request --pipeline none --organisation o --input x",
                ExitCode.FAILURE,
                listOf("unknown-pipeline", "not-run")
            ),
            ClientCase(
                "request --pipeline chat --organisation o --input x",
                ExitCode.SUCCESS,
                listOf("pool(pool(pool(x)))", "pool-1")
            ),
            ClientCase(
                "load --entry-hosts $host --pipelines chat --organisations o --rate 20 " +
                    "--length 500 --strict",
                ExitCode.SUCCESS,
                listOf("foreign answers 0", "stage b")
            ),
            ClientCase(
                "report --entry-hosts $host --html $page",
                ExitCode.SUCCESS,
                listOf("objective 99.0%", "error budget left over 6 h")
            )
        )

    @Test
    fun `each command prints the reply and ends with its code`() = runBlocking {
        valid.writeText(
            """{"services":[{"name":"pool","type":"plain"}],"organisations":[{"name":"o"},{"name":"spare"}],
            "pipelines":[{"name":"chat","stages":[{"name":"a","service":"pool"},
            {"name":"b","service":"pool"},{"name":"c","service":"pool"}]}]}"""
        )
        invalid.writeText("{\"services\":\n[{\"name\":\"pool\",\"type\":\"none\"}]}")
        withTimeout(60.seconds) {
            coroutineScope {
                val deployment = launch(Dispatchers.Default) { deploy() }
                awaitSuccess("list", printed = "revision")
                for (case in cases) {
                    // The host adopts a change and reads the host list with a delay.
                    if (case.needsRetry) {
                        awaitSuccess(case.line, case.printed.first())
                    }
                    val (exit, text) = program(case.line)
                    assertEquals(case.exit, exit, "${case.line}: $text")
                    case.printed.forEach { assertTrue(it in text, "${case.line}: $text") }
                }
                assertTrue("<svg" in page.readText())
                awaitSuccess("report --entry-hosts $host", "h: configuration revision 2")
                deployment.cancel()
            }
        }
    }

    private suspend fun awaitSuccess(line: String, printed: String) {
        while (true) {
            val (exit, text) = program(line)
            if (exit == ExitCode.SUCCESS && printed in text) return
            delay(50)
        }
    }

    private suspend fun program(line: String): Pair<ExitCode, String> =
        withContext(Dispatchers.IO) {
            val bytes = ByteArrayOutputStream()
            val stream = PrintStream(bytes)
            val environment = mapOf("SAPPHIRELEVER_ENTRY_HOST" to host.toString())
            Program(environment, stream, stream).run(line.split(' ')) to bytes.toString()
        }

    private suspend fun CoroutineScope.deploy() {
        launch { PlatformStandIn(platform).run() }
        launch { PoolStandIn(target, "pool", 8, 8, 1.milliseconds).run() }
        val settings =
            HostSettings(HostId("h"), DataCentre("c"), host, Endpoint(LOOPBACK, 0), platform)
        launch { EntryHost(settings, HttpPlatform(platform), HttpTargetClient()).run() }
        val listed =
            """{"id":"pool-1","service":"pool","dataCentre":"c",
            "address":"$LOOPBACK","port":${target.port}}"""
        OperatorClient(platform, 5.seconds).use { client ->
            while (runCatching { client.submit("/admin/hosts", listed) }.isFailure) delay(50)
        }
    }
}
