/*
 * Bar charts as SVG.
 */
package org.sapphirelever.load.experiment

import java.util.Locale

private const val WIDTH = 640
private const val ROW = 22
private const val LABEL = 230
private const val BARS = 320
private const val TOP = 40
private const val BASELINE_SHIFT = 15
private const val BAR_HEIGHT = 16
private const val GAP = 6

/** A bar chart of the plotted figure of [experiment], with a line at its bound if it has one. */
internal fun plot(experiment: Experiment, rows: List<ExperimentRow>): String {
    val values = rows.map { it.figures.getValue(experiment.plotted) }
    val bound = experiment.bounds.firstOrNull { it.figure == experiment.plotted }?.value
    val greatest = maxOf(values.max(), bound ?: 0.0, Double.MIN_VALUE)
    val height = TOP + rows.size * ROW + GAP
    val svg = StringBuilder()
    svg.append("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"$WIDTH\" height=\"$height\" ")
    svg.append("font-family=\"sans-serif\" font-size=\"12\">\n")
    svg.append("<text x=\"$GAP\" y=\"$ROW\">${experiment.name}: ${experiment.plotted}</text>\n")
    rows.zip(values).forEachIndexed { index, (row, value) ->
        svg.append(bar(row, value, greatest, TOP + index * ROW))
    }
    if (bound != null) {
        val x = LABEL + (bound / greatest * BARS).toInt()
        svg.append("<line x1=\"$x\" x2=\"$x\" y1=\"$TOP\" y2=\"$height\" stroke=\"#c00\"/>\n")
    }
    return svg.append("</svg>\n").toString()
}

private fun bar(row: ExperimentRow, value: Double, greatest: Double, y: Int): String {
    val length = (value / greatest * BARS).toInt()
    val colour = if (row.approach == CHOSEN.name) "#26a" else "#999"
    val text = y + BASELINE_SHIFT
    val number = String.format(Locale.ROOT, "%.3f", value)
    val end = LABEL + length + GAP
    return "<text x=\"$GAP\" y=\"$text\">${row.deployment} ${row.approach}</text>\n" +
        "<rect x=\"$LABEL\" y=\"$y\" width=\"$length\" height=\"$BAR_HEIGHT\" " +
        "fill=\"$colour\"/>\n<text x=\"$end\" y=\"$text\">$number</text>\n"
}
