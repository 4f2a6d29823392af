package org.sapphirelever.runtime.host

import io.ktor.client.statement.bodyAsText
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlinx.coroutines.async
import org.sapphirelever.core.ExitCode

/** Guards against a planned stop that cuts off a request, and against one that never ends. */
class GracefulShutdownTest {
    @Test
    fun `a request in flight is answered, later ones are refused, and steps run in order`() {
        val ran = mutableListOf<String>()
        val steps =
            listOf(
                stopStep("keys") { ran.add("keys") },
                stopStep("leases") { error("platform down") },
                stopStep("membership") { ran.add("membership") }
            )
        withHost(steps) { host ->
            val held = async { host.answerTo("hold-1") }
            host.targets.held.await()
            host.signal()
            host.awaitStatus("/readyz", 503)
            host.awaitStatus("/v1/report", 503)
            val refused = host.chat("late").bodyAsText()
            assertTrue("\"code\":\"stopping\"" in refused, refused)
            assertTrue("\"outcome\":\"not-run\"" in refused, refused)
            assertTrue(ran.isEmpty())
            host.targets.released.complete(Unit)
            assertTrue("\"answer\":\"hold-1\"" in held.await())
            assertEquals(ExitCode.SUCCESS, host.exit.await())
            assertEquals(listOf("keys", "membership"), ran)
        }
    }

    @Test
    fun `requests are served during the balancer delay, which a second signal ends`() {
        withHost(balancerDelay = 1.minutes) { host ->
            host.signal()
            host.awaitStatus("/readyz", 503)
            assertTrue("complete" in host.answerTo("during the delay"))
            host.signal()
            assertEquals(ExitCode.CUT_SHORT, host.exit.await())
        }
    }

    /** Guards against a connection that is closed without an answer when the host exits. */
    @Test
    fun `a request that outlasts the drain limit is told that its outcome is unknown`() {
        withHost(drainLimit = 300.milliseconds) { host ->
            val held = async { host.chat("hold-1") }
            host.targets.held.await()
            host.signal()
            val answer = held.await()
            assertEquals(502, answer.status.value)
            val body = answer.bodyAsText()
            assertTrue("\"code\":\"stopped\"" in body, body)
            assertTrue("\"outcome\":\"outcome-unknown\"" in body, body)
            assertEquals(ExitCode.SUCCESS, host.exit.await())
        }
    }
}
