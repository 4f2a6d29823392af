/*
 * Report on the consumption of the error budget, as text and as an HTML page with SVG plots.
 */
package org.sapphirelever.load.report

import java.util.Locale
import org.sapphirelever.decisions.burn.BurnHistory
import org.sapphirelever.decisions.burn.BurnReport
import org.sapphirelever.decisions.burn.MinuteCounts
import org.sapphirelever.decisions.burn.WindowBurn

/** Formats [report] for a terminal. */
public fun burnTable(report: BurnReport): String = buildString {
    appendLine("objective %s of requests complete in time".format(percent(report.objective.share)))
    appendLine("error budget left over 6 h: %s".format(percent(report.budgetLeft)))
    appendLine("%-10s %10s %10s %10s".format("window", "requests", "missed", "burn rate"))
    report.windows.forEach { appendLine(it.line()) }
    appendLine("%-24s %-24s %8s %8s".format("spent by stage", "cause", "missed", "share"))
    report.causes.forEach {
        val stage = it.cause.stage.ifEmpty { "-" }
        val share = percent(it.share)
        appendLine("%-24s %-24s %8d %8s".format(stage, it.cause.code, it.missed, share))
    }
    if (report.decisions.isNotEmpty()) appendLine("decisions")
    report.decisions.forEach { appendLine("  ${it.minute} min ${it.source}: ${it.what}") }
}

/** Formats [report] as an HTML page with plots of [history], whose minute 0 is the current one. */
public fun burnPage(report: BurnReport, history: BurnHistory): String = buildString {
    appendLine("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">")
    appendLine("<title>Service-level burn</title><style>")
    appendLine("body{font-family:sans-serif;max-width:60em;margin:2em auto}")
    appendLine("td,th{text-align:left;padding:0 1em 0 0}svg{background:#f4f4f4}")
    appendLine("</style></head><body><h1>Service-level burn</h1>")
    appendLine("<pre>${escape(burnTable(report))}</pre>")
    appendLine("<h2>Requests per minute, last 6 h</h2>")
    appendLine(plot(history.minutes) { it.total.toDouble() })
    appendLine("<h2>Missed requests per minute, last 6 h</h2>")
    appendLine(plot(history.minutes) { it.missedTotal.toDouble() })
    appendLine("</body></html>")
}

private fun WindowBurn.line(): String =
    "%-10s %10d %10d %10.2f".format(Locale.ROOT, length.toString(), total, missed, rate)

private fun percent(share: Double): String = "%.1f%%".format(Locale.ROOT, share * PERCENT)

private fun plot(minutes: List<MinuteCounts>, value: (MinuteCounts) -> Double): String {
    val maximum = maxOf(1.0, minutes.maxOfOrNull(value) ?: 0.0)
    return buildString {
        append("<svg width=\"$WIDTH\" height=\"$HEIGHT\" role=\"img\">")
        minutes.filter { it.minute > -BurnHistory.KEPT_MINUTES }.forEach { counts ->
            val x = WIDTH + (counts.minute - 1) * BAR_WIDTH
            val height = value(counts) / maximum * PLOT_HEIGHT
            val y = HEIGHT - height
            append("<rect x=\"$x\" y=\"${decimal(y)}\" width=\"$BAR_WIDTH\" ")
            append("height=\"${decimal(height)}\" fill=\"#36c\"/>")
        }
        append("<text x=\"4\" y=\"14\">greatest: ${decimal(maximum)}</text></svg>")
    }
}

private fun decimal(value: Double): String = "%.1f".format(Locale.ROOT, value)

private fun escape(text: String): String =
    text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;")

private const val PERCENT = 100

/** Width of the bar of one minute, in pixels. */
private const val BAR_WIDTH = 2L
private const val WIDTH = BurnHistory.KEPT_MINUTES * BAR_WIDTH
private const val HEIGHT = 160
private const val PLOT_HEIGHT = 140
