/*
 * Selection of calls for waiting pieces.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.persistentMapOf
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.TargetRecord

class PieceQueueTest {
    private val megabyte = 1_000_000L

    private fun piece(
        number: Long,
        rank: Int = 1,
        softDeadline: Long = 1_000,
        bytes: Long = 0,
        excluded: String? = null,
        origin: DataCentre = KRAKOW,
        inputs: Map<DataCentre, Long> = emptyMap(),
        request: String = "request-$number"
    ): WaitingPiece = WaitingPiece(
        number = number,
        request = request,
        rank = rank,
        deadline = at(5_000),
        softDeadline = at(softDeadline),
        excluded = excluded?.let(::TargetId),
        bytes = bytes,
        origin = origin,
        inputs = inputs.entries.fold(persistentMapOf()) { all, (key, value) -> all.put(key, value) }
    )

    private fun remotePiece(number: Long): WaitingPiece =
        piece(number, inputs = mapOf(TARNOW to megabyte)).copy(localUntil = at(150))

    private data class LocalityCase(
        val name: String,
        val inputBytes: Long,
        val softDeadline: Long,
        val until: MonotonicTime?
    )

    /** Guards against delaying requests that have little time left or small inputs. */
    private val localityCases =
        listOf(
            LocalityCase("large inputs, time left", megabyte, 2_000, at(0) + LOCALITY_WAIT),
            LocalityCase("large inputs, little time left", megabyte, 600, null),
            LocalityCase("small inputs", 1_000, 2_000, null)
        )

    @Test
    fun `pieces wait for a local target only with large inputs and time left`() {
        localityCases.forEach { case ->
            assertEquals(
                case.until,
                localUntil(case.inputBytes, at(case.softDeadline), LIMITS, at(0)),
                case.name
            )
        }
    }

    private fun context(
        targets: List<TargetRecord>,
        views: Map<TargetId, TargetView> = emptyMap(),
        hosts: Int = 1,
        now: MonotonicTime = at(0)
    ): PieceContext = PieceContext(SERVICE, LIMITS, targets, views, hosts, "entry-1", now)

    private data class Case(
        val name: String,
        val pieces: List<WaitingPiece>,
        val context: PieceContext,
        val queue: PieceQueue = PieceQueue(),
        val expected: Map<String, List<Long>>
    )

    private val oneTarget = listOf(target("a"))
    private val twoTargets = listOf(target("a"), target("b", TARNOW))

    /** Guards against small batches, calls beyond slots or capacity, and pieces out of order. */
    private val cases =
        listOf(
            Case(
                "one call holds pieces of several requests up to a batch",
                listOf(piece(1), piece(2), piece(3), piece(4)),
                context(oneTarget),
                expected = mapOf("a" to listOf(1, 2, 3))
            ),
            Case(
                "a target with a call in progress gets no other",
                listOf(piece(1)),
                context(oneTarget),
                PieceQueue(inFlight = persistentMapOf(TargetId("a") to 1)),
                emptyMap()
            ),
            Case(
                "urgent pieces come first, then those with the earliest soft deadline",
                listOf(
                    piece(1, rank = 2),
                    piece(2, softDeadline = 900),
                    piece(3, softDeadline = 800),
                    piece(4)
                ),
                context(oneTarget),
                expected = mapOf("a" to listOf(3, 2, 4))
            ),
            Case(
                "a target without capacity is not called",
                listOf(piece(1, bytes = 500)),
                context(oneTarget),
                PieceQueue(reservedBytes = persistentMapOf(TargetId("a") to 600)),
                emptyMap()
            ),
            Case(
                "a target that reported no capacity is not called during its cooldown",
                listOf(piece(1)),
                context(twoTargets),
                PieceQueue().markedFull(TargetId("a"), at(0)),
                mapOf("b" to listOf(1))
            ),
            Case(
                "a full target is called again after its cooldown",
                listOf(piece(1)),
                context(oneTarget, now = at(400)),
                PieceQueue().markedFull(TargetId("a"), at(0)),
                mapOf("a" to listOf(1))
            ),
            Case(
                "small results pass a large one that exceeds the capacity",
                listOf(piece(1, bytes = 500), piece(2, bytes = 10)),
                context(oneTarget),
                PieceQueue(reservedBytes = persistentMapOf(TargetId("a") to 600)),
                mapOf("a" to listOf(2))
            ),
            Case(
                "a result larger than the capacity gets a call of its own at an empty target",
                listOf(piece(1, bytes = 5_000), piece(2, bytes = 10)),
                context(oneTarget),
                expected = mapOf("a" to listOf(1))
            ),
            Case(
                "the pieces of a request are not split to fill a call",
                listOf(
                    piece(1, softDeadline = 800),
                    piece(2, softDeadline = 900, request = "whole"),
                    piece(3, softDeadline = 900, request = "whole"),
                    piece(4, softDeadline = 900, request = "whole"),
                    piece(5, softDeadline = 950)
                ),
                context(oneTarget),
                expected = mapOf("a" to listOf(1, 5))
            ),
            Case(
                "a request larger than a call is split",
                (1L..4L).map { piece(it, request = "large") },
                context(oneTarget),
                expected = mapOf("a" to listOf(1, 2, 3))
            ),
            Case(
                "a target that failed a piece does not get it again",
                listOf(piece(1, excluded = "a")),
                context(twoTargets),
                expected = mapOf("b" to listOf(1))
            ),
            Case(
                "an unhealthy target is skipped while others are healthy",
                listOf(piece(1)),
                context(
                    twoTargets,
                    mapOf(TargetId("a") to TargetView(failures = 1, failedAt = at(0)))
                ),
                expected = mapOf("b" to listOf(1))
            ),
            Case(
                "a target on probation gets the pieces of only one request",
                listOf(piece(1), piece(2)),
                context(
                    oneTarget,
                    mapOf(TargetId("a") to TargetView(slowedAt = at(0))),
                    now = at(3_000)
                ),
                expected = mapOf("a" to listOf(1))
            ),
            Case(
                "a piece is executed in the data centre of its inputs",
                listOf(piece(1, origin = TARNOW, inputs = mapOf(TARNOW to 3 * megabyte))),
                context(twoTargets),
                expected = mapOf("b" to listOf(1))
            ),
            Case(
                "a piece skips a remote target while it may wait for a local one",
                listOf(remotePiece(1)),
                context(oneTarget),
                expected = emptyMap()
            ),
            Case(
                "a piece takes a remote target after the wait",
                listOf(remotePiece(1)),
                context(oneTarget, now = at(200)),
                expected = mapOf("a" to listOf(1))
            ),
            Case(
                "a piece takes a local target at once",
                listOf(remotePiece(1)),
                context(twoTargets),
                expected = mapOf("b" to listOf(1))
            ),
            Case(
                "an urgent piece takes a remote target that a less urgent one would take",
                listOf(remotePiece(1), piece(2, rank = 2)),
                context(oneTarget),
                expected = mapOf("a" to listOf(1, 2))
            ),
            Case(
                "a piece of a request that cannot be on time and has not begun comes last",
                listOf(piece(1, softDeadline = 100), piece(2), piece(3), piece(4)),
                context(oneTarget),
                expected = mapOf("a" to listOf(2, 3, 4))
            ),
            Case(
                "a late piece of a request that has begun keeps its place",
                listOf(
                    piece(1, softDeadline = 100, inputs = mapOf(KRAKOW to 10L)),
                    piece(2),
                    piece(3),
                    piece(4)
                ),
                context(oneTarget),
                expected = mapOf("a" to listOf(1, 2, 3))
            ),
            Case(
                "an urgent piece comes first even if it is late",
                listOf(piece(1, softDeadline = 100), piece(2, rank = 2)),
                context(oneTarget),
                expected = mapOf("a" to listOf(1, 2))
            ),
            Case(
                "the time of later stages counts for the order",
                listOf(
                    piece(1, softDeadline = 900),
                    piece(2).copy(laterWork = 300.milliseconds),
                    piece(3),
                    piece(4)
                ),
                context(oneTarget),
                expected = mapOf("a" to listOf(2, 1, 3))
            ),
            Case(
                "less urgent pieces do not make a call too long for an urgent request",
                listOf(piece(1, softDeadline = 230), piece(2, rank = 2), piece(3, rank = 2)),
                context(oneTarget),
                expected = mapOf("a" to listOf(1))
            ),
            Case("no target", listOf(piece(1)), context(emptyList()), expected = emptyMap())
        )

    @Test
    fun `calls start as far as slots, capacity and order permit`() {
        cases.forEach { case ->
            val calls = case.queue.add(case.pieces, case.context).actions
            assertEquals(
                case.expected,
                calls.associate {
                    it.target.id.value to it.numbers
                },
                case.name
            )
        }
    }

    @Test
    fun `a call that ends frees its slot and the capacity that it did not use`() {
        val queue = PieceQueue().add(
            listOf(piece(1, bytes = 400), piece(2)),
            context(oneTarget)
        ).state
        assertEquals(400, queue.reservedBytes[TargetId("a")])
        val ended = queue.ended(EndedCall(TargetId("a"), 400, 0), context(oneTarget)).state
        assertEquals(PieceQueue(), ended.copy(completed = PieceQueue().completed))
    }

    @Test
    fun `pieces of requests that ended do not start`() {
        val busy = PieceQueue(inFlight = persistentMapOf(TargetId("a") to 1))
        val waiting = busy.add(listOf(piece(1), piece(2)), context(oneTarget)).state
        val next = waiting.remove(
            setOf(1)
        ).ended(EndedCall(TargetId("a"), 0, 1), context(oneTarget)).actions
        assertEquals(listOf(listOf(2L)), next.map { it.numbers })
    }
}
