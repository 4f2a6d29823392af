/*
 * Fixtures that run a forwarding host as a separate process.
 */
package org.sapphirelever.cli

import java.io.File
import kotlin.io.path.createTempFile
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.sapphirelever.core.forwarding.HostProfile
import org.sapphirelever.platform.POLL_MILLIS
import org.sapphirelever.platform.TEST_TIMEOUT
import org.sapphirelever.platform.isReady

/** Starts a forwarding host that writes its log to [output]. */
internal fun startForward(
    settings: File,
    metricsPort: Int,
    output: File,
    heap: String = "-Xmx96m"
): Process = ProcessBuilder(
    File(System.getProperty("java.home"), "bin/java").path,
    heap,
    "-cp",
    System.getProperty("java.class.path"),
    "org.sapphirelever.cli.MainKt",
    "forward",
    "--settings",
    settings.path,
    "--metrics-port",
    metricsPort.toString()
).redirectErrorStream(true).redirectOutput(output).start()

/** The settings file of the host described by [profile]. */
internal fun settingsJson(
    profile: HostProfile,
    revocationMillis: Int,
    limits: String = "{}"
): String = """{"limits":$limits,""" +
    """"node":"${profile.host}","zone":"${profile.dataCentre}","ip":"127.0.0.1",""" +
    """"listen":{"front":"${profile.callers}",""" +
    """"ready-address":"${profile.readiness}"},""" +
    """"internal-ports":[${profile.peers.port},${profile.peers.port}],""" +
    """"bounds":{"grace-s":${profile.shutdownGracePeriod.inWholeSeconds},""" +
    """"revoke-ms":$revocationMillis,"budget-extra":52,""" +
    """"cold-overshoot":${profile.coldTolerance.overshoot},""" +
    """"cold-slack":${profile.coldTolerance.slack}},""" +
    """"platform":{"address":"${profile.store}"},"unknown":1}"""

/** Runs a host as a process until [test] has ended; it gets the process and its log. */
internal fun withForwardProcess(
    profile: HostProfile,
    heap: String = "-Xmx96m",
    test: suspend CoroutineScope.(Process, File) -> Unit
) {
    val settings = createTempFile("node", ".json").toFile()
    settings.writeText(settingsJson(profile, revocationMillis = 5_000))
    val output = createTempFile("host", ".log").toFile()
    val process = startForward(settings, profile.metrics.port, output, heap)
    try {
        runBlocking(Dispatchers.IO) {
            withTimeout(TEST_TIMEOUT) {
                while (!isReady(profile)) delay(POLL_MILLIS)
                test(process, output)
            }
        }
    } finally {
        process.destroyForcibly()
    }
}
