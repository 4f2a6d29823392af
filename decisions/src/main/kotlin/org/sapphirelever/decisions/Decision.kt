/*
 * Shape of every decision: a pure function from a state and an event to a new state and typed
 * actions. The runtime carries the actions out; tests compare them.
 */
package org.sapphirelever.decisions

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** New [state] and the [actions] that the caller of the decision carries out, in order. */
public data class Decision<out S, out A>(
    public val state: S,
    public val actions: PersistentList<A> = persistentListOf()
)

/** A decision that keeps this value as its state, with [actions]. */
public fun <S, A> S.decide(vararg actions: A): Decision<S, A> =
    Decision(this, persistentListOf(*actions))
