/*
 * Division of the time between the signal that stops a host and its end.
 */
package org.sapphirelever.decisions.shutdown

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Waits of a shutdown, in their order.
 *
 * @property balancerDelay time in which the load balancer notices that the host is unready
 * @property drainLimit longest wait for requests in flight after the balancer delay
 * @property answerTime time in which requests that are still in flight write a final answer
 */
public data class ShutdownTimes(
    public val balancerDelay: Duration,
    public val drainLimit: Duration,
    public val answerTime: Duration = DEFAULT_ANSWER_TIME
) {
    public companion object {
        /** A final answer is a few hundred bytes; the rest is for a busy processor. */
        public val DEFAULT_ANSWER_TIME: Duration = 300.milliseconds

        /** The load balancer checks every second and removes a host after two failed checks. */
        private val BALANCER_DELAY = 3.seconds

        /** Reserved for the exit of the process. */
        private val EXIT_RESERVE = 500.milliseconds

        /** Largest share of a short grace period that the balancer delay may take. */
        private const val BALANCER_SHARE = 0.4

        /** Divides [gracePeriod], after which the process is killed. */
        public fun within(gracePeriod: Duration): ShutdownTimes {
            val balancerDelay = minOf(BALANCER_DELAY, gracePeriod * BALANCER_SHARE)
            val rest = gracePeriod - balancerDelay - DEFAULT_ANSWER_TIME - EXIT_RESERVE
            return ShutdownTimes(balancerDelay, rest.coerceAtLeast(Duration.ZERO))
        }
    }
}
