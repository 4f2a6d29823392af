/*
 * Command that runs a forwarding host.
 */
package org.sapphirelever.cli

import org.sapphirelever.core.ExitCode
import org.sapphirelever.core.settings.PortType
import org.sapphirelever.core.settings.SettingGroup
import org.sapphirelever.core.settings.SwitchType
import org.sapphirelever.core.settings.TextType
import org.sapphirelever.core.settings.defaulted
import org.sapphirelever.core.settings.required
import org.sapphirelever.core.settings.settings
import org.sapphirelever.platform.PlatformProtocol
import org.sapphirelever.platform.StoreClient
import org.sapphirelever.platform.readHostFile
import org.sapphirelever.runtime.forward.ForwardingHost
import org.sapphirelever.runtime.forward.ProfileSource
import org.sapphirelever.runtime.transport.Sockets

/** Runs a forwarding host until a signal stops it. */
public object ForwardCommand : Command {
    private const val DEFAULT_METRICS_PORT = 9_464L

    /** Packages with the classes that serve requests; these are loaded before the host starts. */
    private val SERVING_PACKAGES =
        listOf(
            "org/sapphirelever/core/forwarding/",
            "org/sapphirelever/decisions/forwarding/",
            "org/sapphirelever/platform/",
            "org/sapphirelever/runtime/forward/",
            "org/sapphirelever/runtime/transport/",
            "org/sapphirelever/runtime/supervision/",
            "org/sapphirelever/wire/peer/",
            "io/ktor/http/cio/",
            "io/ktor/network/selector/",
            "io/ktor/network/sockets/",
            "kotlinx/collections/immutable/implementations/"
        )

    private val settingsFile =
        required("settings", TextType, "settings file that the users' platform provides")
    private val metricsPort =
        defaulted("metrics-port", PortType, DEFAULT_METRICS_PORT, "port for metrics")
    private val checkOnly =
        defaulted(
            "check-file-only",
            SwitchType,
            false,
            "check the settings without starting the host"
        )

    override val name: String get() = "forward"
    override val summary: String get() = "Runs a forwarding host on the users' platform."
    override val settings: SettingGroup =
        settings {
            +settingsFile
            +metricsPort
            +checkOnly
        }

    override val handlesSignals: Boolean get() = true

    override fun prepare() {
        preloadClasses(ForwardingHost::class.java, SERVING_PACKAGES)
    }

    override suspend fun run(invocation: Invocation): ExitCode {
        val path = invocation.values[settingsFile]
        val metrics = invocation.values[metricsPort].toInt()
        val source = ProfileSource { readHostFile(path, metrics) }
        val profile = source.read()
        if (invocation.values[checkOnly]) {
            invocation.output.println("settings are valid")
            return ExitCode.SUCCESS
        }
        invocation.stopAtStart()?.let { return it }
        return Sockets().use { sockets ->
            val store = StoreClient(profile.store, sockets)
            val host = ForwardingHost(source, PlatformProtocol, store, sockets)
            invocation.signals.handle(stop = host::signal, reload = host::reload)
            host.run()
        }
    }
}
