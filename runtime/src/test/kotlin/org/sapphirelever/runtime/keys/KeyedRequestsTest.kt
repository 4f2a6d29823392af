package org.sapphirelever.runtime.keys

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.HostId
import org.sapphirelever.core.Incarnation
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.OrganisationName
import org.sapphirelever.core.SapphireleverException
import org.sapphirelever.runtime.target.TokenSink
import org.sapphirelever.wire.OutcomeMessage
import org.sapphirelever.wire.RequestMessage

/** Guards against running a request twice because of retries, other hosts or planned stops. */
@OptIn(ExperimentalCoroutinesApi::class)
class KeyedRequestsTest {
    /** Hosts that call each other in memory; [fault] replaces the results of forwarded requests. */
    private class Fleet(private val scope: TestScope) : KeyForwarder {
        private val hosts = mutableMapOf<Incarnation, KeyedRequests>()
        var runs = 0
        var fault: ForwardResult? = null
        var silent = false
        var result: suspend () -> String = { "complete" }

        fun host(name: String): KeyedRequests {
            val owner = KeyOwner(Incarnation(name), Endpoint("127.0.0.1", 1))
            val clock =
                MonotonicClock { MonotonicTime(scope.testScheduler.currentTime * 1_000_000) }
            val runner =
                RequestRunner { _, _ ->
                    runs++
                    delay(10.milliseconds)
                    OutcomeMessage("run$runs", name, result(), "ok")
                }
            return KeyedRequests(HostId(name), owner, this, runner, clock, Random(1))
                .also { hosts[owner.incarnation] = it }
        }

        override suspend fun forward(
            owner: KeyOwner,
            request: RequestMessage,
            remaining: Duration
        ): ForwardResult {
            if (silent) awaitCancellation()
            fault?.let { return it }
            val host = hosts[owner.incarnation] ?: return ForwardResult.OwnerGone
            return ForwardResult.Answered(host.run(request))
        }
    }

    @Test
    fun `concurrent uses of a key through two hosts run once and share the outcome`() = runTest {
        val fleet = Fleet(this)
        val (a, b) = fleet.host("a") to fleet.host("b")
        val request = request(a)
        val outcomes = listOf(a, b, a, b).map { async { it.use(request) } }.awaitAll()
        assertEquals(1, fleet.runs)
        assertEquals(setOf("run1"), (outcomes + b.use(request)).map { it.request }.toSet())
        val other = b.use(request.copy(input = "other"))
        assertEquals("not-run" to "key-mismatch", other.outcome to other.code)
        val otherOrganisation = b.use(request.copy(organisation = "thief"))
        assertEquals(
            "not-run" to "key-mismatch",
            otherOrganisation.outcome to otherOrganisation.code
        )
    }

    private data class OwnerCase(val code: ErrorCode, val prepare: Fleet.() -> Unit)

    private val ownerCases =
        listOf(
            OwnerCase(ErrorCode.KEY_OWNER_GONE) { fault = ForwardResult.OwnerGone },
            OwnerCase(ErrorCode.KEY_OWNER_UNREACHABLE) { fault = ForwardResult.Unclear },
            OwnerCase(ErrorCode.KEY_OWNER_UNREACHABLE) { silent = true }
        )

    @Test
    fun `a key whose owner is gone or does not answer has an unknown outcome`() = runTest {
        for (case in ownerCases) {
            val fleet = Fleet(this)
            val request = request(fleet.host("a"))
            fleet.apply(case.prepare)
            val outcome = fleet.host("b").use(request)
            assertEquals("outcome-unknown" to case.code.text, outcome.outcome to outcome.code)
            assertEquals(0, fleet.runs)
        }
    }

    @Test
    fun `a key is released only if its request did not run`() = runTest {
        for ((end, runs) in listOf("not-run" to 2, "outcome-unknown" to 1, "complete" to 1)) {
            val fleet = Fleet(this)
            val host = fleet.host("a")
            val request = request(host)
            fleet.result = { end }
            repeat(2) { host.use(request) }
            assertEquals(runs, fleet.runs, end)
        }
    }

    @Test
    fun `an unexpected failure of a run gives every use an unknown outcome`() = runTest {
        val fleet = Fleet(this)
        val host = fleet.host("a")
        val request = request(host)
        fleet.result = { error("fault of the host") }
        val second = async { delay(5.milliseconds).let { host.use(request) } }
        assertTrue(runCatching { host.use(request) }.exceptionOrNull() is IllegalStateException)
        assertEquals("outcome-unknown", second.await().outcome)
        assertEquals("outcome-unknown", host.use(request).outcome)
        assertEquals(1, fleet.runs)
    }

    @Test
    fun `a caller that disconnects gets its outcome by repeating the request`() = runTest {
        val fleet = Fleet(this)
        val host = fleet.host("a")
        val request = request(host)
        val first = async { host.use(request) }
        runCurrent()
        first.cancelAndJoin()
        assertEquals("complete", host.use(request).outcome)
        assertEquals(1, fleet.runs)
    }

    @Test
    fun `a stopped owner runs no key and its successor answers only the claimed keys`() = runTest {
        val fleet = Fleet(this)
        val (a, b) = fleet.host("a") to fleet.host("b")
        val (used, unused) = request(a) to request(a)
        a.use(used)
        val offer = a.handOver()
        assertTrue(b.takeOver(offer))
        assertEquals("run1", b.use(used).request)
        assertEquals("stopping", a.run(unused).code)
        fleet.fault = ForwardResult.OwnerGone
        assertEquals("key-owner-gone", b.use(unused).code)
        assertEquals("key-owner-gone", b.run(unused).code)
        assertEquals(1, fleet.runs)
        b.handOver()
        assertFalse(b.takeOver(offer))
        val refused = runCatching { b.mint(OrganisationName("o")) }.exceptionOrNull()
        assertEquals(ErrorCode.STOPPING, (refused as SapphireleverException).code)
    }

    private fun request(owner: KeyedRequests) = RequestMessage(
        pipeline = "p",
        organisation = "o",
        deadlineMillis = 1_000,
        input = "input",
        key = owner.mint(OrganisationName("o")).key
    )

    private suspend fun KeyedRequests.use(request: RequestMessage): OutcomeMessage =
        submit(request, TokenSink.NONE)
}
