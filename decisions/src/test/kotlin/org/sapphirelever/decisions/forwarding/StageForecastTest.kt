/*
 * Estimates of stage work, and refusal of requests that cannot be answered in time.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.BatchLimits
import org.sapphirelever.core.forwarding.RouteStage

class StageForecastTest {
    private val limits = BatchLimits(1, 2, 10, 200.milliseconds, 10.milliseconds, 0, 4.seconds)
    private val chain =
        listOf(
            RouteStage(ServiceName("encode")),
            RouteStage(ServiceName("rank"), persistentListOf(0)),
            RouteStage(ServiceName("image"))
        )

    private data class TimeCase(
        val name: String,
        val counts: List<Int>,
        val waits: Map<String, Int>,
        val expectedMillis: Int
    )

    /** Guards against starting requests whose later stages cannot end in time. */
    private val times =
        listOf(
            TimeCase("two stages in sequence", listOf(1, 4, 0), emptyMap(), 210 + 240),
            TimeCase("no pieces", listOf(0, 0, 0), emptyMap(), 0),
            TimeCase(
                "a backlog of the second stage that outlasts the first, and full batches there",
                listOf(1, 4, 0),
                mapOf("rank" to 500),
                500 + 300
            ),
            TimeCase(
                "a backlog of the second stage that ends during the first",
                listOf(1, 4, 0),
                mapOf("rank" to 150),
                210 + 300
            ),
            TimeCase(
                "the longest of parallel stages counts",
                listOf(1, 4, 2),
                mapOf("image" to 900),
                900 + 300
            )
        )

    @Test
    fun `calls add up along the longest chain and start after backlogs`() {
        times.forEach { case ->
            val time =
                expectedStageTime(
                    chain,
                    case.counts,
                    { limits },
                    { (case.waits[it.value] ?: 0).milliseconds }
                )
            assertEquals(case.expectedMillis.milliseconds, time, case.name)
        }
    }

    private data class StartCase(
        val name: String,
        val idleMillis: Int,
        val expectedMillis: Int,
        val postponedMillis: Int,
        val excessMillis: Int?
    )

    /** Guards against work for answers that come too late, and against unnecessary refusals. */
    private val starts =
        listOf(
            StartCase("in time", 900, 1_900, 9_000, null),
            StartCase("late, and many wait", 900, 2_300, 2_300, 300),
            StartCase("late, but capacity is left behind the others", 900, 2_100, 1_900, null),
            StartCase("after the deadline", 900, 4_500, 1_900, 500),
            StartCase("never in time, but nothing waits", 2_500, 2_500, 2_500, null),
            StartCase("never in time, little waits", 2_500, 2_800, 2_800, null),
            StartCase("never in time, and much waits", 2_500, 3_100, 3_100, 200)
        )

    @Test
    fun `a request starts only if it can be answered in time`() {
        starts.forEach { case ->
            val estimate =
                ResponseEstimate(
                    objective = 2_000.milliseconds,
                    patience = 4_000.milliseconds,
                    idle = case.idleMillis.milliseconds,
                    expected = case.expectedMillis.milliseconds,
                    postponed = case.postponedMillis.milliseconds
                )
            assertEquals(case.excessMillis?.milliseconds, estimate.excess(), case.name)
        }
    }

    private data class WaitCase(
        val name: String,
        val queue: PieceQueue,
        val rank: Int,
        val now: Long,
        val expected: Duration
    )

    private fun waiting(vararg ranks: Int): PieceQueue = PieceQueue(
        waiting =
            ranks
                .mapIndexed { index, rank ->
                    WaitingPiece(index.toLong(), "request-$index", rank, at(9_000))
                }.toPersistentList()
    )

    private val thirtyRanks = IntArray(30) { it / 20 }
    private val busy =
        waiting(*thirtyRanks).copy(
            waitingSince = at(0),
            completed = persistentListOf(CompletedPieces(at(1_500), 10)),
            inFlight = persistentMapOf(TargetId("a") to 1)
        )

    /** Guards against estimates that ignore rank or slow targets. */
    private val waits =
        listOf(
            WaitCase("more urgent pieces only", waiting(*thirtyRanks), 0, 0, 600.milliseconds),
            WaitCase("all pieces before it", waiting(*thirtyRanks), 1, 0, 900.milliseconds),
            WaitCase("measured rate", busy, 0, 2_000, 2_000.milliseconds),
            WaitCase(
                "not busy for long enough to measure the rate",
                busy,
                0,
                500,
                600.milliseconds
            ),
            WaitCase("out of date", waiting(*thirtyRanks), 0, -1, Duration.ZERO)
        )

    @Test
    fun `pieces wait as long as the pieces ahead of them take`() {
        waits.forEach { case ->
            val now = at(case.now.coerceAtLeast(0))
            val context =
                PieceContext(
                    ServiceName("encode"),
                    limits,
                    listOf(target("a")),
                    emptyMap(),
                    1,
                    "entry-1",
                    now
                )
            val readAt = if (case.now < 0) at(5_000) else now
            assertEquals(
                case.expected,
                case.queue.waitEstimate(context).expectedWait(case.rank, readAt),
                case.name
            )
        }
    }
}
