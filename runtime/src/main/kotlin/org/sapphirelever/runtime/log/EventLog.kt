/*
 * Structured logs: one line of key=value pairs for each event.
 */
package org.sapphirelever.runtime.log

import org.tinylog.kotlin.Logger

/** Collects the pairs of one event. */
public class EventFields internal constructor() {
    private val pairs: MutableList<String> = mutableListOf()

    public infix fun String.to(value: Any?) {
        if (value != null) pairs.add("$this=${quote(value.toString())}")
    }

    internal fun line(event: String): String = (listOf("event=$event") + pairs).joinToString(" ")

    private fun quote(value: String): String =
        if (value.isNotEmpty() && value.none { it.isWhitespace() || it == '"' || it == '=' }) {
            value
        } else {
            "\"" + value.replace("\"", "'").replace("\n", " ") + "\""
        }
}

/** Logs [event] with its [fields] at level info. */
public fun logEvent(event: String, fields: EventFields.() -> Unit = {}) {
    Logger.info { EventFields().apply(fields).line(event) }
}

/** Logs [event], which needs the attention of an operator. */
public fun logWarning(event: String, fields: EventFields.() -> Unit = {}) {
    Logger.warn { EventFields().apply(fields).line(event) }
}
