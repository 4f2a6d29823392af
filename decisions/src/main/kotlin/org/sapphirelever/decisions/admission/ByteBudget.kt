/*
 * Budget of the memory that the messages of other parties may occupy in a process. It bounds their
 * sum, which the limits of single messages do not.
 */
package org.sapphirelever.decisions.admission

import kotlinx.collections.immutable.persistentListOf
import org.sapphirelever.decisions.Decision
import org.sapphirelever.decisions.decide

/** A budget of [capacity] bytes, of which [held] are taken. */
public data class ByteBudget(public val capacity: Long, public val held: Long = 0) {
    /**
     * Changes a holding from [before] to [after] bytes; no action if all holdings would then exceed
     * [share] of the budget.
     */
    public fun resized(before: Long, after: Long, share: Double = 1.0): Decision<ByteBudget, Unit> {
        val changed = held - before + after
        if (after > before && changed > capacity * share) return decide()
        return Decision(copy(held = changed), persistentListOf(Unit))
    }
}
