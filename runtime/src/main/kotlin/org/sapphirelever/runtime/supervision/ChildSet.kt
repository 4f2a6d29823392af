/*
 * Supervision of a dynamic set of children: one child for each key of a desired set.
 */
package org.sapphirelever.runtime.supervision

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.launch
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.SystemMonotonicClock
import org.sapphirelever.decisions.supervision.RestartDecision
import org.sapphirelever.decisions.supervision.RestartHistory
import org.sapphirelever.decisions.supervision.RestartPolicy
import org.sapphirelever.decisions.supervision.onFailure
import org.sapphirelever.runtime.log.logWarning

/**
 * Runs [body] for each key of the desired set and restarts it under [policy] when it fails. Each
 * child has its own restart history, so that one failing child does not delay the others.
 */
public class ChildSet<K : Any>(
    private val name: String,
    private val policy: RestartPolicy = RestartPolicy(),
    private val clock: MonotonicClock = SystemMonotonicClock,
    private val body: suspend (K) -> Unit
) {
    /** Runs until [desired] completes; throws [SupervisorFailedException] on escalation. */
    public suspend fun run(desired: Flow<Set<K>>) {
        coroutineScope {
            val running = mutableMapOf<K, Job>()
            desired.collect { keys ->
                (running.keys - keys).forEach { running.remove(it)?.cancelAndJoin() }
                (keys - running.keys).forEach { running[it] = start(it) }
            }
            running.values.forEach { it.cancelAndJoin() }
        }
    }

    private fun CoroutineScope.start(key: K): Job = launch {
        var history = RestartHistory()
        while (true) {
            val failure = runOnce(key) ?: return@launch
            when (val decision = policy.onFailure(history, 0, 1, clock.now())) {
                is RestartDecision.Restart -> {
                    if (history.times.isEmpty()) logFailure(key, failure)
                    history = decision.history
                    delay(decision.delay)
                }

                RestartDecision.Escalate -> throw SupervisorFailedException(name, failure)
            }
        }
    }

    /** Runs the child once; returns its failure, or null if it returned normally. */
    private suspend fun runOnce(key: K): Throwable? = try {
        coroutineScope { body(key) }
        null
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (failure: Throwable) {
        failure
    }

    /** Only the first failure of a child is logged, since a peer may be down for long. */
    private fun logFailure(key: K, failure: Throwable) {
        logWarning("child-failed") {
            "supervisor" to name
            "child" to key
            "failure" to failure
        }
    }
}
