/*
 * Line numbers of the fields of a JSON text. The tree of kotlinx.serialization has no positions,
 * so the text is scanned again; it must have been parsed as valid JSON before.
 */
package org.sapphirelever.wire.resource

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap

/** Line numbers, from 1, by field path, such as `pipelines[0].stages[2].service`. */
public class JsonPositions private constructor(private val lines: PersistentMap<String, Int>) {
    /** Line of [path], or of the innermost field around it that the text contains. */
    public fun lineOf(path: String): Int {
        var field = path
        while (field.isNotEmpty()) {
            lines[field]?.let { return it }
            field = field.substring(0, maxOf(field.lastIndexOf('.'), field.lastIndexOf('['), 0))
        }
        return lines.getValue("")
    }

    public companion object {
        /** Scans [text], which must be valid JSON. */
        public fun of(text: String): JsonPositions =
            JsonPositions(JsonScanner(text).scan().toPersistentMap())
    }
}

/** Line of [text], from 1, that contains the character at [offset]. */
internal fun lineAt(text: String, offset: Int): Int =
    1 + text.substring(0, offset.coerceIn(0, text.length)).count { it == '\n' }

/** Scans a valid JSON text once and records the line of each field and list element. */
private class JsonScanner(private val text: String) {
    private val lines = mutableMapOf<String, Int>()
    private var offset = 0
    private var line = 1

    fun scan(): Map<String, Int> {
        skipWhitespace()
        scanValue("")
        return lines
    }

    private fun scanValue(path: String) {
        lines.putIfAbsent(path, line)
        when (peek()) {
            '{' -> scanObject(path)
            '[' -> scanArray(path)
            '"' -> scanString()
            else -> while (offset < text.length && text[offset] !in LITERAL_ENDS) offset++
        }
    }

    private fun scanObject(path: String) {
        offset++
        skipWhitespace()
        while (peek() == '"') {
            val nameLine = line
            val name = scanString()
            val field = if (path.isEmpty()) name else "$path.$name"
            lines[field] = nameLine
            skipWhitespace()
            offset++
            skipWhitespace()
            scanValue(field)
            skipSeparator()
        }
        offset++
    }

    private fun scanArray(path: String) {
        offset++
        skipWhitespace()
        var index = 0
        while (offset < text.length && peek() != ']') {
            scanValue("$path[$index]")
            index++
            skipSeparator()
        }
        offset++
    }

    /** Scans a string and returns its content without resolving escape sequences. */
    private fun scanString(): String {
        val start = ++offset
        while (offset < text.length && text[offset] != '"') {
            if (text[offset] == '\\') offset++
            offset++
        }
        return text.substring(start, minOf(offset++, text.length))
    }

    private fun skipSeparator() {
        skipWhitespace()
        if (peek() == ',') offset++
        skipWhitespace()
    }

    private fun skipWhitespace() {
        while (offset < text.length && text[offset].isWhitespace()) {
            if (text[offset] == '\n') line++
            offset++
        }
    }

    private fun peek(): Char? = text.getOrNull(offset)

    private companion object {
        /** Characters that end a number or a literal such as `true`. */
        const val LITERAL_ENDS = ",]} \t\r\n"
    }
}
