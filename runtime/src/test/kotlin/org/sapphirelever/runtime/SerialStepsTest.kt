package org.sapphirelever.runtime

import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against steps that overlap, are lost, or stop the queue with an exception. */
class SerialStepsTest {
    @Test
    fun `steps of many threads run one at a time and none is lost`() {
        val steps = SerialSteps("test")
        var running = 0
        var maximumRunning = 0
        var count = 0
        val done = CountDownLatch(THREADS * STEPS)
        val threads = List(THREADS) {
            thread {
                repeat(STEPS) { step ->
                    steps.submit {
                        running += 1
                        maximumRunning = maxOf(maximumRunning, running)
                        count += 1
                        running -= 1
                        done.countDown()
                        check(step % FAILURE_INTERVAL != 0) { "this step fails" }
                    }
                }
            }
        }
        threads.forEach { it.join() }
        done.await()
        assertEquals(1, maximumRunning)
        assertEquals(THREADS * STEPS, count)
    }

    @Test
    fun `a step submitted by a step runs after it`() {
        val steps = SerialSteps("test")
        val order = mutableListOf<String>()
        steps.submit {
            steps.submit { order.add("inner") }
            order.add("outer")
        }
        assertEquals(listOf("outer", "inner"), order)
    }

    private companion object {
        const val THREADS = 8
        const val STEPS = 1_000
        const val FAILURE_INTERVAL = 500
    }
}
