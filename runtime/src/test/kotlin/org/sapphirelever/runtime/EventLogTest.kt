package org.sapphirelever.runtime

import kotlin.test.Test
import kotlin.test.assertEquals
import org.sapphirelever.runtime.log.EventFields

/** Guards against callers who write lines of their own into the log, or drive a terminal. */
class EventLogTest {
    private val cases =
        mapOf(
            "plain" to "plain",
            "two words" to "\"two words\"",
            "a=\"b\"" to "\"a='b'\"",
            "line\nevent=x" to "\"line event=x\"",
            "\u001b[2J" to "\\u001b[2J",
            "return\rx" to "\"return\\u000dx\"",
            "\u00e9\u0080" to "\\u00e9\\u0080",
            "" to "\"\""
        )

    @Test
    fun `values are escaped`() {
        for ((value, written) in cases) {
            val fields = EventFields().apply { "key" to value }
            assertEquals("event=e key=$written", fields.line("e"))
        }
    }
}
