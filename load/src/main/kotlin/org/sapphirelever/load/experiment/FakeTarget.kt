/*
 * A target on virtual time: slots, a bounded queue, slow periods, a limited prefix cache and load
 * reports that are late.
 */
package org.sapphirelever.load.experiment

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.Priority
import org.sapphirelever.decisions.admission.CallEnd
import org.sapphirelever.decisions.routing.LoadReport
import org.sapphirelever.decisions.routing.Target

/** One call as the target sees it; [work] is its time at normal speed. */
internal class FakeCall(
    val work: Duration,
    val prefix: String,
    val priority: Priority,
    val deadline: MonotonicTime,
    val done: (CallEnd, LoadReport?) -> Unit
)

internal class FakeTarget(
    val target: Target,
    private val shape: ServiceShape,
    private val events: EventQueue,
    private val slow: List<SlowPeriod>,
    private val reportDelay: Duration,
    private val onCache: (String, Boolean) -> Unit
) {
    private val running = LinkedHashSet<FakeCall>()
    private val queue = ArrayDeque<FakeCall>()
    private val history = ArrayDeque<LoadReport>()
    private val cache = LinkedHashMap<String, Unit>(CACHE, LOAD_FACTOR, true)
    private var dead = false

    var prefixCalls: Long = 0
        private set
    var prefixHits: Long = 0
        private set

    fun arrive(call: FakeCall) {
        when {
            dead -> call.done(CallEnd.LOST, null)
            running.size < shape.slots -> start(call)
            queue.size >= shape.slots * QUEUE_FACTOR -> call.done(CallEnd.BUSY, report())
            else -> queue.add(call)
        }
        record()
    }

    fun die() {
        dead = true
        val lost = running + queue
        running.clear()
        queue.clear()
        lost.forEach { it.done(CallEnd.LOST, null) }
    }

    private fun start(call: FakeCall) {
        running.add(call)
        events.at(finishTime(events.now, work(call))) { finish(call) }
    }

    private fun finish(call: FakeCall) {
        if (!running.remove(call)) return
        startNext()
        record()
        call.done(CallEnd.ANSWERED, report())
    }

    /** Starts waiting calls by priority; a call whose deadline has passed is dropped. */
    private fun startNext() {
        while (running.size < shape.slots && queue.isNotEmpty()) {
            val next = queue.minBy { it.priority.ordinal }
            queue.remove(next)
            if (next.deadline > events.now) start(next) else next.done(CallEnd.FAILED, null)
        }
    }

    private fun work(call: FakeCall): Duration {
        if (call.prefix.isEmpty()) return call.work
        prefixCalls++
        if (cache[call.prefix] != null) {
            prefixHits++
            return call.work * (1 - CACHED_SAVING)
        }
        cache[call.prefix] = Unit
        onCache(call.prefix, true)
        if (cache.size > CACHE) {
            val oldest = cache.keys.first()
            cache.remove(oldest)
            onCache(oldest, false)
        }
        return call.work
    }

    /** Time at which [work] that starts at [start] is done, given the slow periods. */
    private fun finishTime(start: MonotonicTime, work: Duration): MonotonicTime {
        var time = start
        var left = work
        for (period in slow) {
            val begin = MonotonicTime.ZERO + period.start
            val end = MonotonicTime.ZERO + period.end
            if (end <= time) continue
            if (begin > time) {
                if (time + left <= begin) return time + left
                left -= begin - time
                time = begin
            }
            val done = (end - time) / period.factor
            if (left <= done) return time + left * period.factor
            left -= done
            time = end
        }
        return time + left
    }

    private fun record() {
        history.add(LoadReport(running.size, queue.size, shape.slots, events.now))
        while (history.size > 1 && events.now - history[1].measuredAt >= reportDelay) {
            history.removeFirst()
        }
    }

    /** The load [reportDelay] ago; a target that has only newer samples reports nothing. */
    private fun report(): LoadReport? {
        record()
        val oldest = history.first()
        val measured = events.now - reportDelay
        return if (oldest.measuredAt > measured) null else oldest.copy(measuredAt = measured)
    }

    private companion object {
        const val QUEUE_FACTOR = 8
        const val CACHE = 30
        const val LOAD_FACTOR = 0.75f
        const val CACHED_SAVING = 0.5
    }
}

/** Delay of a cache event. */
internal val CACHE_EVENT_DELAY: Duration = 500.milliseconds

/** Share of cache events that are lost. */
internal const val CACHE_EVENT_LOSS: Double = 0.05
