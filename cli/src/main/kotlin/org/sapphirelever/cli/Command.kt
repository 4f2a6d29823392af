/*
 * Sub-commands of the program. Each declares its settings and is a thin layer over the library.
 */
package org.sapphirelever.cli

import java.io.PrintStream
import org.sapphirelever.core.ExitCode
import org.sapphirelever.core.FindingCollector
import org.sapphirelever.core.settings.SettingGroup
import org.sapphirelever.core.settings.SettingValues
import org.sapphirelever.core.settings.settings
import org.sapphirelever.runtime.host.ProcessSignals
import org.sapphirelever.runtime.log.logEvent

/** A positional argument; one that is not [required] may be absent. */
public data class ArgumentDeclaration(
    public val name: String,
    public val description: String,
    public val required: Boolean = true
)

/** Validated input of a command and the streams that it writes to. */
public data class Invocation(
    public val values: SettingValues,
    public val arguments: Map<String, String>,
    public val output: PrintStream = System.out,
    public val errors: PrintStream = System.err,
    public val signals: ProcessSignals = ProcessSignals()
) {
    /** Value of the argument [name], which the command must declare as required. */
    public fun argument(name: String): String = arguments.getValue(name)
}

/** A sub-command of the program. */
public interface Command {
    public val name: String

    /** One sentence for the help text. */
    public val summary: String
    public val settings: SettingGroup get() = settings {}
    public val arguments: List<ArgumentDeclaration> get() = emptyList()

    /** Whether [run] handles signals; otherwise they end the process at once. */
    public val handlesSignals: Boolean get() = false

    /** Checks rules that involve several settings, before the command runs. */
    public fun FindingCollector.check(values: SettingValues): Unit = Unit

    /** Prepares the process; called on the main thread before any coroutine starts. */
    public fun prepare(): Unit = Unit

    public suspend fun run(invocation: Invocation): ExitCode
}

/** Exit code if a signal stops the process before it serves; null if none has arrived. */
internal fun Invocation.stopAtStart(): ExitCode? {
    if (!signals.isStopPending) return null
    val code = ExitCode.SUCCESS
    logEvent("signal-received") { "phase" to "starting" }
    logEvent("host-stopped") { "code" to code.number }
    return code
}
