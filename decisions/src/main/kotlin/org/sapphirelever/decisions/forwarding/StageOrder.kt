/*
 * Order of the stages of a request. A stage starts as late as the longest chain of stages permits,
 * so that results wait for each other, and take room, no longer than needed.
 */
package org.sapphirelever.decisions.forwarding

import org.sapphirelever.core.forwarding.RouteStage

/**
 * For each stage, the indices of the stages that end before it starts: those whose results it
 * takes, and those that are followed by a longer chain. Stages with a count of 0 are left out.
 */
public fun stagePredecessors(stages: List<RouteStage>, counts: List<Int>): List<Set<Int>> {
    val used = stages.indices.filter { counts.getOrElse(it) { 0 } > 0 }.toSet()
    val heights = chainLengths(stages)
    return stages.mapIndexed { index, stage ->
        val earlier = used.filter { heights[it] > heights[index] }
        stage.after.toSet() + earlier
    }
}

/** Number of stages in the longest chain that starts with each stage. */
private fun chainLengths(stages: List<RouteStage>): List<Int> {
    val lengths = MutableList(stages.size) { 1 }
    for (index in stages.indices.reversed()) {
        stages[index].after.filter { it in 0 until index }.forEach { before ->
            lengths[before] = maxOf(lengths[before], lengths[index] + 1)
        }
    }
    return lengths
}
