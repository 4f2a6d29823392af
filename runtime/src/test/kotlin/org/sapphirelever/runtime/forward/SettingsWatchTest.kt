/*
 * Settings that change while a host runs.
 */
package org.sapphirelever.runtime.forward

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.HostId
import org.sapphirelever.core.SapphireleverException
import org.sapphirelever.core.SystemMonotonicClock
import org.sapphirelever.core.forwarding.HostProfile

class SettingsWatchTest {
    private fun profile(port: Int, maximumRevocationDelay: Duration): HostProfile = HostProfile(
        host = HostId("entry-1"),
        dataCentre = DataCentre("z"),
        callers = Endpoint("127.0.0.1", port),
        readiness = Endpoint("127.0.0.1", 2),
        metrics = Endpoint("127.0.0.1", 3),
        peers = Endpoint("127.0.0.1", 4),
        store = Endpoint("127.0.0.1", 5),
        shutdownGracePeriod = 8.seconds,
        maximumRevocationDelay = maximumRevocationDelay,
        retryBudgetRatio = 0.2,
        retryBudgetExtra = 60,
        retryBudgetWindow = 10.seconds,
        minimumLeaseTtl = 1.seconds,
        capacityPercent = 100
    )

    private data class Case(
        val name: String,
        val read: HostProfile?,
        val signalled: Boolean,
        val after: Duration,
        val limit: Duration
    )

    private val before = profile(1, 5.seconds)
    private val changed = profile(1, 2.seconds)

    /** Guards against a changed bound that a running host ignores, and against bad settings. */
    private val cases =
        listOf(
            Case("changed, with a signal", changed, true, 100.milliseconds, 2.seconds),
            Case("changed, without a signal", changed, false, 6.seconds, 2.seconds),
            Case("not yet read", changed, false, 100.milliseconds, 5.seconds),
            Case("not valid", null, true, 6.seconds, 5.seconds),
            Case("another address", profile(9, 2.seconds), true, 100.milliseconds, 2.seconds)
        )

    @Test
    fun `bounds change while the host runs, addresses do not`() {
        cases.forEach { case ->
            runTest {
                val state = ForwardingState(before, SystemMonotonicClock)
                val watch = SettingsWatch({ case.read ?: throw INVALID }, state)
                val following = backgroundScope.launch { watch.follow() }
                if (case.signalled) watch.reload()
                delay(case.after)
                assertEquals(case.limit, state.profile.maximumRevocationDelay, case.name)
                assertEquals(before.callers, state.profile.callers, case.name)
                following.cancel()
            }
        }
    }

    private companion object {
        val INVALID = SapphireleverException(ErrorCode.INVALID_SETTING)
    }
}
