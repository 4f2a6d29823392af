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

/** A positional argument; one that is not [required] may be absent. */
public data class ArgumentDeclaration(
    public val name: String,
    public val description: String,
    public val required: Boolean = true
)

/** Checked input of a command and the streams that it writes to. */
public data class Invocation(
    public val values: SettingValues,
    public val arguments: Map<String, String>,
    public val output: PrintStream = System.out,
    public val errors: PrintStream = System.err
) {
    /** The argument [name], which the command declares as required. */
    public fun argument(name: String): String = arguments.getValue(name)
}

/** One sub-command. */
public interface Command {
    public val name: String

    /** One sentence for the help text. */
    public val summary: String
    public val settings: SettingGroup get() = settings {}
    public val arguments: List<ArgumentDeclaration> get() = emptyList()

    /** Checks across settings, before anything starts. */
    public fun FindingCollector.check(values: SettingValues): Unit = Unit

    /** Runs on the main thread before the process has any other task. */
    public fun prepare(): Unit = Unit

    public suspend fun run(invocation: Invocation): ExitCode
}
