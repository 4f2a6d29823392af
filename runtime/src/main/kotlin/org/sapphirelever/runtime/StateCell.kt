/*
 * Holder of one immutable state that several tasks share. Each cell has one owner, which passes
 * it pure decisions.
 */
package org.sapphirelever.runtime

import kotlinx.collections.immutable.PersistentList
import org.sapphirelever.decisions.Decision

/**
 * Holds a state of type [S]. Decisions run under a short lock and must neither block nor suspend.
 */
public class StateCell<S>(initial: S) {
    private val lock: Any = Any()

    @Volatile
    private var current: S = initial

    /** The state now; it can be replaced at any moment, but not changed. */
    public val value: S get() = current

    /** Applies [decision] to the state and returns its actions. */
    public fun <A> decide(decision: (S) -> Decision<S, A>): PersistentList<A> = synchronized(lock) {
        val decided = decision(current)
        current = decided.state
        decided.actions
    }

    /** Replaces the state by [change] of it and returns the new state. */
    public fun update(change: (S) -> S): S = synchronized(lock) {
        current = change(current)
        current
    }
}
