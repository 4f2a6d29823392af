package org.sapphirelever.load.report

import javax.xml.parsers.DocumentBuilderFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.sapphirelever.decisions.burn.BurnCause
import org.sapphirelever.decisions.burn.BurnHistory
import org.sapphirelever.decisions.burn.Objective
import org.sapphirelever.decisions.burn.RecordedDecision
import org.sapphirelever.decisions.burn.report
import org.sapphirelever.wire.toHistory
import org.sapphirelever.wire.toMessage

/** Guards against adding up unaligned minutes of several hosts, and against unescaped HTML. */
class BurnPageTest {
    @Test
    fun `reports of hosts with different clocks are added up by relative minute`() {
        val cause = BurnCause("generate", "target-lost")
        val first = BurnHistory().withRequest(100, null).withRequest(101, cause)
        val second =
            BurnHistory().withRequest(7000, null).withRequest(7001, null)
                .withDecision(RecordedDecision(7001, "b", "ejected <script> & co"))
        val history =
            first.toMessage("a", 0.99, now = 101).toHistory() +
                second.toMessage("b", 0.99, now = 7001).toHistory()
        assertEquals(listOf(-1L to 2L, 0L to 2L), history.minutes.map { it.minute to it.total })
        val report = history.report(Objective(), now = 0)
        val table = burnTable(report)
        assertTrue(Regex("generate +target-lost +1 +100.0%").containsMatchIn(table), table)
        val page = burnPage(report, history)
        assertTrue("ejected &lt;script&gt; &amp; co" in page)
        val plots = Regex("<svg.*?</svg>").findAll(page).map { it.value }.toList()
        assertEquals(2, plots.size)
        val parser = DocumentBuilderFactory.newInstance().newDocumentBuilder()
        plots.forEach { parser.parse(it.byteInputStream()) }
    }
}
