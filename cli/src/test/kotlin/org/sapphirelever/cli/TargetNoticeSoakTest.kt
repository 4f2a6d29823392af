/*
 * Seeded soak of a forwarding host, as a separate process, before targets that leave, restart and
 * ask for pauses while the store is away and settings are reloaded.
 */
package org.sapphirelever.cli

import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.sapphirelever.core.forwarding.HostProfile
import org.sapphirelever.platform.CONFIGURATION_KEY
import org.sapphirelever.platform.NoticeTargetStandIn
import org.sapphirelever.platform.StoreStandIn
import org.sapphirelever.platform.call
import org.sapphirelever.platform.hostProfile

/**
 * Guards against requests that reach a target after it stated that it leaves, or within its pause.
 * The system property `soak.seeds` sets the number of seeds of a long run.
 */
class TargetNoticeSoakTest {
    @Test
    fun `targets that leave or want a pause get no requests`() {
        val seeds = Integer.getInteger("soak.seeds", SHORT_RUN)
        for (seed in 1..seeds) play(seed)
    }

    private fun play(seed: Int) {
        val targets = List(TARGETS) { NoticeTargetStandIn() }
        val entries =
            targets.indices.associate { "servers/i-$it" to entry(targets[it]) } +
                (CONFIGURATION_KEY to CONFIGURATION)
        StoreStandIn(entries).use { store ->
            val profile = hostProfile("entry-1", store.endpoint)
            withForwardProcess(profile) { process, _ ->
                exercise(Random(seed), profile, targets, store, process)
                check(seed, targets)
                assertTrue(process.isAlive, "seed $seed")
            }
        }
        targets.forEach { it.close() }
    }

    private fun check(seed: Int, targets: List<NoticeTargetStandIn>) {
        val late = targets.sumOf { it.lateAfterDeparture.get() }
        val paused = targets.sumOf { it.withinPause.get() }
        val notices = targets.sumOf { it.notices.get() }
        val requests = targets.sumOf { it.received.get() }
        println("seed $seed: $requests requests, $notices notices, $late late, $paused in pauses")
        assertTrue(notices > 0, "seed $seed: no notice was received")
        assertEquals(0 to 0, late to paused, "seed $seed: requests after departures, in pauses")
    }

    private suspend fun exercise(
        random: Random,
        profile: HostProfile,
        targets: List<NoticeTargetStandIn>,
        store: StoreStandIn,
        process: Process
    ) = coroutineScope {
        val end = TimeSource.Monotonic.markNow() + PLAY_TIME
        val numbers = AtomicInteger()
        repeat(CALLERS) {
            launch {
                while (end.hasNotPassedNow()) {
                    call(profile.callers, "/once/", null, id = "r${numbers.incrementAndGet()}")
                }
            }
        }
        // The last target gives no notices, so that requests are always served.
        targets.dropLast(1).forEachIndexed { index, target ->
            launchNotices(Random(random.nextInt()), end, target) {
                store.put("servers/i-$index", entry(target))
            }
        }
        launch {
            while (end.hasNotPassedNow()) {
                delay(random.nextLong(MAXIMUM_GAP_MILLIS))
                store.isDown.set(!store.isDown.get())
                ProcessBuilder("kill", "-HUP", process.pid().toString()).start().waitFor()
            }
        }
    }

    private fun CoroutineScope.launchNotices(
        random: Random,
        end: TimeSource.Monotonic.ValueTimeMark,
        target: NoticeTargetStandIn,
        register: () -> Unit
    ) = launch {
        while (end.hasNotPassedNow()) {
            delay(random.nextLong(MAXIMUM_GAP_MILLIS))
            if (random.nextBoolean()) {
                target.askForPause(random.nextDuration())
            } else {
                target.leave()
                delay(random.nextLong(MAXIMUM_GAP_MILLIS))
                // A record that is written again does not end a departure.
                register()
                delay(random.nextLong(MAXIMUM_GAP_MILLIS))
                target.restart()
                register()
            }
        }
    }

    private fun Random.nextDuration(): Duration = nextLong(MAXIMUM_GAP_MILLIS).milliseconds

    private fun entry(target: NoticeTargetStandIn): String =
        """{"service":"koder","address":"${target.endpoint}","zone":"z","slots":4,""" +
            """"state":"ready","born":${target.startedAt}}"""

    private companion object {
        /** Seeds of the run in CI. */
        const val SHORT_RUN = 2
        const val TARGETS = 5
        const val CALLERS = 6
        const val MAXIMUM_GAP_MILLIS = 1_800L
        val PLAY_TIME = 8.seconds

        const val CONFIGURATION =
            """{"version":3,"routes":[{"name":"once","host":"a.example","prefix":"/once/",""" +
                """"kind":"non_idempotent","timeout-ms":3000,"slo-ms":500,"service":"koder",""" +
                """"max-attempts":2,"anonymous":true}],"services":[{"name":"koder"}],""" +
                """"limits":{"max-header-bytes":16384,"max-body-bytes":65536,""" +
                """"header-timeout-ms":3000,"idle-timeout-ms":15000}}"""
    }
}
