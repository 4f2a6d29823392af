/*
 * Virtual time: events run in order of their time, and events of the same time in the order in
 * which they were scheduled, so that a run depends on its seed only.
 */
package org.sapphirelever.load.experiment

import java.util.PriorityQueue
import kotlin.time.Duration
import org.sapphirelever.core.MonotonicTime

/** Runs scheduled events on virtual time. */
internal class EventQueue {
    private class Event(val at: MonotonicTime, val sequence: Long, val run: () -> Unit)

    private val events = PriorityQueue(compareBy<Event>({ it.at.nanoseconds }, { it.sequence }))
    private var sequence = 0L

    var now: MonotonicTime = MonotonicTime.ZERO
        private set

    fun at(time: MonotonicTime, run: () -> Unit) {
        events.add(Event(time, sequence++, run))
    }

    fun after(delay: Duration, run: () -> Unit): Unit = at(now + delay, run)

    /** Runs all events, including those that they schedule. */
    fun run() {
        while (true) {
            val event = events.poll() ?: return
            now = event.at
            event.run()
        }
    }
}
