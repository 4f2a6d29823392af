/*
 * Commands that run stand-ins for the platform and for targets. One process can run several
 * targets of a service, each on its own port.
 */
package org.sapphirelever.cli

import kotlin.time.Duration.Companion.microseconds
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.ExitCode
import org.sapphirelever.core.settings.SettingGroup
import org.sapphirelever.core.settings.SettingValues
import org.sapphirelever.runtime.host.ProcessSignals
import org.sapphirelever.standins.EngineStandIn
import org.sapphirelever.standins.PlatformStandIn
import org.sapphirelever.standins.PoolStandIn
import org.sapphirelever.standins.StandIn

/** Runs the stand-in for the platform. */
public object PlatformStandInCommand : Command {
    override val name: String get() = "platform-standin"
    override val summary: String get() = "Runs a stand-in for the platform."
    override val settings: SettingGroup get() = PlatformOptions.ALL
    override val handlesSignals: Boolean get() = true

    override suspend fun run(invocation: Invocation): ExitCode {
        val values = invocation.values
        val endpoint = Endpoint(values[ADDRESS], values[PlatformOptions.port].toInt())
        val limits = PlatformOptions.limits(values)
        return runUntilSignal(
            listOf(PlatformStandIn(endpoint, limits, PlatformOptions.faults(values))),
            invocation.signals
        )
    }
}

/** Runs stand-ins for targets of a pool. */
public object PoolStandInCommand : TargetStandInCommand() {
    override val name: String get() = "pool-standin"
    override val summary: String
        get() = "Runs stand-ins for targets of an encoder, retriever or reranker pool."
    override val settings: SettingGroup get() = PoolOptions.ALL

    override fun target(values: SettingValues, port: Long): StandIn = poolTarget(values, port)
}

/** Runs stand-ins for engines. */
public object EngineStandInCommand : TargetStandInCommand() {
    override val name: String get() = "engine-standin"
    override val summary: String get() = "Runs stand-ins for model engines."
    override val settings: SettingGroup get() = EngineOptions.ALL

    override fun target(values: SettingValues, port: Long): StandIn =
        EngineStandIn(EngineOptions.read(values, port))
}

/** Runs stand-ins for targets of a plain service. */
public object ServiceStandInCommand : TargetStandInCommand() {
    override val name: String get() = "service-standin"
    override val summary: String get() = "Runs stand-ins for targets of a plain service."
    override val settings: SettingGroup get() = PoolOptions.ALL

    override fun target(values: SettingValues, port: Long): StandIn = poolTarget(values, port)
}

/** Runs one target stand-in for each port. */
public abstract class TargetStandInCommand : Command {
    override val handlesSignals: Boolean get() = true

    override suspend fun run(invocation: Invocation): ExitCode {
        val values = invocation.values
        val standIns = values[TargetOptions.ports].map { target(values, it) }
        return runUntilSignal(standIns, invocation.signals)
    }

    /** Creates the stand-in that listens on [port]. */
    protected abstract fun target(values: SettingValues, port: Long): StandIn
}

private fun poolTarget(values: SettingValues, port: Long): StandIn = PoolStandIn(
    TargetOptions.read(values, port),
    values[PoolOptions.serviceTime],
    values[PoolOptions.timePerCharacter].microseconds
)

/** Runs [standIns] until the first of [signals] to stop. */
private suspend fun runUntilSignal(standIns: List<StandIn>, signals: ProcessSignals): ExitCode =
    coroutineScope {
        val signal = CompletableDeferred<Unit>()
        signals.handle(stop = { signal.complete(Unit) })
        standIns.forEach { standIn -> launch { standIn.run() } }
        signal.await()
        coroutineContext.cancelChildren()
        ExitCode.SUCCESS
    }
