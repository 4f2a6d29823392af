/*
 * Page of the fault matrix.
 */
package org.sapphirelever.faults

/** The page for [results], which were found with [seed]. */
public fun matrixReport(results: Map<Cell, CellResult>, seed: Int): String = buildString {
    val passed = results.count { it.value is CellResult.Pass }
    val failed = results.count { it.value is CellResult.Fail }
    val open = results.size - passed - failed
    appendLine("# Fault matrix")
    appendLine()
    appendLine("`bin/fault-matrix` writes the cells of this page. Seed $seed, virtual time.")
    appendLine("Cells: ${results.size}, passed $passed, failed $failed, not proved $open.")
    appendLine("Each letter pair is the streaming pipeline, then the keyed one:")
    appendLine("`p` pass, `F` fail, `-` not proved. Every cell checks R1 to R8.")
    appendLine()
    appendLine("| fault | ${Step.entries.joinToString(" | ") { it.title }} |")
    appendLine("|---|${Step.entries.joinToString("") { "---|" }}")
    results.keys.map { it.faults }.distinct().forEach { appendLine(row(it, results)) }
    appendLine()
    appendLine("## Checks of each fault")
    appendLine()
    Fault.entries.forEach { appendLine("- ${it.name} ${it.title}: ${it.check}.") }
    appendLine()
    appendLine("## Not proved")
    appendLine()
    results.forEach { (cell, result) ->
        if (result is CellResult.NotProved) appendLine("- $cell: ${result.reason}.")
    }
}

private fun row(faults: List<Fault>, results: Map<Cell, CellResult>): String {
    val marks = Step.entries.map { step ->
        PipelineKind.entries.joinToString("") { mark(results[Cell(faults, step, it)]) }
    }
    return "| ${faults.joinToString("+")} | ${marks.joinToString(" | ")} |"
}

private fun mark(result: CellResult?): String = when (result) {
    CellResult.Pass -> "p"
    is CellResult.Fail -> "F"
    is CellResult.NotProved, null -> "-"
}
