/*
 * Parses the command line and runs one of the sub-commands.
 */
package org.sapphirelever.cli

import java.io.PrintStream
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import org.kohsuke.args4j.CmdLineException
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.ExitCode
import org.sapphirelever.core.SapphireleverException
import org.sapphirelever.core.collectFindings
import org.sapphirelever.core.settings.ENVIRONMENT_PREFIX
import org.sapphirelever.core.settings.SettingSources
import org.sapphirelever.core.settings.readSettings
import org.sapphirelever.runtime.host.ProcessSignals

/** All sub-commands, in the order of the help text. */
public val COMMANDS: List<Command> =
    listOf(
        HostCommand,
        ForwardCommand,
        PlatformStandInCommand,
        PoolStandInCommand,
        EngineStandInCommand,
        ServiceStandInCommand,
        GetCommand,
        ListCommand,
        ApplyCommand,
        DeleteCommand,
        WatchCommand,
        StatusCommand,
        CheckCommand,
        RequestCommand,
        ExplainCommand,
        LoadCommand,
        ReportCommand,
        ExperimentCommand
    )

/** Runs sub-commands. Tests pass their own [environment] and streams. */
public class Program(
    private val environment: Map<String, String>,
    private val output: PrintStream,
    private val errors: PrintStream,
    private val commands: List<Command> = COMMANDS,
    private val signals: ProcessSignals = ProcessSignals()
) {
    public fun run(line: List<String>): ExitCode {
        val name = line.firstOrNull()
        if (name == null || name == HELP_FLAG || name == "help") {
            (if (name == null) errors else output).print(overview())
            return if (name == null) ExitCode.USAGE else ExitCode.SUCCESS
        }
        val command = commands.firstOrNull { it.name == name }
        if (command == null) {
            errors.println("unknown command '$name'")
            errors.print(overview())
            return ExitCode.USAGE
        }
        if (!command.handlesSignals) signals.restoreDefaults()
        return try {
            run(command, line.drop(1))
        } catch (failure: CmdLineException) {
            errors.println(failure.message)
            errors.println("sapphirelever ${command.name} $HELP_FLAG lists all settings")
            ExitCode.USAGE
        } catch (failure: SapphireleverException) {
            printFailure(failure)
            failure.code.exitCode()
        } catch (failure: Exception) {
            errors.println("${ErrorCode.INTERNAL.text}: $failure")
            ExitCode.INTERNAL
        }
    }

    private fun run(command: Command, line: List<String>): ExitCode {
        val parsed = parseCommandLine(command, line)
        if (parsed.helpRequested) {
            output.print(helpOf(command))
            return ExitCode.SUCCESS
        }
        val ownVariables = environment.filterKeys { it.startsWith(ENVIRONMENT_PREFIX) }
        val sources = SettingSources(parsed.flags.toPersistentMap(), ownVariables.toPersistentMap())
        val known = commands.flatMap { it.settings.settings }.map { it.environment }.toSet()
        val values =
            readSettings(command.settings, sources, known).validOrThrow { values ->
                with(command) { check(values) }
            }
        val invocation = Invocation(values, parsed.arguments, output, errors, signals)
        command.prepare()
        return runBlocking(Dispatchers.Default) { command.run(invocation) }
    }

    private fun printFailure(failure: SapphireleverException) {
        errors.println("${failure.code.text}: ${failure.message}")
        failure.findings.forEach { errors.println("  $it") }
    }

    private fun overview(): String = buildString {
        appendLine("usage: sapphirelever COMMAND [arguments] [settings]")
        commands.forEach { appendLine("  %-18s %s".format(it.name, it.summary)) }
        appendLine("sapphirelever COMMAND $HELP_FLAG lists the settings of a command.")
    }
}

/** Exit code of a process that ends with this error code. */
internal fun ErrorCode.exitCode(): ExitCode = when (this) {
    ErrorCode.OK -> ExitCode.SUCCESS
    ErrorCode.INVALID_RESOURCE -> ExitCode.INVALID_RESOURCE
    ErrorCode.INVALID_SETTING -> ExitCode.INVALID_SETTING
    ErrorCode.PLATFORM_UNAVAILABLE, ErrorCode.NOT_READY -> ExitCode.UNAVAILABLE
    ErrorCode.INTERNAL -> ExitCode.INTERNAL
    else -> ExitCode.FAILURE
}
