/*
 * Tests the splitting of a byte stream into server-sent events.
 */
package org.sapphirelever.runtime.forward

import kotlin.test.Test
import kotlin.test.assertEquals
import org.sapphirelever.runtime.transport.MessageMemory

class EventSplitterTest {
    private data class Case(
        val name: String,
        val parts: List<String>,
        val events: List<String>,
        val ids: List<String?>,
        val rest: String
    )

    /** Guards against forwarding an incomplete event, after which a stream cannot be resumed. */
    private val cases =
        listOf(
            Case(
                "one event",
                listOf("id: 1\ndata: a\n\n"),
                listOf("id: 1\ndata: a\n\n"),
                listOf("1"),
                ""
            ),
            Case(
                "two events in one part",
                listOf("id:1\n\nid:2\n\n"),
                listOf("id:1\n\n", "id:2\n\n"),
                listOf("1", "2"),
                ""
            ),
            Case(
                "split inside the blank line",
                listOf("id: 1\ndata: a\n", "\nid: 2"),
                listOf("id: 1\ndata: a\n\n"),
                listOf("1"),
                "id: 2"
            ),
            Case(
                "carriage returns",
                listOf("id: 7\r\ndata: a\r\n\r", "\n"),
                listOf("id: 7\r\ndata: a\r\n\r\n"),
                listOf("7"),
                ""
            ),
            Case("no event id", listOf("data: a\n\n"), listOf("data: a\n\n"), listOf(null), ""),
            Case("incomplete event", listOf("data: a"), emptyList(), emptyList(), "data: a")
        )

    @Test
    fun `only complete events are returned`() {
        cases.forEach { case ->
            val splitter = EventSplitter(MessageMemory().claim())
            val events = case.parts.flatMap { splitter.add(it.toByteArray()) }
            assertEquals(case.events, events.map { it.bytes.decodeToString() }, case.name)
            assertEquals(case.ids, events.map { it.id }, case.name)
            assertEquals(case.rest, splitter.rest.decodeToString(), case.name)
        }
    }
}
