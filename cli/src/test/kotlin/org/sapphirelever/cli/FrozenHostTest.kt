/*
 * Pauses that targets ask for, at a host that is frozen meanwhile.
 */
package org.sapphirelever.cli

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import org.sapphirelever.core.forwarding.HostProfile
import org.sapphirelever.platform.CONFIGURATION_KEY
import org.sapphirelever.platform.NoticeTargetStandIn
import org.sapphirelever.platform.StoreStandIn
import org.sapphirelever.platform.call
import org.sapphirelever.platform.hostProfile

class FrozenHostTest {
    /** [meanwhile] and [woken] are the statuses of requests during and after the freeze. */
    private data class Case(
        val name: String,
        val pause: Duration,
        val frozen: Duration,
        val meanwhile: Int,
        val woken: Int
    )

    /** Guards against a pause that a freeze prolongs, and against one that it ends early. */
    @Test
    fun `a pause lasts as long as asked although the host is frozen`() {
        listOf(
            Case("frozen beyond the pause", 1.seconds, 3.seconds, meanwhile = 200, woken = 200),
            Case("frozen within the pause", 6.seconds, 2.seconds, meanwhile = 503, woken = 503)
        ).forEach { case ->
            NoticeTargetStandIn().use { target ->
                val entry =
                    """{"service":"koder","address":"${target.endpoint}","zone":"z",""" +
                        """"slots":4,"state":"ready","born":1}"""
                val entries = mapOf("servers/i-0" to entry, CONFIGURATION_KEY to CONFIGURATION)
                StoreStandIn(entries).use { store ->
                    val profile = hostProfile("entry-1", store.endpoint)
                    withForwardProcess(profile) { process, _ ->
                        exercise(case, profile, target, process)
                    }
                }
            }
        }
    }

    private suspend fun CoroutineScope.exercise(
        case: Case,
        profile: HostProfile,
        target: NoticeTargetStandIn,
        process: Process
    ) {
        assertEquals(200, status(profile, "before"), case.name)
        target.askForPause(case.pause)
        val asked = TimeSource.Monotonic.markNow()
        assertEquals(503, status(profile, "paused"), case.name)
        send("STOP", process)
        val meanwhile = async { status(profile, "meanwhile") }
        delay(case.frozen)
        send("CONT", process)
        assertEquals(case.meanwhile, meanwhile.await(), case.name)
        assertEquals(case.woken, status(profile, "woken"), case.name)
        delay((case.pause - asked.elapsedNow()).coerceAtLeast(Duration.ZERO) + 1.seconds)
        assertEquals(200, status(profile, "after"), case.name)
        assertEquals(0, target.withinPause.get(), case.name)
    }

    private suspend fun status(profile: HostProfile, id: String): Int =
        call(profile.callers, "/once/", null, id = id, deadlineMillis = 10_000).first

    private fun send(signal: String, process: Process) {
        ProcessBuilder("kill", "-$signal", process.pid().toString()).start().waitFor()
    }

    private companion object {
        const val CONFIGURATION =
            """{"version":3,"routes":[{"name":"once","host":"a.example","prefix":"/once/",""" +
                """"kind":"non_idempotent","timeout-ms":9000,"slo-ms":500,"service":"koder",""" +
                """"max-attempts":1,"anonymous":true}],"services":[{"name":"koder"}],""" +
                """"limits":{"max-header-bytes":16384,"max-body-bytes":65536,""" +
                """"header-timeout-ms":3000,"idle-timeout-ms":15000}}"""
    }
}
