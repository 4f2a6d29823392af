/*
 * Weighing of kept prompts, waits, speeds and memory in single choices, as tables.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.EngineLimits
import org.sapphirelever.decisions.rendezvousRank

class FirstTokenForecastTest {
    private data class Case(
        val name: String,
        val first: TargetView,
        val second: TargetView = TargetView(),
        val prompt: PromptShape = LONG,
        val totals: PromptTotals = TOTALS,
        val expected: String
    )

    private val holding = TargetView(cached = persistentMapOf("p" to TOTALS.loadedTokens))
    private val cases =
        listOf(
            Case("a kept prompt at an idle engine", holding, expected = FIRST),
            Case(
                "a wait for places longer than the prefill that it saves",
                holding.copy(report = report(running = PLACES, waiting = 12)),
                expected = SECOND
            ),
            Case(
                "a few running requests are no reason to read the prompt again",
                holding.copy(report = report(running = PLACES / 2)),
                expected = FIRST
            ),
            Case(
                "requests of this host count before any report does",
                holding.copy(outstanding = PLACES + 10),
                expected = SECOND
            ),
            Case(
                "a kept prompt at an engine near the end of its memory",
                holding.copy(
                    report = report(running = 6),
                    prompts = held(tokens = MEMORY),
                    outstanding = 1
                ),
                expected = SECOND
            ),
            Case(
                "a part that is kept at the second engine",
                TargetView(report = report(running = 4)),
                holding,
                expected = SECOND
            ),
            Case(
                "a part that the second engine dropped, as it read more than its memory holds",
                TargetView(report = report(running = 4)),
                TargetView(cached = persistentMapOf("p" to 0L)),
                totals = TOTALS.copy(heldTokens = 2L * MEMORY, keptTokens = 0),
                expected = FIRST
            ),
            Case(
                "a slow engine",
                measured(2.4),
                measured(1.0),
                prompt = OWN,
                expected = SECOND
            ),
            Case(
                "a slow engine that keeps the prompt answers before a fast one that reads it",
                measured(1.7).copy(cached = holding.cached),
                measured(0.7),
                expected = FIRST
            ),
            Case(
                "a slow engine gets what it can answer before a fast one with a queue",
                measured(1.7),
                measured(0.7).copy(report = report(running = PLACES, waiting = 6)),
                prompt = OWN,
                expected = FIRST
            ),
            Case(
                "an engine that stands still sends no report",
                holding.copy(prompts = overdue(), outstanding = 1),
                expected = SECOND
            ),
            Case(
                "an engine whose last call broke a while ago and that may still be down",
                TargetView(failures = 1, failedAt = at(-10_000)),
                prompt = OWN,
                expected = SECOND
            ),
            Case(
                "a false report of negative load and speed attracts no more than an idle engine",
                TargetView(report = LoadReport(-500, -500, -1, -100, RECENT), outstanding = 6),
                TargetView(report = report(running = 0)),
                prompt = OWN,
                expected = SECOND
            )
        )

    /** Guards against waits, put back requests and prefill that another engine would have saved. */
    @Test
    fun `the saved prefill is weighed against wait, speed and memory`() {
        cases.forEach { case ->
            val views = mapOf(TargetId(FIRST) to case.first, TargetId(SECOND) to case.second)
            val chosen = chooseEngine(ENGINES, case.prompt, context(views, case.totals))
            assertEquals(case.expected, chosen?.target?.id?.value, case.name)
        }
    }

    private data class Speeds(
        val name: String,
        val samples: List<SpeedSample>,
        val peers: List<SpeedSample>,
        val expected: ClosedFloatingPointRange<Double>
    )

    /** Guards against slow moments that are taken for slow engines, and the other way round. */
    @Test
    fun `speed follows the samples of an engine and begins with its peers`() {
        val normal = List(8) { SpeedSample(0.5, 1.0) }
        listOf(
            Speeds("nothing known", emptyList(), emptyList(), 1.0..1.0),
            Speeds("not measured, as after a restart", emptyList(), normal, 0.5..0.5),
            Speeds("one sample", listOf(SpeedSample(1.0, 1.0)), normal, 0.6..0.7),
            Speeds("slow at all times", List(8) { SpeedSample(1.2, 1.0) }, normal, 1.0..1.2),
            Speeds(
                "slow in moments that it does not report",
                List(5) { SpeedSample(0.5, 1.0) } + List(3) { SpeedSample(9.0, 1.0) },
                normal,
                0.5..0.5
            ),
            Speeds("slow by its reports", List(8) { SpeedSample(0.5, 1.7) }, normal, 0.75..0.85)
        ).forEach { case ->
            val own = case.samples.fold(EngineSpeed()) { speed, sample -> speed.with(sample) }
            val peers = case.peers.fold(EngineSpeed()) { speed, sample -> speed.with(sample) }
            val shrunk = own.shrunkTo(medianSpeed(listOf(TargetView(speed = peers))))
            assertTrue(shrunk.ratio * shrunk.slowness in case.expected, "${case.name}: $shrunk")
        }
    }

    /** Guards against queues and reported slow moments that count as the speed of an engine. */
    @Test
    fun `samples leave out queues and the reported slowness`() {
        assertEquals(SpeedSample(2.0, 1.0), speedSample(200.0, 100.0, null))
        assertEquals(
            SpeedSample(0.5, 4.0),
            speedSample(200.0, 100.0, LoadReport(1, 0, PLACES, 400, RECENT))
        )
        assertNull(speedSample(200.0, 100.0, report(running = PLACES, waiting = 1)))
        assertNull(speedSample(200.0, 0.0, null))
    }

    /** Guards against admission that trusts a full engine, or refuses because of one. */
    @Test
    fun `the expected first token is that of the engine that would be chosen`() {
        val full = TargetView(report = report(running = PLACES, waiting = 200))
        val oneFull = context(mapOf(TargetId(FIRST) to full, TargetId(SECOND) to TargetView()))
        val allFull = context(mapOf(TargetId(FIRST) to full, TargetId(SECOND) to full))
        assertTrue(expectedFirstToken(ENGINES, LONG, oneFull) < 1.seconds)
        assertTrue(expectedFirstToken(ENGINES, LONG, allFull) > 4.seconds)
        assertEquals(150.milliseconds, expectedFirstToken(emptyList(), LONG, oneFull))
    }

    private companion object {
        const val PLACES = 12
        const val MEMORY = 200_000
        val RECENT = at(0)
        val LONG = PromptShape(persistentListOf(PromptPart("p", 6_300)), 2_890, 60)
        val OWN = PromptShape(ownTokens = 2_000, outputTokens = 40)
        val TOTALS = PromptTotals(
            requests = 100,
            readTokens = 300_000,
            keptTokens = 200_000,
            heldTokens = 510_000
        )

        /** Engines in the order in which all hosts prefer them for the shared part. */
        val ENGINES = listOf("a", "b").map { target(it) }
            .sortedByDescending { rendezvousRank("p", it.id.value) }
        val FIRST = ENGINES[0].id.value
        val SECOND = ENGINES[1].id.value

        fun context(
            views: Map<TargetId, TargetView>,
            totals: PromptTotals = TOTALS
        ): ChoiceContext = ChoiceContext(
            views,
            "r",
            KRAKOW,
            at(100),
            EngineLimits(PLACES, MEMORY.toLong()),
            totals,
            hosts = 4
        )

        fun report(running: Int, waiting: Int = 0): LoadReport =
            LoadReport(running, waiting, PLACES, 100, RECENT)

        fun measured(ratio: Double): TargetView = TargetView(
            speed = EngineSpeed(
                List(8) {
                    SpeedSample(ratio, 1.0)
                }.toPersistentList(),
                ratio
            )
        )

        fun held(tokens: Int) = persistentMapOf(
            1L to
                PromptCall(PromptShape(ownTokens = tokens), FirstTokenForecast(50.0), RECENT, true)
        )

        fun overdue() = persistentMapOf(
            1L to PromptCall(PromptShape(), FirstTokenForecast(waitMillis = 100.0), at(-2_000))
        )
    }
}
