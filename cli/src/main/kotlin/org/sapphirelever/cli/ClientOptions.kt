/*
 * Settings and output formats that the client commands share.
 */
package org.sapphirelever.cli

import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.settings.ChoiceType
import org.sapphirelever.core.settings.EndpointType
import org.sapphirelever.core.settings.MillisecondsType
import org.sapphirelever.core.settings.SettingGroup
import org.sapphirelever.core.settings.defaulted
import org.sapphirelever.core.settings.settings
import org.sapphirelever.wire.MessageJson

private const val MAXIMUM_TIMEOUT_MILLIS = 600_000L
private const val DEFAULT_HTTP_PORT = 8080

internal val ENTRY_HOST =
    defaulted(
        "entry-host",
        EndpointType,
        Endpoint(LOOPBACK, DEFAULT_HTTP_PORT),
        "entry host to call"
    )
internal val CALL_TIMEOUT =
    defaulted(
        "call-limit",
        MillisecondsType(1L..MAXIMUM_TIMEOUT_MILLIS),
        30.seconds,
        "timeout of a call"
    )
internal val OUTPUT =
    defaulted("output", ChoiceType(listOf("table", "json")), "table", "output format")

/** Settings of all commands that call one entry host. */
internal val CLIENT_SETTINGS: SettingGroup =
    settings {
        +ENTRY_HOST
        +CALL_TIMEOUT
        +OUTPUT
    }

/** Runs [call] with a client of the entry host that the settings name. */
internal suspend fun <T> Invocation.withClient(call: suspend (OperatorClient) -> T): T =
    OperatorClient(values[ENTRY_HOST], values[CALL_TIMEOUT]).use { call(it) }

/** Prints a JSON reply unchanged or as a table, depending on the output format. */
internal fun Invocation.print(json: String) {
    if (values[OUTPUT] == "json") {
        output.println(json)
    } else {
        output.print(tableOf(MessageJson.parseToJsonElement(json)))
    }
}

/** Formats each field as one line, and a list of objects as a table under its name. */
internal fun tableOf(element: JsonElement): String = buildString {
    if (element !is JsonObject) return "${formatCell(element)}\n"
    element.filterValues { !it.isTable() && it !is JsonObject }.forEach { (name, value) ->
        appendLine("%-18s %s".format(name, formatCell(value)))
    }
    element.filterValues { it is JsonObject }.forEach { (name, value) ->
        appendLine("$name:")
        append(tableOf(value).prependIndent("  ").trimEnd(' '))
    }
    element.filterValues { it.isTable() }.forEach { (name, value) ->
        appendLine("$name:")
        append(formatRows((value as JsonArray).map { it.jsonObject }))
    }
}

private fun formatRows(items: List<JsonObject>): String {
    val names = items.flatMap { it.keys }.distinct()
    val lines = listOf(names) + items.map { item -> names.map { formatCell(item[it]) } }
    val widths = names.indices.map { column -> lines.maxOf { it[column].length } }
    return lines.joinToString("") { line ->
        val cells = line.mapIndexed { column, text -> text.padEnd(widths[column]) }
        "  " + cells.joinToString("  ").trimEnd() + "\n"
    }
}

private fun JsonElement.isTable(): Boolean =
    this is JsonArray && isNotEmpty() && all { it is JsonObject }

private fun formatCell(value: JsonElement?): String = when (value) {
    null -> ""
    is JsonPrimitive -> value.content
    is JsonArray -> value.joinToString(",") { formatCell(it) }
    is JsonObject -> value.entries.joinToString(" ") { (name, part) -> "$name=${formatCell(part)}" }
}
