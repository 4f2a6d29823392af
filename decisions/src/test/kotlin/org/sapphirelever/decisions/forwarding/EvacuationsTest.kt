/*
 * Evacuations after changes, listings and reports of other hosts in any order.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import org.sapphirelever.core.DataCentre

class EvacuationsTest {
    private data class Case(
        val name: String,
        val evacuations: Evacuations,
        val emptied: Set<DataCentre>,
        val takenBack: Set<DataCentre> = emptySet()
    )

    private val none = Evacuations()
    private val krakow = none.emptied(KRAKOW, 5)

    /** Guards against requests to an emptied data centre, and against one that stays emptied. */
    private val cases =
        listOf(
            Case("none", none, emptySet()),
            Case("one", krakow, setOf(KRAKOW)),
            Case("all", krakow.emptied(TARNOW, 6), setOf(KRAKOW, TARNOW)),
            Case("unknown name", none.emptied(DataCentre("x"), 5), setOf(DataCentre("x"))),
            Case("taken back", krakow.takenBack(KRAKOW, 6), emptySet(), setOf(KRAKOW)),
            Case("only the removal", none.takenBack(KRAKOW, 6), emptySet(), setOf(KRAKOW)),
            Case("removal before the change", krakow.takenBack(KRAKOW, 4), setOf(KRAKOW)),
            Case(
                "change repeated",
                krakow.takenBack(KRAKOW, 6).emptied(KRAKOW, 5),
                emptySet(),
                setOf(KRAKOW)
            ),
            Case("emptied again", krakow.takenBack(KRAKOW, 6).emptied(KRAKOW, 7), setOf(KRAKOW)),
            Case("listed", none.listed(mapOf(KRAKOW to 5L), position(9), at(0)), setOf(KRAKOW)),
            Case(
                "listing without it",
                krakow.listed(emptyMap(), position(9), at(0)),
                emptySet(),
                setOf(KRAKOW)
            ),
            Case("listing before it", krakow.listed(emptyMap(), position(4), at(0)), setOf(KRAKOW)),
            Case("from a peer", none.received(KRAKOW, true, position(5), at(0)), setOf(KRAKOW)),
            Case(
                "taken back at a peer",
                krakow.received(KRAKOW, false, position(6), at(0)),
                emptySet(),
                setOf(KRAKOW)
            ),
            Case(
                "from a peer that missed the removal",
                none.read(position(6)).received(KRAKOW, true, position(5), at(0)),
                emptySet()
            ),
            Case(
                "mistaken names",
                (1..900).fold(krakow) { all, number ->
                    val name = DataCentre("x-$number")
                    all.emptied(name, number * 10L).takenBack(name, number * 10L + 1)
                }.onlyEmptied(),
                setOf(KRAKOW)
            )
        )

    @Test
    fun `the change with the greatest revision holds`() {
        cases.forEach { case ->
            val states = case.evacuations.states
            assertEquals(case.emptied, case.evacuations.emptied.keys, case.name)
            assertEquals(case.takenBack, states.keys - case.emptied, case.name)
        }
    }

    private fun Evacuations.emptied(dataCentre: DataCentre, revision: Long): Evacuations =
        changed(dataCentre, true, position(revision), at(0))

    private fun Evacuations.takenBack(dataCentre: DataCentre, revision: Long): Evacuations =
        changed(dataCentre, false, position(revision), at(0))

    /** Drops what was taken back, after a check that its number is bounded. */
    private fun Evacuations.onlyEmptied(): Evacuations {
        assertEquals(256, states.size)
        return (states.keys - emptied.keys).fold(this) { all, name ->
            all.copy(states = all.states.remove(name))
        }
    }
}
