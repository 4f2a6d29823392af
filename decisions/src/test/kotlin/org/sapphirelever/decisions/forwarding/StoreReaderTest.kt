/*
 * Choice of the host that reads the store for a data centre.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.HostId
import org.sapphirelever.core.forwarding.HostAnnouncement

class StoreReaderTest {
    private fun announced(capacity: Int, dataCentre: DataCentre?) =
        HostAnnouncement(Endpoint("127.0.0.1", 1), capacity, dataCentre)

    private val hosts =
        mapOf(
            HostId("entry-1") to announced(100, KRAKOW),
            HostId("entry-2") to announced(100, KRAKOW),
            HostId("entry-3") to announced(36, KRAKOW),
            HostId("other") to announced(100, TARNOW),
            HostId("earlier-version") to announced(100, null)
        )
    private val order = readerOrder(KRAKOW, hosts)
    private val first = order[0]
    private val second = order[1]
    private val last = order[2]

    /** Guards against a small host as reader, and against one of another data centre. */
    @Test
    fun `the hosts of a data centre read in one order, small ones last`() {
        assertEquals(HostId("entry-3"), last)
        assertEquals(setOf("entry-1", "entry-2", "entry-3"), order.map { it.value }.toSet())
        assertEquals(order, readerOrder(KRAKOW, hosts.toList().reversed().toMap()))
        assertEquals(order.drop(1), readerOrder(KRAKOW, hosts - first))
    }

    private data class Case(
        val name: String,
        val self: HostId,
        val order: List<HostId>,
        val lostAt: List<Pair<HostId, Long>>,
        val now: Long,
        val source: StoreSource
    )

    /** Guards against a host that stays with a lost reader, or without any source. */
    @Test
    fun `a host follows the first one that it has not lost`() {
        val own = StoreSource.Store(isFollowed = false)
        val reading = StoreSource.Store(isFollowed = true)
        listOf(
            Case("reader", first, order, emptyList(), 0, reading),
            Case("follower", second, order, emptyList(), 0, StoreSource.Peer(first)),
            Case("two hosts", last, order.take(2), emptyList(), 0, own),
            Case("reader lost", last, order, listOf(first to 0L), 900, StoreSource.Peer(second)),
            Case("next reader", second, order, listOf(first to 0L), 900, reading),
            Case("tried again", last, order, listOf(first to 0L), 1_100, StoreSource.Peer(first)),
            Case(
                "lost again",
                last,
                order,
                listOf(first to 0L, first to 1_200L),
                3_000,
                StoreSource.Peer(second)
            ),
            Case("all lost", last, order, order.map { it to 0L }, 900, own),
            Case(
                "reader cut from the store",
                first,
                order,
                listOf(first to 0L),
                900,
                StoreSource.Peer(second)
            )
        ).forEach { case ->
            val lost = case.lostAt.fold(LostReaders()) { all, (host, millis) ->
                all.lost(host, at(millis))
            }
            assertEquals(case.source, lost.source(case.self, case.order, at(case.now)), case.name)
        }
    }
}
