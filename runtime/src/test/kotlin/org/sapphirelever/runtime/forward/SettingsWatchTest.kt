/*
 * Tests the reload of settings while a host runs.
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
        maximumConfigurationDelay = 2.seconds,
        retryBudgetRatio = 0.2,
        retryBudgetExtra = 60,
        retryBudgetWindow = 10.seconds,
        minimumLeaseTtl = 1.seconds,
        capacityPercent = 100
    )

    /** [profile] is what the source returns, or null if the settings are invalid. */
    private data class Case(
        val name: String,
        val profile: HostProfile?,
        val signalled: Boolean,
        val checkAfter: Duration,
        val expectedLimit: Duration
    )

    private val before = profile(1, 5.seconds)
    private val changed = profile(1, 2.seconds)

    /** Guards against a running host that ignores a changed bound or applies invalid settings. */
    private val cases =
        listOf(
            Case("changed, with a signal", changed, true, 100.milliseconds, 2.seconds),
            Case("changed, without a signal", changed, false, 6.seconds, 2.seconds),
            Case("changed, not reloaded yet", changed, false, 100.milliseconds, 5.seconds),
            Case("invalid settings", null, true, 6.seconds, 5.seconds),
            Case("address also changed", profile(9, 2.seconds), true, 100.milliseconds, 2.seconds)
        )

    @Test
    fun `changed bounds apply while the host runs, changed addresses do not`() {
        cases.forEach { case ->
            runTest {
                val state = ForwardingState(before, SystemMonotonicClock)
                val watch = SettingsWatch({ case.profile ?: throw INVALID }, state)
                val following = backgroundScope.launch { watch.follow() }
                if (case.signalled) watch.reload()
                delay(case.checkAfter)
                assertEquals(case.expectedLimit, state.profile.maximumRevocationDelay, case.name)
                assertEquals(before.callers, state.profile.callers, case.name)
                following.cancel()
            }
        }
    }

    private companion object {
        val INVALID = SapphireleverException(ErrorCode.INVALID_SETTING)
    }
}
