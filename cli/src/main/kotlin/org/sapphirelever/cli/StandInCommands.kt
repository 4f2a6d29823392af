/*
 * Stand-ins for the platform and for targets as processes. One process can serve several targets
 * of a service, each on its own port.
 */
package org.sapphirelever.cli

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.ExitCode
import org.sapphirelever.core.settings.AddressType
import org.sapphirelever.core.settings.ListType
import org.sapphirelever.core.settings.MillisecondsType
import org.sapphirelever.core.settings.NameType
import org.sapphirelever.core.settings.NumberType
import org.sapphirelever.core.settings.PortType
import org.sapphirelever.core.settings.SettingGroup
import org.sapphirelever.core.settings.defaulted
import org.sapphirelever.core.settings.required
import org.sapphirelever.core.settings.settings
import org.sapphirelever.runtime.host.onStopSignal
import org.sapphirelever.standins.PlatformStandIn
import org.sapphirelever.standins.PoolStandIn

private const val GREATEST_SLOTS = 1024L
private const val DEFAULT_SLOTS = 8L
private const val GREATEST_MILLIS = 600_000L

private val ADDRESS = defaulted("address", AddressType, LOOPBACK, "address to serve on")
private val PORT = required("port", PortType, "port to serve on")
private val PORTS = required("ports", ListType(PortType), "ports to serve on, one for each target")
private val SERVICE = required("service", NameType, "name of the service")
private val SLOTS =
    defaulted(
        "slots",
        NumberType(1L..GREATEST_SLOTS, "calls"),
        DEFAULT_SLOTS,
        "calls that one target runs at once"
    )
private val SERVICE_TIME =
    defaulted(
        "service-time",
        MillisecondsType(0L..GREATEST_MILLIS),
        20.milliseconds,
        "time that a call takes"
    )

/** Settings that all stand-ins of targets share; a kind of stand-in adds its own. */
private val TARGET_SETTINGS =
    settings {
        +ADDRESS
        +PORTS
        +SERVICE
        +SLOTS
        +SERVICE_TIME
    }

/** Runs the stand-in for the platform. */
public object PlatformStandInCommand : Command {
    override val name: String get() = "platform-standin"
    override val summary: String get() = "Runs a stand-in for the platform."
    override val settings: SettingGroup =
        settings {
            +ADDRESS
            +PORT
        }

    override suspend fun run(invocation: Invocation): ExitCode {
        val values = invocation.values
        val endpoint = Endpoint(values[ADDRESS], values[PORT].toInt())
        return untilSignal(listOf(suspend { PlatformStandIn(endpoint).run() }))
    }
}

/** Runs stand-ins for targets of a pool. */
public object PoolStandInCommand : TargetStandInCommand() {
    override val name: String get() = "pool-standin"
    override val summary: String
        get() = "Runs stand-ins for targets of an encoder, retriever or reranker pool."
}

/** Runs stand-ins for engines. */
public object EngineStandInCommand : TargetStandInCommand() {
    override val name: String get() = "engine-standin"
    override val summary: String get() = "Runs stand-ins for model engines."
}

/** Runs stand-ins for targets of a plain service. */
public object ServiceStandInCommand : TargetStandInCommand() {
    override val name: String get() = "service-standin"
    override val summary: String get() = "Runs stand-ins for targets of a plain service."
}

/** Runs one stand-in for each port. */
public abstract class TargetStandInCommand : Command {
    override val settings: SettingGroup get() = TARGET_SETTINGS

    override suspend fun run(invocation: Invocation): ExitCode {
        val targets = invocation.values[PORTS].map { target(invocation, it.toInt()) }
        return untilSignal(targets)
    }

    /** The stand-in on [port]; kinds of stand-ins with settings of their own override this. */
    protected open fun target(invocation: Invocation, port: Int): suspend () -> Unit {
        val values = invocation.values
        val slots = values[SLOTS].toInt()
        val endpoint = Endpoint(values[ADDRESS], port)
        return PoolStandIn(endpoint, values[SERVICE], slots, slots, values[SERVICE_TIME])::run
    }
}

/** Runs [servers] until the first signal. */
private suspend fun untilSignal(servers: List<suspend () -> Unit>): ExitCode = coroutineScope {
    val signal = CompletableDeferred<Unit>()
    onStopSignal { signal.complete(Unit) }
    servers.forEach { server -> launch { server() } }
    signal.await()
    coroutineContext.cancelChildren()
    ExitCode.SUCCESS
}
