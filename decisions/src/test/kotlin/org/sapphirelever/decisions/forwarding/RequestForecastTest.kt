/*
 * Forecast of requests from waits and from work on its way, and the return of refused callers.
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
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.forwarding.BatchLimits
import org.sapphirelever.core.forwarding.RouteStage

class RequestForecastTest {
    private val limits = BatchLimits(1, 2, 10, 200.milliseconds, 10.milliseconds, 0, 4.seconds)
    private val encode = ServiceName("encode")
    private val rank = ServiceName("rank")
    private val image = ServiceName("image")

    /** The image stage runs beside the last stage of the chain. */
    private val stages =
        listOf(
            RouteStage(image),
            RouteStage(encode),
            RouteStage(rank, persistentListOf(1)),
            RouteStage(encode, persistentListOf(2))
        )

    private data class LaterCase(
        val counts: List<Int>,
        val pieces: List<Map<ServiceName, Int>>,
        val laterMillis: List<Int>
    )

    /** Guards against work that is announced twice or not at all. */
    private val laterCases =
        listOf(
            LaterCase(
                listOf(2, 1, 4, 3),
                listOf(
                    emptyMap(),
                    mapOf(rank to 4, image to 2, encode to 3),
                    mapOf(image to 2, encode to 3),
                    emptyMap()
                ),
                listOf(0, 270 + 260, 260, 0)
            ),
            LaterCase(
                listOf(0, 1, 0, 3),
                listOf(emptyMap(), mapOf(encode to 3), emptyMap(), emptyMap()),
                listOf(0, 260, 260, 0)
            ),
            LaterCase(
                listOf(2, 0, 0, 0),
                listOf(emptyMap(), emptyMap(), emptyMap(), emptyMap()),
                listOf(0, 0, 0, 0)
            )
        )

    @Test
    fun `each later stage is announced by one earlier stage`() {
        laterCases.forEach { case ->
            assertEquals(
                case.pieces,
                stages.indices.map { laterPieces(stages, case.counts, it) },
                "${case.counts}"
            )
            assertEquals(
                case.laterMillis.map { it.milliseconds },
                expectedLaterTimes(stages, case.counts) { limits },
                "${case.counts}"
            )
        }
    }

    private data class BacklogCase(
        val name: String,
        val estimate: WaitEstimate?,
        val announced: AnnouncedWork,
        val expected: Duration,
        val postponed: Duration
    )

    private val announced =
        AnnouncedWork(at = at(0))
            .adjusted(encode, 0, 10)
            .adjusted(encode, 1, 20)
            .adjusted(encode, 2, 40)
    private val estimate =
        WaitEstimate(
            persistentMapOf(0 to 100.milliseconds, 1 to 200.milliseconds),
            at(0),
            persistentMapOf(0 to 150.milliseconds, 1 to 400.milliseconds),
            piecesPerMilli = 0.1
        )
    private val out = WaitEstimate(at = at(-600), waits = estimate.waits, piecesPerMilli = 0.1)

    /** Guards against admission that does not see requests in their earlier stages. */
    private val backlogCases =
        listOf(
            BacklogCase(
                "waits and work on its way, at the reported rate",
                estimate,
                announced,
                500.milliseconds,
                700.milliseconds
            ),
            BacklogCase(
                "nothing waits, at the permitted rate",
                null,
                announced,
                150.milliseconds,
                150.milliseconds
            ),
            BacklogCase(
                "reports out of date",
                out,
                announced.copy(at = at(-600)),
                Duration.ZERO,
                Duration.ZERO
            ),
            BacklogCase(
                "withdrawn work",
                null,
                announced.adjusted(encode, 0, -10).adjusted(encode, 1, -20),
                Duration.ZERO,
                Duration.ZERO
            )
        )

    @Test
    fun `the backlog holds what waits and what is on its way with the same rank`() {
        backlogCases.forEach { case ->
            val backlog = ServiceBacklog(encode, case.estimate, listOf(case.announced), 0.2)
            assertEquals(case.expected, backlog.expected(1, at(0)), case.name)
            assertEquals(case.postponed, backlog.postponed(1, at(0)), case.name)
        }
    }

    /** Guards against requests on time that are refused for requests that wait behind them. */
    @Test
    fun `pieces of requests that cannot be on time do not delay others of their rank`() {
        val pieces =
            List(30) { number ->
                val softDeadline = if (number < 20) at(100) else at(2_000)
                WaitingPiece(number.toLong(), "request-$number", 1, at(5_000), softDeadline)
            }
        val context =
            PieceContext(encode, limits, listOf(target("a")), emptyMap(), 1, "entry-1", at(0))
        val waits = PieceQueue(waiting = pieces.toPersistentList()).waitEstimate(context)
        val expected = listOf(0, 300, 900).map { it.milliseconds }
        assertEquals(
            expected,
            listOf(
                waits.expectedWait(0, at(0)),
                waits.expectedWait(1, at(0)),
                waits.expectedWait(2, at(0))
            )
        )
    }

    private data class Refusal(val rank: Int, val excessMillis: Int, val delayMillis: Int)

    /** Guards against refused callers that all return at the same time and are refused again. */
    private val refusals =
        listOf(
            Refusal(rank = 1, excessMillis = 500, delayMillis = 500),
            Refusal(rank = 1, excessMillis = 500, delayMillis = 600),
            Refusal(rank = 0, excessMillis = 400, delayMillis = 400),
            Refusal(rank = 2, excessMillis = 500, delayMillis = 700),
            Refusal(rank = 0, excessMillis = 10, delayMillis = 500),
            Refusal(rank = 2, excessMillis = 5_000, delayMillis = 2_000)
        )

    @Test
    fun `refused callers return one after the other, more urgent ones first`() {
        refusals.fold(ReturnLine()) { line, refusal ->
            val excess = refusal.excessMillis.milliseconds
            val caller = RefusedCaller(refusal.rank, excess, 100.milliseconds, 2.seconds)
            val (next, delay) = line.promise(caller, MonotonicTime.ZERO)
            assertEquals(refusal.delayMillis.milliseconds, delay, "$refusal")
            next
        }
    }
}
