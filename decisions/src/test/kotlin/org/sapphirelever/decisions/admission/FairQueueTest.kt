package org.sapphirelever.decisions.admission

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.OrganisationName
import org.sapphirelever.core.Priority
import org.sapphirelever.core.ServiceName
import org.sapphirelever.decisions.prediction.SizeClass
import org.sapphirelever.decisions.routing.RoutingRequest

/** Guards against unfair shares, starvation, and calls that are lost or taken twice. */
class FairQueueTest {
    private val start = MonotonicTime.ZERO
    private var nextId = 0L

    private fun call(
        organisation: String,
        weight: Int = 1,
        priority: Priority = Priority.STANDARD,
        size: SizeClass = SizeClass.SHORT
    ) = WaitingCall(
        id = nextId++,
        organisation = OrganisationName(organisation),
        weight = weight,
        priority = priority,
        size = size,
        routing = RoutingRequest(ServiceName("s")),
        deadline = start + 4.seconds,
        first = true
    )

    private fun FairQueue.drain(count: Int, now: MonotonicTime = start): List<WaitingCall> {
        var queue = this
        return List(count) {
            val next = checkNotNull(queue.next(now, longPermitted = true))
            queue = queue.take(next)
            next.call
        }
    }

    @Test
    fun `ageing gives no advantage over an organisation of equal weight that has used less`() {
        val waiting = List(100) { call("greedy") }
        val later = start + 1.seconds
        val queue = waiting.fold(FairQueue()) { queue, call -> queue.add(call, start) }
            .add(call("other"), later)
        assertTrue(queue.drain(3, later).any { it.organisation.value == "other" })
    }

    @Test
    fun `an organisation below its share may run ahead by the burst but not by more`() {
        val greedy = List(100) { call("greedy") }
        var queue = greedy.fold(FairQueue()) { queue, call -> queue.add(call, start) }
        repeat(50) { queue = queue.take(checkNotNull(queue.next(start, longPermitted = true))) }
        val late = List(40) { call("late") }
        val all = late.fold(queue) { queue, call -> queue.add(call, start) }
        assertEquals(
            40.0 - FairQueue.BURST_CALLS,
            all.costBeyondBurst(OrganisationName("late"), 1.0),
            1.0
        )
        val served = all.drain(40).count { it.organisation.value == "late" }
        assertTrue(served in 27..29, "$served")
    }

    @Property(tries = 100, seed = "3")
    fun `organisations with waiting calls share capacity by weight`(
        @ForAll @IntRange(min = 1, max = 8) weight: Int,
        @ForAll @IntRange(min = 1, max = 10) burst: Int
    ) {
        val greedy = List(100 * burst) { call("greedy") }
        val other = List(100) { call("other", weight) }
        val queue = (greedy + other).fold(FairQueue()) { queue, call -> queue.add(call, start) }
        val served = queue.drain(100).count { it.organisation.value == "other" }
        val share = 100.0 * weight / (weight + 1)
        assertTrue(served in (share - 1).toInt()..(share + 2).toInt(), "$served of $share")
        val all = queue.drain(greedy.size + other.size).map { it.id }
        assertEquals(all.size, all.toSet().size)
    }

    @Test
    fun `ageing lets a batch call overtake newer interactive calls`() {
        val batch = call("small", priority = Priority.BATCH)
        val waiting = FairQueue().add(batch, start)
        val later = start + 1.seconds
        val queue = (1..50).fold(waiting) { queue, _ ->
            queue.add(call("large", 8, Priority.INTERACTIVE), later)
        }
        assertEquals(batch.id, queue.drain(1, later).single().id)
        val fresh = waiting.add(call("large", 8, Priority.INTERACTIVE), start)
        assertEquals("large", fresh.drain(1).single().organisation.value)
    }

    @Test
    fun `a short call overtakes a long call that is not permitted`() {
        val long = call("a", size = SizeClass.LONG)
        val short = call("a")
        val queue = FairQueue().add(long, start).add(short, start)
        assertEquals(short.id, queue.next(start, longPermitted = false)?.call?.id)
        assertEquals(long.id, queue.next(start, longPermitted = true)?.call?.id)
        assertEquals(1, queue.remove(long).size)
    }
}
