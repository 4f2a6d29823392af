package org.sapphirelever.runtime.supervision

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.nanoseconds
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeout
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.decisions.supervision.RestartPolicy
import org.sapphirelever.decisions.supervision.Strategy
import org.sapphirelever.runtime.host.EntryHost

private data class StrategyCase(val strategy: Strategy, val starts: List<String>)

private data class BackoffCase(val policy: RestartPolicy, val startsAt: List<Long>)

/** Guards against children that stay down, restarts without a delay, and lost escalations. */
@OptIn(ExperimentalCoroutinesApi::class)
class SupervisorTest {
    private fun TestScope.clock(): MonotonicClock =
        MonotonicClock { MonotonicTime.ZERO + currentTime.milliseconds }

    @Test
    fun `each strategy restarts its children in start order`() {
        val cases =
            listOf(
                StrategyCase(Strategy.ONE_FOR_ONE, listOf("b")),
                StrategyCase(Strategy.REST_FOR_ONE, listOf("b", "c")),
                StrategyCase(Strategy.ONE_FOR_ALL, listOf("a", "b", "c"))
            )
        for (case in cases) {
            runTest {
                val starts = mutableListOf<String>()
                val ends = mutableListOf<String>()
                var failures = 1
                suspend fun serve(name: String) {
                    starts.add(name)
                    try {
                        delay(10)
                        if (name == "b" && failures-- > 0) error("b fails once")
                        awaitCancellation()
                    } finally {
                        ends.add(name)
                    }
                }
                val tree =
                    supervisor("root", RestartPolicy(case.strategy), clock()) {
                        listOf("a", "b", "c").forEach { name -> child(name) { serve(name) } }
                    }
                val job = launch { tree.run() }
                delay(1000)
                assertEquals(listOf("a", "b", "c") + case.starts, starts, case.toString())
                assertEquals(case.starts.toSet(), ends.toSet(), case.toString())
                job.cancelAndJoin()
            }
        }
    }

    @Test
    fun `the delay grows to its limit and too many restarts end the supervisor`() {
        val policy =
            RestartPolicy(
                firstDelay = 100.milliseconds,
                maximumDelay = 300.milliseconds,
                maximumRestarts = 4
            )
        val cases =
            listOf(
                BackoffCase(policy, listOf(0, 100, 300, 600, 900)),
                BackoffCase(policy.copy(maximumRestarts = 1), listOf(0, 100)),
                BackoffCase(policy.copy(maximumRestarts = 0), listOf(0))
            )
        for (case in cases) {
            runTest {
                val starts = mutableListOf<Long>()
                val tree =
                    supervisor("root", case.policy, clock()) {
                        child("a") {
                            starts.add(currentTime)
                            error("always")
                        }
                    }
                assertFailsWith<SupervisorFailedException> { tree.run() }
                assertEquals(case.startsAt, starts, case.toString())
            }
        }
    }

    /** Guards against a process that lives on after its memory ran out in some of its tasks. */
    @Test
    fun `exhausted memory ends every supervisor at once`() {
        val failures = listOf(OutOfMemoryError(), IllegalStateException(OutOfMemoryError()))
        for (failure in failures) {
            runTest {
                var starts = 0
                val tree =
                    supervisor("root", RestartPolicy(), clock()) {
                        supervisor("nested", RestartPolicy()) {
                            child("a") {
                                starts++
                                throw failure
                            }
                        }
                    }
                assertFailsWith<SupervisorFailedException> { tree.run() }
                assertEquals(1, starts, "$failure")
            }
        }
    }

    @Test
    fun `restarts outside the window are not counted`() = runTest {
        var starts = 0
        val policy = RestartPolicy(maximumRestarts = 1, window = 500.milliseconds)
        val tree =
            supervisor("root", policy, clock()) {
                child("a") {
                    starts++
                    if (starts == 5) return@child
                    delay(1000)
                    error("once a second")
                }
            }
        tree.run()
        assertEquals(5, starts)
    }

    @Test
    fun `a failed nested supervisor counts as a failed child of its parent`() = runTest {
        var starts = 0
        var siblingCancelled = false
        val once = RestartPolicy(maximumRestarts = 1)
        val tree =
            supervisor("root", once, clock()) {
                supervisor("nested", once) {
                    child("a") {
                        starts++
                        error("always")
                    }
                }
                child("sibling") {
                    try {
                        awaitCancellation()
                    } finally {
                        siblingCancelled = true
                    }
                }
            }
        val failure = assertFailsWith<SupervisorFailedException> { tree.run() }
        assertEquals("root", failure.supervisor)
        assertEquals(4, starts)
        assertTrue(siblingCancelled)
    }

    @Test
    fun `a child that ends with its own timeout or cancellation is restarted`() {
        val faults =
            listOf<suspend () -> Unit>(
                { withTimeout(1.nanoseconds) { awaitCancellation() } },
                { throw CancellationException("from a closed channel") }
            )
        for (fault in faults) {
            runTest {
                var starts = 0
                val tree =
                    supervisor("root", RestartPolicy(), clock()) {
                        child("a") {
                            starts++
                            if (starts == 1) fault()
                        }
                    }
                withTimeout(10_000) { tree.run() }
                assertEquals(2, starts)
            }
        }
    }

    @Test
    fun `a child that fails during the restart delay of another one is restarted too`() = runTest {
        val starts = mutableMapOf("a" to 0, "b" to 0)
        val tree =
            supervisor("root", RestartPolicy(), clock()) {
                listOf("a" to 10L, "b" to 50L).forEach { (name, lifetime) ->
                    child(name) {
                        starts[name] = starts.getValue(name) + 1
                        delay(lifetime)
                        if (starts.getValue(name) == 1) error("first run")
                        awaitCancellation()
                    }
                }
            }
        val job = launch { tree.run() }
        delay(5_000)
        assertEquals(mapOf("a" to 2, "b" to 2), starts.toMap())
        job.cancelAndJoin()
    }

    @Test
    fun `a supervisor of the entry host whose child always fails ends the process`() = runTest {
        val tree =
            supervisor("entry-host", EntryHost.ROOT_POLICY, clock()) {
                supervisor("front-end") { child("http") { error("port in use") } }
                child("other") { awaitCancellation() }
            }
        // With the default policy at the root the tree would still be restarting after 5 minutes.
        withTimeout(5.minutes) { assertFailsWith<SupervisorFailedException> { tree.run() } }
    }
}
