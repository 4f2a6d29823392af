/*
 * Holder of one immutable state that several tasks share. Each cell has one owner, which updates it
 * with pure decision functions.
 */
package org.sapphirelever.runtime

import kotlinx.collections.immutable.PersistentList
import org.sapphirelever.decisions.Decision

/** Holds a state of type [S]. Decisions run under a lock and must neither block nor suspend. */
public class StateCell<S>(initial: S) {
    private val lock: Any = Any()

    @Volatile
    private var current: S = initial

    /** Current state, an immutable value that can be replaced at any time. */
    public val value: S get() = current

    /** Applies [decision] to the state and returns its actions. */
    public fun <A> decide(decision: (S) -> Decision<S, A>): PersistentList<A> = synchronized(lock) {
        val decided = decision(current)
        current = decided.state
        decided.actions
    }

    /** Replaces the state by the result of [change] and returns the new state. */
    public fun update(change: (S) -> S): S = synchronized(lock) {
        current = change(current)
        current
    }
}
