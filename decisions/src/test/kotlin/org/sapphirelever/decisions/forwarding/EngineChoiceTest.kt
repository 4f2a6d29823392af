/*
 * Choice of the engine for a request.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.TargetId

class EngineChoiceTest {
    private data class Case(
        val name: String,
        val views: Map<TargetId, TargetView> = emptyMap(),
        val prompt: PromptShape = PromptShape(ownTokens = 400),
        val results: Map<DataCentre, Long> = emptyMap(),
        val expected: String
    )

    private val near = TargetId("near")
    private val engines = listOf(target("near"), target("far", TARNOW))
    private val shared = PromptShape(persistentListOf(PromptPart("p", 8_000)), 100)
    private val late = at(0)

    /** Guards against queues behind long prompts, prompts read again and results that cross. */
    private val cases =
        listOf(
            Case("near before far", expected = "near"),
            Case(
                "unread prompts delay",
                mapOf(near to TargetView(unreadTokens = 10_000)),
                expected = "far"
            ),
            Case(
                "reported waiting requests delay",
                mapOf(near to TargetView(report = LoadReport(9, 4, 9, 100, late))),
                expected = "far"
            ),
            Case(
                "a slow engine",
                mapOf(near to TargetView(report = LoadReport(8, 0, 9, 400, late))),
                expected = "far"
            ),
            Case(
                "a cached prompt is worth the distance",
                mapOf(TargetId("far") to TargetView(cached = persistentMapOf("p" to late))),
                shared,
                expected = "far"
            ),
            Case(
                "a cached prompt is worth results that cross",
                mapOf(TargetId("far") to TargetView(cached = persistentMapOf("p" to late))),
                shared,
                mapOf(KRAKOW to 2_000_000L),
                "far"
            ),
            Case("results draw", results = mapOf(TARNOW to 2_000_000L), expected = "far"),
            Case(
                "a suspect engine",
                mapOf(near to TargetView(failures = 1, failedAt = late)),
                expected = "far"
            )
        )

    @Test
    fun `the engine that reads the prompt soonest is chosen`() {
        cases.forEach { case ->
            val chosen =
                chooseEngine(engines, case.views, case.prompt, case.results, KRAKOW, at(100))
            assertEquals(case.expected, chosen?.id?.value, case.name)
        }
    }

    /** Guards against memory that grows with each prompt part ever seen. */
    @Test
    fun `parts that were read long ago are forgotten`() {
        val old = (1..CACHED_PARTS).fold(TargetView()) { view, number ->
            view.read(listOf(PromptPart("old-$number", 1)), at(0))
        }
        assertEquals(CACHED_PARTS, old.cached.size)
        assertEquals(setOf("p"), old.read(shared.shared, at(100_000)).cached.keys)
        assertEquals(CACHED_PARTS + 1, old.read(shared.shared, at(1_000)).cached.size)
    }

    @Test
    fun `a suspect engine is better than none`() {
        val views = mapOf(near to TargetView(failures = 1, failedAt = late))
        val only = listOf(target("near"))
        val chosen = chooseEngine(only, views, PromptShape(), emptyMap(), KRAKOW, at(100))
        assertEquals(near, chosen?.id)
        assertNull(chooseEngine(emptyList(), views, PromptShape(), emptyMap(), KRAKOW, late))
    }
}
