/*
 * Command line: args4j parses the flags that a command's settings declare.
 */
package org.sapphirelever.cli

import java.lang.reflect.AnnotatedElement
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.Option
import org.kohsuke.args4j.spi.BooleanOptionHandler
import org.kohsuke.args4j.spi.FieldSetter
import org.kohsuke.args4j.spi.Setter
import org.kohsuke.args4j.spi.StringOptionHandler
import org.sapphirelever.core.settings.Setting

/** Texts of the given flags and arguments, not yet checked against the settings. */
public data class ParsedCommandLine(
    public val flags: Map<String, String>,
    public val arguments: Map<String, String>,
    public val helpRequested: Boolean
)

/**
 * Parses [line] for [command].
 *
 * @throws CmdLineException for an unknown flag, a flag without its value or a missing argument
 */
public fun parseCommandLine(command: Command, line: List<String>): ParsedCommandLine {
    val flags = mutableMapOf<String, String>()
    val arguments = mutableMapOf<String, String>()
    val parser = CmdLineParser(Any())
    command.settings.settings.forEach { setting ->
        val setter = if (setting.type.isSwitch) {
            ValueSetter(Boolean::class.javaObjectType) { flags[setting.flag] = it.toString() }
        } else {
            ValueSetter(String::class.java) { flags[setting.flag] = it }
        }
        parser.addOption(setter, option(setting.flag, setting.type.isSwitch, setting.help))
    }
    val help = ValueSetter(Boolean::class.javaObjectType) { flags[HELP_FLAG] = "true" }
    parser.addOption(help, option(HELP_FLAG, isSwitch = true, "print this help", isHelp = true))
    command.arguments.forEachIndexed { index, declared ->
        val setter = ValueSetter(String::class.java) { arguments[declared.name] = it }
        parser.addArgument(setter, argument(index, declared))
    }
    parser.parseArgument(line)
    return ParsedCommandLine(flags - HELP_FLAG, arguments, HELP_FLAG in flags)
}

/** Complete help text of [command]. */
public fun helpOf(command: Command): String = buildString {
    append("usage: sapphirelever ${command.name}")
    command.arguments.forEach { append(if (it.required) " ${it.name}" else " [${it.name}]") }
    appendLine(" [settings]")
    appendLine(command.summary)
    command.arguments.forEach { appendLine("  %-24s %s".format(it.name, it.description)) }
    command.settings.settings.forEach { setting: Setting<*> ->
        appendLine("  %-24s %s".format(setting.flag, setting.help))
    }
    appendLine("  %-24s %s".format(HELP_FLAG, "print this help"))
}

/** Flag that prints the help of a command. */
public const val HELP_FLAG: String = "--help"

/**
 * Passes parsed values to [store]. args4j would otherwise need annotated fields, but settings are
 * declared as data.
 */
private class ValueSetter<T : Any>(private val type: Class<T>, private val store: (T) -> Unit) :
    Setter<T> {
    override fun addValue(value: T) {
        store(value)
    }

    override fun getType(): Class<T> = type

    override fun isMultiValued(): Boolean = false

    override fun asFieldSetter(): FieldSetter? = null

    override fun asAnnotatedElement(): AnnotatedElement = type
}

private fun option(
    flag: String,
    isSwitch: Boolean,
    usage: String,
    isHelp: Boolean = false
): Option = Option(
    name = flag,
    aliases = arrayOf(),
    usage = usage,
    metaVar = "VALUE",
    required = false,
    help = isHelp,
    hidden = false,
    handler = if (isSwitch) BooleanOptionHandler::class else StringOptionHandler::class,
    depends = arrayOf(),
    forbids = arrayOf()
)

private fun argument(index: Int, declared: ArgumentDeclaration): Argument = Argument(
    usage = declared.description,
    metaVar = declared.name,
    required = declared.required,
    hidden = false,
    handler = StringOptionHandler::class,
    index = index,
    multiValued = false
)
