/*
 * Results of a set of experiments, as a table and as JSON.
 */
package org.sapphirelever.load.experiment

import java.util.Locale
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Figures of one approach on one deployment; [missed] names those outside their bounds. */
@Serializable
public data class ExperimentRow(
    public val experiment: String,
    public val deployment: String,
    public val approach: String,
    public val figures: Map<String, Double>,
    public val missed: List<String> = emptyList()
)

/** Results of a set of experiments that ran with [seed]. */
@Serializable
public data class ExperimentReport(public val seed: Long, public val rows: List<ExperimentRow>) {
    /** The rows of [CHOSEN_APPROACH] with a figure outside its bound. */
    public val missed: List<ExperimentRow>
        get() = rows.filter { it.approach == CHOSEN_APPROACH.name && it.missed.isNotEmpty() }

    public fun toJson(): String = JSON.encodeToString(serializer(), this)

    /** Formats one Markdown table per experiment. */
    public fun table(): String = rows.groupBy { it.experiment }
        .map { (name, rows) -> table(name, rows) }
        .joinToString("\n")

    private fun table(name: String, rows: List<ExperimentRow>): String {
        val figures = rows.first().figures.keys.toList()
        val headings = listOf("deployment", "policy") + figures + "missed"
        val lines = rows.map { row ->
            val values = figures.map { format(row.figures.getValue(it)) }
            listOf(row.deployment, row.approach) + values + row.missed.joinToString()
        }
        val separator = headings.map { "---" }
        return "### $name\n\n" +
            (listOf(headings, separator) + lines).joinToString("") {
                "| ${it.joinToString(" | ")} |\n"
            }
    }

    private fun format(value: Double): String = String.format(Locale.ROOT, "%.3f", value)

    private companion object {
        val JSON = Json { prettyPrint = true }
    }
}
