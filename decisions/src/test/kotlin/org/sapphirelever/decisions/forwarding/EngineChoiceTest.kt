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

    private val local = TargetId("near")
    private val engines = listOf(target("near"), target("far", TARNOW))
    private val shared = PromptShape(persistentListOf(PromptPart("p", 8_000)), 100)
    private val recent = at(0)

    /** Guards against queueing behind long prompts, repeated prefill and transfers of results. */
    private val cases =
        listOf(
            Case("local before remote", expected = "near"),
            Case(
                "prompts that still have to be prefilled",
                mapOf(local to TargetView(unreadTokens = 10_000)),
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
                mapOf(TargetId("far") to TargetView(cached = persistentMapOf("p" to recent))),
                shared,
                expected = "far"
            ),
            Case(
                "a cached prompt outweighs the transfer of results",
                mapOf(TargetId("far") to TargetView(cached = persistentMapOf("p" to recent))),
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
            val chosen =
                chooseEngine(engines, case.views, case.prompt, case.results, KRAKOW, at(100))
            assertEquals(case.expected, chosen?.id?.value, case.name)
        }
    }

    /** Guards against memory that grows with each prompt part ever seen. */
    @Test
    fun `prompt parts that were used long ago are forgotten`() {
        val old = (1..CACHED_PARTS_THRESHOLD).fold(TargetView()) { view, number ->
            view.withCached(listOf(PromptPart("old-$number", 1)), at(0))
        }
        assertEquals(CACHED_PARTS_THRESHOLD, old.cached.size)
        assertEquals(setOf("p"), old.withCached(shared.shared, at(100_000)).cached.keys)
        assertEquals(
            CACHED_PARTS_THRESHOLD + 1,
            old.withCached(shared.shared, at(1_000)).cached.size
        )
    }

    @Test
    fun `an unhealthy engine is chosen if there is no other`() {
        val views = mapOf(local to TargetView(failures = 1, failedAt = recent))
        val only = listOf(target("near"))
        val chosen = chooseEngine(only, views, PromptShape(), emptyMap(), KRAKOW, at(100))
        assertEquals(local, chosen?.id)
        assertNull(chooseEngine(emptyList(), views, PromptShape(), emptyMap(), KRAKOW, recent))
    }
}
