/*
 * Structured logging: one line of key=value pairs for each event.
 */
package org.sapphirelever.runtime.log

import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import org.tinylog.kotlin.Logger

/** Collects the key=value pairs of one event. */
public class EventFields internal constructor() {
    private val pairs: MutableList<String> = mutableListOf()

    public infix fun String.to(value: Any?) {
        if (value != null) pairs.add("$this=${quote(value.toString())}")
    }

    internal fun line(event: String): String = (listOf("event=$event") + pairs).joinToString(" ")

    private fun quote(value: String): String {
        val escaped = escape(value.replace('\n', ' '))
        val isPlain =
            value.isNotEmpty() && value.none { it.isWhitespace() || it == '"' || it == '=' }
        return if (isPlain) escaped else "\"" + escaped.replace("\"", "'") + "\""
    }

    /** Escapes what could end a line, drive a terminal or be no valid text. */
    private fun escape(value: String): String =
        if (value.all { it in PRINTABLE }) value else value.map(::escape).joinToString("")

    private fun escape(character: Char): String = if (character in PRINTABLE) {
        character.toString()
    } else {
        "\\u%04x".format(character.code)
    }

    private companion object {
        val PRINTABLE = ' '..'~'
    }
}

/**
 * Limits the rate of lines at level info. Warnings are exempt: they are few, and needed most when
 * the rate is high.
 */
private object InfoRateLimit {
    /** Several times the rate of a host under its usual load. */
    private const val LINES_PER_SECOND = 400
    private const val NANOSECONDS_PER_SECOND = 1_000_000_000L
    private val lines = AtomicInteger()
    private val second = AtomicLong()

    fun permits(): Boolean {
        val now = System.nanoTime() / NANOSECONDS_PER_SECOND
        if (second.getAndSet(now) != now) reportDropped(lines.getAndSet(0) - LINES_PER_SECOND)
        return lines.incrementAndGet() <= LINES_PER_SECOND
    }

    private fun reportDropped(count: Int) {
        if (count > 0) logWarning("log-lines-dropped") { "count" to count }
    }
}

/** Logs [event] with its [fields] at level info, unless the rate limit is reached. */
public fun logEvent(event: String, fields: EventFields.() -> Unit = {}) {
    if (InfoRateLimit.permits()) Logger.info { EventFields().apply(fields).line(event) }
}

/** Logs [event], which needs the attention of an operator, at level warning. */
public fun logWarning(event: String, fields: EventFields.() -> Unit = {}) {
    Logger.warn { EventFields().apply(fields).line(event) }
}
