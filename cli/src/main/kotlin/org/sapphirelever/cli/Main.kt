/*
 * The sapphirelever program: sub-commands over the library.
 */
package org.sapphirelever.cli

import kotlin.system.exitProcess
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.spi.SubCommand
import org.kohsuke.args4j.spi.SubCommandHandler
import org.kohsuke.args4j.spi.SubCommands

/** One sub-command; [run] returns the exit code of the process. */
public interface Command {
    public fun run(): Int
}

/** Root of the command line. */
public class CommandLine {
    @Argument(
        index = 0,
        metaVar = "COMMAND",
        required = true,
        handler = SubCommandHandler::class,
        usage = "host | platform-standin | pool-standin | apply"
    )
    @SubCommands(
        SubCommand(name = "host", impl = HostCommand::class),
        SubCommand(name = "platform-standin", impl = PlatformStandInCommand::class),
        SubCommand(name = "pool-standin", impl = PoolStandInCommand::class),
        SubCommand(name = "apply", impl = ApplyCommand::class)
    )
    public var command: Command? = null
}

/** Exit code for a command line that cannot be understood. */
public const val EXIT_USAGE: Int = 64

public fun main(arguments: Array<String>) {
    val line = CommandLine()
    val parser = CmdLineParser(line)
    val code =
        try {
            parser.parseArgument(*arguments)
            line.command?.run() ?: EXIT_USAGE
        } catch (failure: CmdLineException) {
            System.err.println(failure.message)
            failure.parser.printUsage(System.err)
            EXIT_USAGE
        }
    exitProcess(code)
}
