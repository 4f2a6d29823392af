package org.sapphirelever.load.experiment

import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import org.sapphirelever.core.forwarding.TargetRecord
import org.sapphirelever.decisions.forwarding.ChoiceContext
import org.sapphirelever.decisions.forwarding.PromptShape
import org.sapphirelever.decisions.forwarding.chooseEngine
import org.sapphirelever.decisions.forwarding.forecastAt
import org.sapphirelever.decisions.rendezvousRank

/** Guards against late first tokens where another engine would have answered in time. */
class PromptReuseSimulationTest {
    private data class Case(val load: String, val scenario: PromptScenario)

    private val uneven = List(12) { if (it % 3 == 0) 1.7 else 0.7 }
    private val cases =
        listOf(
            Case("even engines", PromptScenario()),
            Case("uneven engines", PromptScenario(speeds = uneven)),
            Case("many hosts with the same late reports", PromptScenario(reportPeriod = 2.seconds)),
            Case("one popular beginning", PromptScenario(popularity = 2.5)),
            Case("little memory", PromptScenario(memory = 60_000)),
            Case("an engine that restarts", PromptScenario(restartAt = 20.seconds)),
            Case("engines that report no load", PromptScenario(speeds = uneven, liars = 3))
        )
    private val weighed = EnginePolicy(::chooseEngine)

    /** Always the engine that probably holds the beginning of the prompt. */
    private val reuseOnly =
        EnginePolicy { engines, prompt, context ->
            val part = prompt.shared.last().id
            val first = engines.maxByOrNull { rendezvousRank(part, it.id.value) }
            first?.let { forecastAt(it, prompt, context) }
        }

    /** Always the engine with the shortest reported queue. */
    private val waitOnly =
        EnginePolicy { engines, prompt, context ->
            engines.minByOrNull { load(it, context) }?.let { forecastAt(it, prompt, context) }
        }

    private fun load(engine: TargetRecord, context: ChoiceContext): Int {
        val view = context.views[engine.id]
        val report = view?.report
        return maxOf(view?.outstanding ?: 0, (report?.running ?: 0) + (report?.waiting ?: 0))
    }

    @Test
    fun `callers wait less than with reuse alone or with the wait alone`() {
        for (case in cases) {
            val weighed = case.play(weighed)
            val reuse = case.play(reuseOnly)
            val wait = case.play(waitOnly)
            println("${case.load}: weighed ${weighed.text}; reuse ${reuse.text}; wait ${wait.text}")
            val bestAlone = maxOf(reuse.shareInTime, wait.shareInTime)
            assertTrue(weighed.shareInTime >= bestAlone - NOISE, case.load)
            assertTrue(weighed.shareInTime >= MINIMUM_IN_TIME, case.load)
            assertTrue(weighed.readAgain < wait.readAgain * MAXIMUM_READ_RATIO, case.load)
            assertTrue(weighed.putBack <= reuse.putBack, case.load)
        }
    }

    private fun Case.play(policy: EnginePolicy): PromptFigures =
        SEEDS.map { PromptReuseSimulation(scenario, policy, it).run() }.sum()

    private val PromptFigures.text: String
        get() = "in time ${"%.3f".format(shareInTime)}, mean ${meanWait.inWholeMilliseconds} ms, " +
            "read again $readAgain, put back $putBack"

    private fun List<PromptFigures>.sum(): PromptFigures = reduce { all, one ->
        PromptFigures(
            all.requests + one.requests,
            all.inTime + one.inTime,
            all.waits.addAll(one.waits),
            all.readAgain + one.readAgain,
            all.putBack + one.putBack
        )
    }

    private companion object {
        val SEEDS = 1L..3L
        const val NOISE = 0.01

        /** Share of requests with a first token in time, also with little memory. */
        const val MINIMUM_IN_TIME = 0.9

        /** Shared tokens that are read again, relative to a choice by the wait alone. */
        const val MAXIMUM_READ_RATIO = 0.6
    }
}
