/*
 * Positions of the fields of a JSON text. kotlinx.serialization keeps no positions in its tree,
 * so this index walks the text once; the text must have been parsed as JSON before.
 */
package org.sapphirelever.wire.resource

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap

/** Lines, from 1, by path of the field, such as `pipelines[0].stages[2].service`. */
public class JsonPositions private constructor(private val lines: PersistentMap<String, Int>) {
    /** Line of [path], or of the nearest field around it that is in the text. */
    public fun lineOf(path: String): Int {
        var known = path
        while (known.isNotEmpty()) {
            lines[known]?.let { return it }
            known = known.substring(0, maxOf(known.lastIndexOf('.'), known.lastIndexOf('['), 0))
        }
        return lines.getValue("")
    }

    public companion object {
        /** The index of a valid JSON [text]. */
        public fun of(text: String): JsonPositions =
            JsonPositions(JsonWalk(text).walk().toPersistentMap())
    }
}

/** Line of the character at [offset] of [text], from 1. */
internal fun lineAt(text: String, offset: Int): Int =
    1 + text.substring(0, offset.coerceIn(0, text.length)).count { it == '\n' }

/** One pass over a valid JSON text. */
private class JsonWalk(private val text: String) {
    private val lines = mutableMapOf<String, Int>()
    private var offset = 0
    private var line = 1

    fun walk(): Map<String, Int> {
        skipBlanks()
        value("")
        return lines
    }

    private fun value(path: String) {
        lines.putIfAbsent(path, line)
        when (peek()) {
            '{' -> members(path)
            '[' -> elements(path)
            '"' -> string()
            else -> while (offset < text.length && text[offset] !in ENDS) offset++
        }
    }

    private fun members(path: String) {
        offset++
        skipBlanks()
        while (peek() == '"') {
            val start = line
            val name = string()
            val field = if (path.isEmpty()) name else "$path.$name"
            lines[field] = start
            skipBlanks()
            offset++
            skipBlanks()
            value(field)
            skipSeparator()
        }
        offset++
    }

    private fun elements(path: String) {
        offset++
        skipBlanks()
        var index = 0
        while (offset < text.length && peek() != ']') {
            value("$path[$index]")
            index++
            skipSeparator()
        }
        offset++
    }

    private fun string(): String {
        val start = ++offset
        while (offset < text.length && text[offset] != '"') {
            if (text[offset] == '\\') offset++
            offset++
        }
        return text.substring(start, minOf(offset++, text.length))
    }

    private fun skipSeparator() {
        skipBlanks()
        if (peek() == ',') offset++
        skipBlanks()
    }

    private fun skipBlanks() {
        while (offset < text.length && text[offset].isWhitespace()) {
            if (text[offset] == '\n') line++
            offset++
        }
    }

    private fun peek(): Char? = text.getOrNull(offset)

    private companion object {
        const val ENDS = ",]} \t\r\n"
    }
}
