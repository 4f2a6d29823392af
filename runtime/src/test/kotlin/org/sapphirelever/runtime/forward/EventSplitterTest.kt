/*
 * Events cut out of parts of a stream.
 */
package org.sapphirelever.runtime.forward

import kotlin.test.Test
import kotlin.test.assertEquals

class EventSplitterTest {
    private data class Case(
        val name: String,
        val parts: List<String>,
        val events: List<String>,
        val ids: List<String?>,
        val rest: String
    )

    /** Guards against events that are passed on in part, which could not be resumed. */
    private val cases =
        listOf(
            Case(
                "one",
                listOf("id: 1\ndata: a\n\n"),
                listOf("id: 1\ndata: a\n\n"),
                listOf("1"),
                ""
            ),
            Case(
                "two in one part",
                listOf("id:1\n\nid:2\n\n"),
                listOf("id:1\n\n", "id:2\n\n"),
                listOf("1", "2"),
                ""
            ),
            Case(
                "cut inside the blank line",
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
            Case("no identity", listOf("data: a\n\n"), listOf("data: a\n\n"), listOf(null), ""),
            Case("nothing whole", listOf("data: a"), emptyList(), emptyList(), "data: a")
        )

    @Test
    fun `only whole events are cut out`() {
        cases.forEach { case ->
            val splitter = EventSplitter()
            val events = case.parts.flatMap { splitter.add(it.toByteArray()) }
            assertEquals(case.events, events.map { it.bytes.decodeToString() }, case.name)
            assertEquals(case.ids, events.map { it.id }, case.name)
            assertEquals(case.rest, splitter.rest.decodeToString(), case.name)
        }
    }
}
