/*
 * A target on virtual time with slots, a bounded queue, slow periods, a bounded prefix cache and
 * delayed load reports.
 */
package org.sapphirelever.load.experiment

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.Priority
import org.sapphirelever.decisions.admission.CallEnd
import org.sapphirelever.decisions.routing.LoadReport
import org.sapphirelever.decisions.routing.Target

/** One call to a target; [work] is its service time at normal speed without a cache hit. */
internal class SimulatedCall(
    val work: Duration,
    val prefix: String,
    val priority: Priority,
    val deadline: MonotonicTime,
    val onEnd: (CallEnd, LoadReport?) -> Unit
)

internal class SimulatedTarget(
    val target: Target,
    private val shape: ServiceShape,
    private val events: EventQueue,
    private val slowPeriods: List<SlowPeriod>,
    private val reportDelay: Duration,
    private val onCacheEvent: (String, Boolean) -> Unit
) {
    private val running = LinkedHashSet<SimulatedCall>()
    private val queue = ArrayDeque<SimulatedCall>()
    private val loadHistory = ArrayDeque<LoadReport>()
    private val cache = LinkedHashMap<String, Unit>(CACHE_CAPACITY, LOAD_FACTOR, true)
    private var dead = false

    var prefixCalls: Long = 0
        private set
    var prefixHits: Long = 0
        private set

    fun receive(call: SimulatedCall) {
        when {
            dead -> call.onEnd(CallEnd.LOST, null)
            running.size < shape.slots -> start(call)
            queue.size >= shape.slots * QUEUE_PER_SLOT -> call.onEnd(CallEnd.BUSY, delayedReport())
            else -> queue.add(call)
        }
        recordLoad()
    }

    fun crash() {
        dead = true
        val lost = running + queue
        running.clear()
        queue.clear()
        lost.forEach { it.onEnd(CallEnd.LOST, null) }
    }

    private fun start(call: SimulatedCall) {
        running.add(call)
        events.at(finishTime(events.now, work(call))) { finish(call) }
    }

    private fun finish(call: SimulatedCall) {
        if (!running.remove(call)) return
        startNext()
        recordLoad()
        call.onEnd(CallEnd.ANSWERED, delayedReport())
    }

    /** Starts waiting calls in order of priority; fails calls whose deadline has passed. */
    private fun startNext() {
        while (running.size < shape.slots && queue.isNotEmpty()) {
            val next = queue.minBy { it.priority.ordinal }
            queue.remove(next)
            if (next.deadline > events.now) start(next) else next.onEnd(CallEnd.FAILED, null)
        }
    }

    /** Work of [call], reduced if its prefix is cached; adds the prefix to the cache otherwise. */
    private fun work(call: SimulatedCall): Duration {
        if (call.prefix.isEmpty()) return call.work
        prefixCalls++
        if (cache[call.prefix] != null) {
            prefixHits++
            return call.work * (1 - CACHE_HIT_SAVING)
        }
        cache[call.prefix] = Unit
        onCacheEvent(call.prefix, true)
        if (cache.size > CACHE_CAPACITY) {
            val oldest = cache.keys.first()
            cache.remove(oldest)
            onCacheEvent(oldest, false)
        }
        return call.work
    }

    /** Time at which [work] that starts at [start] ends, given the slow periods. */
    private fun finishTime(start: MonotonicTime, work: Duration): MonotonicTime {
        var time = start
        var remaining = work
        for (period in slowPeriods) {
            val begin = MonotonicTime.ZERO + period.start
            val end = MonotonicTime.ZERO + period.end
            if (end <= time) continue
            if (begin > time) {
                if (time + remaining <= begin) return time + remaining
                remaining -= begin - time
                time = begin
            }
            val done = (end - time) / period.factor
            if (remaining <= done) return time + remaining * period.factor
            remaining -= done
            time = end
        }
        return time + remaining
    }

    private fun recordLoad() {
        loadHistory.add(LoadReport(running.size, queue.size, shape.slots, events.now))
        while (loadHistory.size > 1 && events.now - loadHistory[1].measuredAt >= reportDelay) {
            loadHistory.removeFirst()
        }
    }

    /** Load as of [reportDelay] ago, or null if all samples are newer. */
    private fun delayedReport(): LoadReport? {
        recordLoad()
        val oldest = loadHistory.first()
        val measured = events.now - reportDelay
        return if (oldest.measuredAt > measured) null else oldest.copy(measuredAt = measured)
    }

    private companion object {
        /** Calls that may wait for each slot. */
        const val QUEUE_PER_SLOT = 8

        /** Prefixes that a target caches. */
        const val CACHE_CAPACITY = 30
        const val LOAD_FACTOR = 0.75f

        /** Share of the work that a cached prefix saves. */
        const val CACHE_HIT_SAVING = 0.5
    }
}

/** Delay until an entry host receives a cache event. */
internal val CACHE_EVENT_DELAY: Duration = 500.milliseconds

/** Probability that an entry host does not receive a cache event. */
internal const val CACHE_EVENT_LOSS_RATE: Double = 0.05
