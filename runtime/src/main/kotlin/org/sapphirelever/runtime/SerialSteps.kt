/*
 * Serial execution without blocking. Under load, threads that wait for a lock are resumed one by
 * one, and each thread switch costs more than the step itself; here no thread waits.
 */
package org.sapphirelever.runtime

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import org.sapphirelever.runtime.log.logWarning

/**
 * Runs submitted steps one at a time, in submission order. The thread that finds the queue idle
 * runs its own step and those that arrive meanwhile; other threads return immediately.
 */
public class SerialSteps(private val name: String) {
    private val steps = ConcurrentLinkedQueue<() -> Unit>()
    private val pending = AtomicInteger()

    /** Submits [step], which must not block. An exception thrown by a step is only logged. */
    public fun submit(step: () -> Unit) {
        steps.add(step)
        if (pending.getAndIncrement() != 0) return
        do {
            steps.poll()?.let(::run)
        } while (pending.decrementAndGet() != 0)
    }

    private fun run(step: () -> Unit) {
        try {
            step()
        } catch (failure: Exception) {
            logWarning("step-failed") {
                "queue" to name
                "failure" to failure
            }
        }
    }
}
