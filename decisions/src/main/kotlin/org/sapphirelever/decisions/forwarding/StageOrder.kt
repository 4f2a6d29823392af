/*
 * Order of the stages of a request. A stage starts as late as the longest chain of stages permits,
 * so that its results occupy capacity for no longer than needed.
 */
package org.sapphirelever.decisions.forwarding

import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.forwarding.RouteStage

/**
 * For each stage, the indices of the stages that must end before it starts: those whose results it
 * takes, and those with a count above 0 that start a longer chain.
 */
public fun stagePredecessors(stages: List<RouteStage>, counts: List<Int>): List<Set<Int>> {
    val used = stages.indices.filter { counts.getOrElse(it) { 0 } > 0 }.toSet()
    val lengths = chainLengths(stages)
    return stages.mapIndexed { index, stage ->
        val longer = used.filter { lengths[it] > lengths[index] }
        stage.after.toSet() + longer
    }
}

/**
 * Pieces that follow at each service after the stage at [index]. Of the stages that a later one
 * waits for at the same time, the first announces its pieces, so that they count once.
 */
public fun laterPieces(
    stages: List<RouteStage>,
    counts: List<Int>,
    index: Int
): Map<ServiceName, Int> {
    val predecessors = stagePredecessors(stages, counts)
    fun allBefore(later: Int): Set<Int> = predecessors[later].flatMap { allBefore(it) + it }.toSet()
    return stages.indices
        .filter { later ->
            val before = allBefore(later).filter { counts.getOrElse(it) { 0 } > 0 }
            before.filter { predecessors.depth(it) == predecessors.depth(index) }.minOrNull() ==
                index
        }.groupBy { stages[it].service }
        .mapValues { (_, later) -> later.sumOf { counts.getOrElse(it) { 0 } } }
        .filterValues { it > 0 }
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
