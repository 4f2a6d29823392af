/*
 * Writes the page of the fault matrix. Scripts read its texts.
 */
package org.sapphirelever.faults

/** Page that reports [results] of a run with [seed]. */
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
    appendLine("A cell passes only if the step was reached and something met its faults.")
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
    UNPROVED_BEHAVIOUR.forEach { appendLine("- $it") }
    results.forEach { (cell, result) ->
        if (result is CellResult.NotProved) appendLine("- $cell: ${result.reason}.")
    }
}

/** Behaviour that no cell proves. The "world" in these texts is the [Simulation]. */
private val UNPROVED_BEHAVIOUR = listOf(
    "Sockets, HTTP and the stream protocol: the target client of the world replaces them.",
    "Membership, peer links and the reader lease: the world itself carries marks, documents " +
        "and reports of leaving targets every 2 s, so the 10 s of R7 and the 3 s of R5 are " +
        "shown for the decisions and not for the links.",
    "R7 is checked 90 s after the end of the victim's request, not within 10 s of each write.",
    "F2 and F11: the timers of a paused process run on; only its calls stand still.",
    "F15: the requests carry no prefix, so cache news cannot change the choice of a target.",
    "F19: a throttled weight store is an engine that loads for 60 s.",
    "Truncated streams have no fault of their own in the fault model and no cell."
)

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
