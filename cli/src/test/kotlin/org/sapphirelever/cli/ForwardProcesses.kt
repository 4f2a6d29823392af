/*
 * Fixtures that run a forwarding host as a separate process.
 */
package org.sapphirelever.cli

import java.io.File
import org.sapphirelever.core.forwarding.HostProfile

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
internal fun settingsJson(profile: HostProfile, revocationMillis: Int): String =
    """{"node":"${profile.host}","zone":"${profile.dataCentre}","ip":"127.0.0.1",""" +
        """"listen":{"front":"${profile.callers}",""" +
        """"ready-address":"${profile.readiness}"},""" +
        """"internal-ports":[${profile.peers.port},${profile.peers.port}],""" +
        """"bounds":{"grace-s":8,"revoke-ms":$revocationMillis,"budget-extra":52},""" +
        """"platform":{"address":"${profile.store}"},"unknown":1}"""
