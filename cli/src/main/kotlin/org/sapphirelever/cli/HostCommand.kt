/*
 * Command that runs an entry host, and its settings.
 */
package org.sapphirelever.cli

import kotlin.time.Duration.Companion.seconds
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.ExitCode
import org.sapphirelever.core.FindingCollector
import org.sapphirelever.core.HostId
import org.sapphirelever.core.Place
import org.sapphirelever.core.settings.AddressType
import org.sapphirelever.core.settings.DecimalType
import org.sapphirelever.core.settings.EndpointType
import org.sapphirelever.core.settings.ListType
import org.sapphirelever.core.settings.MillisecondsType
import org.sapphirelever.core.settings.NameType
import org.sapphirelever.core.settings.NumberType
import org.sapphirelever.core.settings.PortType
import org.sapphirelever.core.settings.SettingGroup
import org.sapphirelever.core.settings.SettingValues
import org.sapphirelever.core.settings.SwitchType
import org.sapphirelever.core.settings.defaulted
import org.sapphirelever.core.settings.required
import org.sapphirelever.core.settings.settings
import org.sapphirelever.decisions.burn.Objective
import org.sapphirelever.runtime.host.EntryHost
import org.sapphirelever.runtime.host.HostSettings
import org.sapphirelever.runtime.store.HttpPlatform
import org.sapphirelever.runtime.target.HttpTargetClient

/** Default IP address that processes listen on. */
internal const val LOOPBACK = "127.0.0.1"

/** Settings of the entry host. */
public object HostOptions {
    private const val MINUTE_MILLIS = 60_000L
    private const val TEN_MINUTES_MILLIS = 600_000L
    private const val KIBIBYTE = 1024L
    private const val MAXIMUM_BODY_BYTES = 64L * 1024 * 1024

    internal val host = required("host", NameType, "name of this host, unique in the fleet")
    internal val dataCentre = required("data-centre", NameType, "data centre of this host")
    internal val address = defaulted("address", AddressType, LOOPBACK, "address to listen on")
    internal val httpPort = required("http-port", PortType, "port for callers and operators")
    internal val peerPort = required("peer-port", PortType, "port for other entry hosts")
    internal val platform = required("platform", EndpointType, "address of the platform")
    internal val seeds =
        defaulted(
            "seeds",
            ListType(EndpointType),
            emptyList(),
            "peer addresses of other entry hosts"
        )
    internal val balancerDelay =
        defaulted(
            "balancer-delay",
            MillisecondsType(0L..MINUTE_MILLIS),
            5.seconds,
            "time from reporting not ready to refusing requests at a planned stop"
        )
    internal val drainLimit =
        defaulted(
            "drain-limit",
            MillisecondsType(0L..TEN_MINUTES_MILLIS),
            60.seconds,
            "longest wait for requests in flight at a planned stop"
        )
    internal val bodyLimit =
        defaulted(
            "body-limit",
            NumberType(KIBIBYTE..MAXIMUM_BODY_BYTES, "bytes"),
            HostSettings.DEFAULT_BODY_LIMIT.toLong(),
            "maximum size of a request body"
        )
    internal val randomSeed =
        defaulted(
            "random-seed",
            NumberType(0L..Long.MAX_VALUE, "number"),
            0L,
            "seed of random choices, such as ties between targets"
        )
    internal val objective =
        defaulted(
            "objective",
            DecimalType(0.5..0.99999, "share"),
            Objective.DEFAULT_SHARE,
            "share of requests that should complete in time, for the burn report"
        )

    internal val checkOnly =
        defaulted("check-only", SwitchType, false, "check the settings without starting the host")

    public val ALL: SettingGroup =
        settings {
            +host
            +dataCentre
            +address
            +httpPort
            +peerPort
            +platform
            +seeds
            +balancerDelay
            +drainLimit
            +bodyLimit
            +randomSeed
            +objective
            +checkOnly
        }

    /** Converts checked [values] to the settings of the host. */
    public fun read(values: SettingValues): HostSettings = HostSettings(
        host = HostId(values[host]),
        dataCentre = DataCentre(values[dataCentre]),
        http = Endpoint(values[address], values[httpPort].toInt()),
        peer = Endpoint(values[address], values[peerPort].toInt()),
        platform = values[platform],
        seeds = values[seeds],
        balancerDelay = values[balancerDelay],
        drainLimit = values[drainLimit],
        bodyLimit = values[bodyLimit].toInt(),
        randomSeed = values[randomSeed],
        objective = Objective(values[objective])
    )
}

/** Runs an entry host until a signal stops it. */
public object HostCommand : Command {
    override val name: String get() = "host"
    override val summary: String get() = "Runs an entry host."
    override val settings: SettingGroup get() = HostOptions.ALL
    override val handlesSignals: Boolean get() = true

    override fun FindingCollector.check(values: SettingValues) {
        val ports = listOf(values[HostOptions.httpPort], values[HostOptions.peerPort])
        require(ports.distinct().size == ports.size, Place("flag", field = "--peer-port")) {
            "must differ from --http-port"
        }
    }

    override suspend fun run(invocation: Invocation): ExitCode {
        val settings = HostOptions.read(invocation.values)
        if (invocation.values[HostOptions.checkOnly]) {
            invocation.output.println("settings are valid")
            return ExitCode.SUCCESS
        }
        invocation.stopAtStart()?.let { return it }
        return HttpTargetClient().use { client ->
            val host = EntryHost(settings, HttpPlatform(settings.platform), client)
            invocation.signals.handle(stop = host::signal)
            host.run()
        }
    }
}
