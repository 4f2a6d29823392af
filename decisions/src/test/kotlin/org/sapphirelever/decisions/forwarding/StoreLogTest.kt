/*
 * Answers of a host that reads the store to those that follow it.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import org.sapphirelever.decisions.forwarding.LogAnswer.Known
import org.sapphirelever.decisions.forwarding.LogAnswer.Refused

class StoreLogTest {
    private fun call(sentAt: Long, answeredAt: Long, wait: Long = 0, hasChanges: Boolean = false) =
        WatchCall(
            clockReading(sentAt),
            clockReading(answeredAt),
            wait.milliseconds,
            hasChanges
        )

    /** Listed at 0 up to revision 10; changes up to 12 and 15; nothing more up to 17 at 1,000. */
    private val log =
        StoreLog()
            .listed(position(10), call(-4, 0))
            .answered(10, 12, "a", call(0, 300, 800, hasChanges = true))
            .answered(12, 15, "b", call(400, 600, 800, hasChanges = true))
            .answered(15, 17, null, call(700, 1_000, 300))

    private data class Case(
        val name: String,
        val log: StoreLog,
        val after: Long,
        val receivedAt: ClockReading,
        val answer: String,
        val waits: Boolean
    )

    /**
     * Guards against changes that a follower never sees, and against confirmations of a reader that
     * was frozen or cut from the store.
     */
    @Test
    fun `a log answers only what the store told recently`() {
        val now = clockReading(1_100)
        val later = log.answered(17, 17, null, call(1_000, 1_800, 800))
        val restarted = StoreLog().answered(20, 21, "c", call(1_090, 1_094, hasChanges = true))
        listOf(
            Case("two answers behind", log, 10, now, "17 [12, 15] age 400", false),
            Case("inside an answer", log, 13, now, "17 [15] age 400", false),
            Case("nothing new", log, 17, now, "17 [] age 400", true),
            Case("follower ahead", log, 19, now, "17 [] age 400", true),
            Case("confirmed while it waited", later, 17, now, "17 [] age 100", false),
            Case("before the log", log, 9, now, "GAP", false),
            Case("reader restarted", restarted, 17, now, "GAP", false),
            Case("call overdue", log, 10, clockReading(2_101), "NOT_READING", true),
            Case("reader suspended", log, 10, clockReading(1_100, 60_000), "NOT_READING", true),
            Case("store lost", log.lost(), 10, now, "NOT_READING", false),
            Case("never read", StoreLog(), 10, now, "NOT_READING", true),
            Case("wall clock set back", log, 17, clockReading(1_100, 0), "17 [] age 400", true)
        ).forEach { case ->
            val answer = case.log.answer(position(case.after), case.receivedAt, case.receivedAt)
            assertEquals(case.answer, describe(answer), case.name)
            assertEquals(
                !case.waits,
                case.log.hasNews(position(case.after), case.receivedAt),
                case.name
            )
        }
    }

    /** Guards against followers of an earlier era that miss what the return of the store undid. */
    @Test
    fun `a follower of an earlier era gets the listing with which the era began`() {
        val pages = persistentListOf("p")
        val returned = log.copy(era = 4).listed(position(8, era = 5), call(990, 1_000), pages)
        val followed = returned.answered(8, 9, "c", call(1_020, 1_050, hasChanges = true))
        val now = clockReading(1_100)
        listOf(
            Triple("of the earlier era", position(17, era = 4), "8 [] age 110 [p]"),
            Triple("of the era before", position(3, era = 3), "8 [] age 110 [p]"),
            Triple("without an era", position(17), "GAP"),
            Triple("of the same era", position(8, era = 5), "9 [9] age 80"),
            Triple("of a later era", position(2, era = 6), "NOT_READING")
        ).forEach { (name, after, expected) ->
            assertEquals(true, followed.hasNews(after, now), name)
            assertEquals(expected, describe(followed.answer(after, now, now)), name)
        }
        val listedAgain = followed.listed(position(9, era = 5), call(990, 1_000), pages)
        assertEquals("GAP", describe(listedAgain.answer(position(17, era = 4), now, now)))
    }

    private fun describe(answer: LogAnswer): String = when (answer) {
        is Known -> {
            val age = answer.age.inWholeMilliseconds
            val pages = answer.listing.takeIf { it.isNotEmpty() }?.let { " $it" }.orEmpty()
            "${answer.revision} ${answer.changes.map { it.revision }} age $age$pages"
        }

        is Refused -> answer.failure.name
    }

    private data class WaitCase(val name: String, val now: Long, val read: Long, val hold: Long)

    /** Guards against followers that learn too late that the store is silent. */
    @Test
    fun `waits end before the next answer of the store is overdue`() {
        listOf(
            WaitCase("answered now", now = 1_000, read = 800, hold = 400),
            WaitCase("after a pause", now = 1_700, read = 100, hold = 400),
            WaitCase("due", now = 1_900, read = 1, hold = 200),
            WaitCase("overdue: in case it answers after all", now = 2_200, read = 1, hold = 400)
        ).forEach { case ->
            val now = clockReading(case.now)
            assertEquals(case.read.milliseconds, log.readWait(now), case.name)
            assertEquals(case.hold.milliseconds, log.holdTime(now), case.name)
        }
    }

    /** Guards against a log that grows without end, or answers that exceed a frame. */
    @Test
    fun `the oldest changes are dropped`() {
        listOf(1 to 64, 100_000 to 6, 700_000 to 0).forEach { (characters, kept) ->
            val text = "x".repeat(characters)
            val full =
                (1L..100L).fold(StoreLog().listed(position(0), call(0, 1))) { all, revision ->
                    all.answered(revision - 1, revision, text, call(0, 1, hasChanges = true))
                }
            assertEquals(kept, full.changes.size, "$characters")
            assertEquals(100L - kept, full.start, "$characters")
        }
    }

    /** Guards against followers that drop the answers of a sound reader at a short revocation. */
    @Test
    fun `a reader that the store answers in time never counts as old`() {
        val oldest = log.readWait(clockReading(1_000)) * 2
        listOf(3, 5).forEach { seconds ->
            val limit = maximumRelayedAge(maximumReadyAge(seconds.seconds))
            assertTrue(oldest + SLOW_ANSWER <= limit, "$seconds s: $limit")
        }
    }

    private data class Relay(val name: String, val age: Long, val took: Long, val confirmed: Long)

    /** Guards against a relayed confirmation that counts as newer than it is. */
    @Test
    fun `a relayed confirmation is no newer than its reader states`() {
        listOf(
            Relay("at once", age = 500, took = 4, confirmed = 500),
            Relay("slow link", age = 500, took = 590, confirmed = 500),
            Relay("confirmed meanwhile", age = -300, took = 400, confirmed = 1_300),
            Relay("in the future", age = -9_000, took = 400, confirmed = 1_400)
        ).forEach { case ->
            val answeredAt = clockReading(1_000 + case.took)
            val age = case.age.milliseconds
            val relayed =
                WatchCall(clockReading(1_000), answeredAt, Duration.ZERO, false, relayedAge = age)
            assertEquals(clockReading(case.confirmed), relayed.confirmedAt, case.name)
            assertTrue(WatchSchedule(40).after(relayed).pause <= 50.milliseconds, case.name)
        }
    }

    private companion object {
        /** Time of an answer beyond its wait, with a store at the slow end of the usual. */
        val SLOW_ANSWER = 300.milliseconds
    }
}
