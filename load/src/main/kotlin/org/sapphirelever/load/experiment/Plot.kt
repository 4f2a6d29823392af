/*
 * Bar charts as SVG.
 */
package org.sapphirelever.load.experiment

import java.util.Locale

private const val WIDTH = 640
private const val ROW_HEIGHT = 22
private const val LABEL_WIDTH = 230
private const val MAXIMUM_BAR_LENGTH = 320
private const val TOP_MARGIN = 40
private const val TEXT_BASELINE_OFFSET = 15
private const val BAR_HEIGHT = 16
private const val GAP = 6

/** Bar chart of the plotted figure of [experiment], with a line at its bound if it has one. */
internal fun plot(experiment: Experiment, rows: List<ExperimentRow>): String {
    val values = rows.map { it.figures.getValue(experiment.plotted) }
    val bound = experiment.bounds.firstOrNull { it.figure == experiment.plotted }?.value
    val maximum = maxOf(values.max(), bound ?: 0.0, Double.MIN_VALUE)
    val height = TOP_MARGIN + rows.size * ROW_HEIGHT + GAP
    val svg = StringBuilder()
    svg.append("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"$WIDTH\" height=\"$height\" ")
    svg.append("font-family=\"sans-serif\" font-size=\"12\">\n")
    svg.append(
        "<text x=\"$GAP\" y=\"$ROW_HEIGHT\">${experiment.name}: ${experiment.plotted}</text>\n"
    )
    rows.zip(values).forEachIndexed { index, (row, value) ->
        svg.append(bar(row, value, maximum, TOP_MARGIN + index * ROW_HEIGHT))
    }
    if (bound != null) {
        val x = LABEL_WIDTH + (bound / maximum * MAXIMUM_BAR_LENGTH).toInt()
        svg.append(
            "<line x1=\"$x\" x2=\"$x\" y1=\"$TOP_MARGIN\" y2=\"$height\" stroke=\"#c00\"/>\n"
        )
    }
    return svg.append("</svg>\n").toString()
}

private fun bar(row: ExperimentRow, value: Double, maximum: Double, y: Int): String {
    val length = (value / maximum * MAXIMUM_BAR_LENGTH).toInt()
    val colour = if (row.approach == CHOSEN_APPROACH.name) "#26a" else "#999"
    val textY = y + TEXT_BASELINE_OFFSET
    val valueText = String.format(Locale.ROOT, "%.3f", value)
    val valueX = LABEL_WIDTH + length + GAP
    return "<text x=\"$GAP\" y=\"$textY\">${row.deployment} ${row.approach}</text>\n" +
        "<rect x=\"$LABEL_WIDTH\" y=\"$y\" width=\"$length\" height=\"$BAR_HEIGHT\" " +
        "fill=\"$colour\"/>\n<text x=\"$valueX\" y=\"$textY\">$valueText</text>\n"
}
