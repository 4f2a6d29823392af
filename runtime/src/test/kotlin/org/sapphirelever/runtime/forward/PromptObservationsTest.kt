/*
 * What a host keeps of an engine while prompts are in flight there.
 */
package org.sapphirelever.runtime.forward

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.HostId
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.HostProfile
import org.sapphirelever.decisions.forwarding.FirstTokenForecast
import org.sapphirelever.decisions.forwarding.PromptPart
import org.sapphirelever.decisions.forwarding.PromptShape

class PromptObservationsTest {
    /** [ratio] is the measured time relative to standard speed; null without a sample. */
    private data class Case(
        val name: String,
        val hasEvent: Boolean,
        val restarts: Boolean,
        val parts: Set<String>,
        val ratio: Double?,
        val readTokens: Long
    )

    private val cases =
        listOf(
            Case("an answer", true, false, setOf("p"), 2.0, 500),
            Case("no answer", false, false, emptySet(), null, 0),
            Case("a restart before the first event", true, true, emptySet(), null, 500)
        )

    /** Guards against figures of an earlier run of an engine, and calls that are counted twice. */
    @Test
    fun `first events give speed and kept parts, and a restart forgets them but no call`() {
        for (case in cases) {
            var now = MonotonicTime.ZERO
            val state = ForwardingState(PROFILE) { now }
            state.updateView(ENGINE) { it.copy(outstanding = it.outstanding + 1) }
            val prompt = state.prompts.send(SERVICE, ENGINE, PROMPT, FORECAST)
            assertEquals(500, state.targetViews.getValue(ENGINE).unreadTokens, case.name)
            if (case.restarts) state.forget(ENGINE)
            now += 200.milliseconds
            if (case.hasEvent) prompt.begin()
            val begun = state.targetViews.getValue(ENGINE)
            assertEquals(1, begun.outstanding, case.name)
            assertEquals(case.parts, begun.cached.keys, case.name)
            assertEquals(case.ratio, begun.speed.samples.singleOrNull()?.ratio, case.name)
            prompt.end()
            state.updateView(ENGINE) { it.copy(outstanding = it.outstanding - 1) }
            val ended = state.targetViews.getValue(ENGINE)
            assertEquals(0, ended.unreadTokens + ended.outstanding + ended.prompts.size, case.name)
            assertEquals(case.readTokens, state.prompts.readTokens, case.name)
        }
    }

    private companion object {
        val SERVICE = ServiceName("engine")
        val ENGINE = TargetId("e-1")
        val PROMPT = PromptShape(persistentListOf(PromptPart("p", 800)), 200)
        val FORECAST =
            FirstTokenForecast(waitMillis = 100.0, readTokens = 500, standardMillis = 100.0)
        val PROFILE = HostProfile(
            host = HostId("entry-1"),
            dataCentre = DataCentre("z"),
            callers = Endpoint("127.0.0.1", 1),
            readiness = Endpoint("127.0.0.1", 2),
            metrics = Endpoint("127.0.0.1", 3),
            peers = Endpoint("127.0.0.1", 4),
            store = Endpoint("127.0.0.1", 5),
            shutdownGracePeriod = 8.seconds,
            maximumRevocationDelay = 5.seconds,
            maximumConfigurationDelay = 2.seconds,
            retryBudgetRatio = 0.2,
            retryBudgetExtra = 60,
            retryBudgetWindow = 10.seconds,
            minimumLeaseTtl = 1.seconds,
            capacityPercent = 100
        )
    }
}
