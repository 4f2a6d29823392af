/*
 * Points in the history of the store.
 */
package org.sapphirelever.decisions.forwarding

/**
 * A revision of the store within one of its eras. An era begins when the store returns from an
 * older copy; it then gives revisions out again, so that only era and revision together have an
 * order.
 */
public data class StorePosition(public val era: Long, public val revision: Long) :
    Comparable<StorePosition> {
    override fun compareTo(other: StorePosition): Int =
        compareValuesBy(this, other, { it.era }, { it.revision })

    override fun toString(): String = "$era/$revision"

    public companion object {
        /** Before everything that a store states. */
        public val START: StorePosition = StorePosition(0, 0)
    }
}
