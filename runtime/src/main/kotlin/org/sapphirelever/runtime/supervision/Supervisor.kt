/*
 * Supervisors run children and restart those that fail, under a restart policy. A supervisor can be
 * a child of another one, so that the process forms one tree.
 */
package org.sapphirelever.runtime.supervision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.SystemMonotonicClock
import org.sapphirelever.decisions.supervision.RestartDecision
import org.sapphirelever.decisions.supervision.RestartHistory
import org.sapphirelever.decisions.supervision.RestartPolicy
import org.sapphirelever.decisions.supervision.onFailure
import org.sapphirelever.runtime.log.logWarning

/** A child of a supervisor. It ends when [run] returns; an exception is a failure. */
public data class Child(public val name: String, public val run: suspend () -> Unit)

/** Thrown by a supervisor whose children fail more often than its policy permits. */
public class SupervisorFailedException(public val supervisor: String, cause: Throwable) :
    RuntimeException("supervisor $supervisor gave up", cause)

@DslMarker
public annotation class SupervisorDsl

/** Declares a supervisor and its children. */
public fun supervisor(
    name: String,
    policy: RestartPolicy = RestartPolicy(),
    clock: MonotonicClock = SystemMonotonicClock,
    declare: SupervisorBuilder.() -> Unit
): Supervisor = SupervisorBuilder(name, policy, clock).apply(declare).build()

/** Collects the children of a [Supervisor] in start order. */
@SupervisorDsl
public class SupervisorBuilder internal constructor(
    private val name: String,
    private val policy: RestartPolicy,
    private val clock: MonotonicClock
) {
    private var children: PersistentList<Child> = persistentListOf()

    public fun child(name: String, run: suspend () -> Unit) {
        children = children.add(Child(name, run))
    }

    /** Adds a supervisor as a child; its escalation is a failure of that child. */
    public fun supervisor(
        name: String,
        policy: RestartPolicy = RestartPolicy(),
        declare: SupervisorBuilder.() -> Unit
    ) {
        val nested = SupervisorBuilder("${this.name}/$name", policy, clock).apply(declare).build()
        child(name) { nested.run() }
    }

    internal fun build(): Supervisor = Supervisor(name, policy, clock, children)
}

/** Runs [children] under [policy]. */
public class Supervisor internal constructor(
    private val name: String,
    private val policy: RestartPolicy,
    private val clock: MonotonicClock,
    private val children: PersistentList<Child>
) {
    private data class ChildEnd(val index: Int, val runNumber: Long, val failure: Throwable?)

    private class RunningChild(val runNumber: Long, val job: Job)

    /** Runs until all children have returned; throws [SupervisorFailedException] on escalation. */
    public suspend fun run() {
        coroutineScope {
            val ends = Channel<ChildEnd>(Channel.UNLIMITED)
            val running = mutableMapOf<Int, RunningChild>()
            var history = RestartHistory()
            var nextRunNumber = 0L
            children.indices.forEach { running[it] = start(it, nextRunNumber++, ends) }
            while (running.isNotEmpty()) {
                val end = ends.receive()
                // Ignores the end of an earlier run, which was cancelled for a restart.
                if (running[end.index]?.runNumber != end.runNumber) continue
                val failure = end.failure
                if (failure == null) {
                    running.remove(end.index)
                    continue
                }
                val restart = restartAfter(failure, history, end.index)
                history = restart.history
                restart.indices.reversed().forEach { running.remove(it)?.job?.cancelAndJoin() }
                delay(restart.delay)
                restart.indices.forEach { running[it] = start(it, nextRunNumber++, ends) }
            }
        }
    }

    private fun restartAfter(
        failure: Throwable,
        history: RestartHistory,
        index: Int
    ): RestartDecision.Restart {
        val decision =
            if (failure.isMemoryExhausted) {
                RestartDecision.Escalate
            } else {
                policy.onFailure(history, index, children.size, clock.now())
            }
        logWarning("child-failed") {
            "supervisor" to name
            "child" to children[index].name
            "failure" to failure
            "cause" to failure.cause
            "decision" to decision::class.simpleName
        }
        return when (decision) {
            is RestartDecision.Restart -> decision
            RestartDecision.Escalate -> throw SupervisorFailedException(name, failure)
        }
    }

    /** Other tasks may have ended by the same error, so that only a new process is sound. */
    private val Throwable.isMemoryExhausted: Boolean
        get() = generateSequence(this) { it.cause }.any { it is OutOfMemoryError }

    private fun CoroutineScope.start(
        index: Int,
        runNumber: Long,
        ends: Channel<ChildEnd>
    ): RunningChild {
        val job =
            launch {
                val failure =
                    try {
                        coroutineScope { children[index].run() }
                        null
                    } catch (cancelled: CancellationException) {
                        // Cancellation of this job stops the child; a timeout or cancellation
                        // raised inside the child is a failure.
                        currentCoroutineContext().ensureActive()
                        cancelled
                    } catch (thrown: Throwable) {
                        thrown
                    }
                ends.send(ChildEnd(index, runNumber, failure))
            }
        return RunningChild(runNumber, job)
    }
}
