/*
 * Choice of the engine for a request.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
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

    private val local = TargetId("near")
    private val engines = listOf(target("near"), target("far", TARNOW))
    private val shared = PromptShape(persistentListOf(PromptPart("p", 8_000)), 100)
    private val recent = at(0)

    private fun pending(tokens: Int) = PromptCall(
        PromptShape(ownTokens = tokens),
        FirstTokenForecast(waitMillis = 1_000.0, readTokens = tokens),
        recent
    )

    /** Guards against queueing behind long prompts, repeated prefill and transfers of results. */
    private val cases =
        listOf(
            Case("local before remote", expected = "near"),
            Case(
                "prompts that still have to be prefilled",
                mapOf(local to TargetView(prompts = persistentMapOf(1L to pending(10_000)))),
                expected = "far"
            ),
            Case(
                "reported waiting requests",
                mapOf(local to TargetView(report = LoadReport(9, 4, 9, 100, recent))),
                expected = "far"
            ),
            Case(
                "a slow engine",
                mapOf(local to TargetView(report = LoadReport(8, 0, 9, 400, recent))),
                expected = "far"
            ),
            Case(
                "a cached prompt outweighs the remote data centre",
                mapOf(TargetId("far") to TargetView(cached = persistentMapOf("p" to 0L))),
                shared,
                expected = "far"
            ),
            Case(
                "a cached prompt outweighs the transfer of results",
                mapOf(TargetId("far") to TargetView(cached = persistentMapOf("p" to 0L))),
                shared,
                mapOf(KRAKOW to 2_000_000L),
                "far"
            ),
            Case(
                "results in the remote data centre",
                results = mapOf(TARNOW to 2_000_000L),
                expected = "far"
            ),
            Case(
                "an unhealthy engine",
                mapOf(local to TargetView(failures = 1, failedAt = recent)),
                expected = "far"
            )
        )

    @Test
    fun `the engine that finishes the prefill first is chosen`() {
        cases.forEach { case ->
            val chosen = chooseEngine(
                engines,
                case.prompt,
                ChoiceContext(case.views, "r", KRAKOW, at(100), results = case.results)
            )
            assertEquals(case.expected, chosen?.target?.id?.value, case.name)
        }
    }

    /** Guards against memory that grows with each prompt part ever seen. */
    @Test
    fun `prompt parts that were used long ago are forgotten`() {
        val count = 10 * CACHED_PARTS_THRESHOLD
        val view = (1..count).fold(TargetView()) { view, number ->
            view.withCached(listOf(PromptPart("part-$number", 1)), number.toLong())
        }
        assertTrue(view.cached.size <= CACHED_PARTS_THRESHOLD)
        val newest = (count - CACHED_PARTS_THRESHOLD / 2 + 1..count).map { "part-$it" }
        assertTrue(view.cached.keys.containsAll(newest))
    }

    @Test
    fun `an unhealthy engine is chosen if there is no other`() {
        val views = mapOf(local to TargetView(failures = 1, failedAt = recent))
        val only = listOf(target("near"))
        val context = ChoiceContext(views, "r", KRAKOW, at(100))
        assertEquals(local, chooseEngine(only, PromptShape(), context)?.target?.id)
        assertNull(chooseEngine(emptyList(), PromptShape(), context))
    }
}
