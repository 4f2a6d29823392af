/*
 * Signals that arrive before and after a command handles them.
 */
package org.sapphirelever.runtime.host

import kotlin.test.Test
import kotlin.test.assertEquals
import sun.misc.Signal
import sun.misc.SignalHandler

class ProcessSignalsTest {
    private data class Case(
        val name: String,
        val before: List<String>,
        val handling: (ProcessSignals, MutableList<String>) -> Unit,
        val after: List<String>,
        val expected: List<String>
    )

    /** Guards against signals at the start that end the process or that nothing follows. */
    private val cases =
        listOf(
            Case("none", emptyList(), ::handleBoth, emptyList(), emptyList()),
            Case(
                "handled",
                emptyList(),
                ::handleBoth,
                listOf("HUP", "INT"),
                listOf("reload", "stop")
            ),
            Case("early reload", listOf("HUP"), ::handleBoth, emptyList(), listOf("reload")),
            Case("early stop", listOf("TERM"), ::handleBoth, emptyList(), listOf("stop")),
            Case(
                "early and late",
                listOf("INT"),
                ::handleBoth,
                listOf("TERM"),
                listOf("stop", "stop")
            ),
            Case(
                "no reload",
                listOf("HUP", "TERM"),
                { signals, done -> signals.handle(stop = { done += "stop" }) },
                emptyList(),
                listOf("stop", "default HUP")
            ),
            Case(
                "defaults",
                listOf("INT"),
                { signals, _ -> signals.restoreDefaults() },
                emptyList(),
                listOf("default INT")
            )
        )

    @Test
    fun `each signal is followed by its action once`() {
        cases.forEach { case ->
            val done = mutableListOf<String>()
            val recorder = SignalHandler { done += "default ${it.name}" }
            val originals = NAMES.map { it to Signal.handle(Signal(it), recorder) }
            try {
                val signals = ProcessSignals()
                signals.record()
                case.before.forEach { signals.handle(Signal(it)) }
                assertEquals(case.before.any { it != "HUP" }, signals.isStopPending, case.name)
                case.handling(signals, done)
                case.after.forEach { signals.handle(Signal(it)) }
                // A signal that the parent ignores, as under nohup, has no effect by default.
                val ignored = originals.filter { it.second == SignalHandler.SIG_IGN }
                val expected = case.expected - ignored.map { "default ${it.first}" }.toSet()
                assertEquals(expected, done, case.name)
                assertEquals(false, signals.isStopPending, case.name)
            } finally {
                originals.forEach { (name, original) -> Signal.handle(Signal(name), original) }
            }
        }
    }

    private fun handleBoth(signals: ProcessSignals, done: MutableList<String>) {
        signals.handle(stop = { done += "stop" }, reload = { done += "reload" })
    }

    private companion object {
        val NAMES = listOf("HUP", "INT", "TERM")
    }
}
