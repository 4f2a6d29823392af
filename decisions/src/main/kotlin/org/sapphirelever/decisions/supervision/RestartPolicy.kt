/*
 * Restart decisions of a supervisor. The runtime reports failures of children; the decision says
 * which children to restart and after what delay, or that the supervisor itself fails.
 */
package org.sapphirelever.decisions.supervision

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.sapphirelever.core.MonotonicTime

/** Which children are restarted when one of them fails. */
public enum class Strategy { ONE_FOR_ONE, ONE_FOR_ALL, REST_FOR_ONE }

/**
 * Restart policy of a supervisor.
 *
 * @property firstDelay delay before the first restart
 * @property factor growth of the delay with each restart inside the window
 * @property maximumDelay upper bound of the delay
 * @property maximumRestarts restarts permitted inside [window] before the supervisor fails
 */
public data class RestartPolicy(
    public val strategy: Strategy = Strategy.ONE_FOR_ONE,
    public val firstDelay: Duration = 100.milliseconds,
    public val factor: Int = 2,
    public val maximumDelay: Duration = 5.seconds,
    public val maximumRestarts: Int = 10,
    public val window: Duration = 60.seconds
)

/** Times of the restarts inside the window, oldest first. */
public data class RestartHistory(
    public val times: PersistentList<MonotonicTime> = persistentListOf()
)

/** Reaction of a supervisor to the failure of a child. */
public sealed interface RestartDecision {
    /** Restart the children at [indices] after [delay]. */
    public data class Restart(
        public val indices: IntRange,
        public val delay: Duration,
        public val history: RestartHistory
    ) : RestartDecision

    /** The restarts permitted inside the window are used up; the supervisor fails. */
    public data object Escalate : RestartDecision
}

/** Decides on the failure of the child at [index] of [children] children. */
public fun RestartPolicy.onFailure(
    history: RestartHistory,
    index: Int,
    children: Int,
    now: MonotonicTime
): RestartDecision {
    val recent = history.times.filter { now - it <= window }.toPersistentList()
    if (recent.size >= maximumRestarts) return RestartDecision.Escalate
    return RestartDecision.Restart(
        indices = affected(index, children),
        delay = delay(recent.size),
        history = RestartHistory(recent.add(now))
    )
}

private fun RestartPolicy.affected(index: Int, children: Int): IntRange = when (strategy) {
    Strategy.ONE_FOR_ONE -> index..index
    Strategy.ONE_FOR_ALL -> 0 until children
    Strategy.REST_FOR_ONE -> index until children
}

private fun RestartPolicy.delay(earlierRestarts: Int): Duration {
    var delay = firstDelay
    repeat(earlierRestarts) { delay = (delay * factor).coerceAtMost(maximumDelay) }
    return delay
}
