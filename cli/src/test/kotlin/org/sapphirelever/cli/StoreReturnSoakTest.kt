/*
 * Seeded soak of three forwarding hosts, as separate processes, whose configuration changes while
 * the store returns from older copies and hosts are frozen, killed and cut off.
 */
package org.sapphirelever.cli

import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference
import kotlin.io.path.createTempFile
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeout
import org.sapphirelever.core.forwarding.HostProfile
import org.sapphirelever.platform.CONFIGURATION_KEY
import org.sapphirelever.platform.POLL_MILLIS
import org.sapphirelever.platform.ReplicaStandIn
import org.sapphirelever.platform.StoreStandIn
import org.sapphirelever.platform.call
import org.sapphirelever.platform.hostProfile
import org.sapphirelever.platform.isReady

/**
 * Guards against a revoked key that is served again, and against a change that a host never learns
 * of. The system property `soak.seeds` sets the number of seeds of a long run.
 */
class StoreReturnSoakTest {
    /**
     * A host and the greatest version whose key it has accepted since its start; [disturbedAt] is
     * the end of the last disturbance of it or of the store.
     */
    private class Host(val profile: HostProfile, var process: Process) {
        val accepted = AtomicInteger()
        val disturbedAt = AtomicReference(TimeSource.Monotonic.markNow())
        val disturbances = Mutex()
    }

    /** The version in force, and when the store acknowledged it, after a return once more. */
    private data class Written(val version: Int, val at: TimeSource.Monotonic.ValueTimeMark)

    @Test
    fun `no host takes a revocation back, and all hosts follow changes`() {
        val seeds = Integer.getInteger("soak.seeds", 1)
        for (seed in 1..seeds) play(seed)
    }

    private fun play(seed: Int) {
        ReplicaStandIn().use { target ->
            val entries = mapOf(
                "servers/i-0" to entry(target),
                CONFIGURATION_KEY to configuration(1)
            )
            StoreStandIn(entries).use { store -> play(seed, store) }
        }
    }

    private fun play(seed: Int, store: StoreStandIn) {
        val hosts = List(HOSTS) {
            val profile = hostProfile("entry-$it", store.endpoint)
            Host(profile, start(profile))
        }
        try {
            runBlocking(Dispatchers.IO) {
                withTimeout(PLAY_TIME * 4) {
                    hosts.forEach { while (!isReady(it.profile)) delay(POLL_MILLIS) }
                    exercise(seed, store, hosts)
                }
            }
        } finally {
            hosts.forEach { it.process.destroyForcibly() }
        }
    }

    private suspend fun exercise(seed: Int, store: StoreStandIn, hosts: List<Host>) {
        val random = Random(seed)
        val written = AtomicReference(Written(1, TimeSource.Monotonic.markNow()))
        val checks = AtomicInteger()
        val returns = AtomicInteger()
        coroutineScope {
            val running = launch {
                hosts.forEach { host -> launch { check(seed, host, written, checks) } }
                launch { change(Random(random.nextInt()), store, hosts, written, returns) }
                launch { disturb(Random(random.nextInt()), hosts) }
            }
            delay(PLAY_TIME)
            running.cancelAndJoin()
        }
        println("seed $seed: ${written.get().version} versions, $returns returns, $checks checks")
        assertTrue(checks.get() > 0, "seed $seed: no check")
    }

    /** Changes the configuration, and lets the store be away and return. */
    private suspend fun change(
        random: Random,
        store: StoreStandIn,
        hosts: List<Host>,
        written: AtomicReference<Written>,
        returns: AtomicInteger
    ) {
        while (true) {
            delay(random.nextLong(MAXIMUM_GAP_MILLIS))
            when (random.nextInt(CHANGES)) {
                0, 1 -> {
                    val version = written.get().version + 1
                    store.put(CONFIGURATION_KEY, configuration(version))
                    written.set(Written(version, TimeSource.Monotonic.markNow()))
                }

                2 -> repeat(random.nextInt(MANY)) { store.put("other/$it", "x") }

                3 -> store.keepCopy()

                else -> {
                    store.isDown.set(true)
                    delay(random.nextLong(MAXIMUM_GAP_MILLIS))
                    store.returnFromCopy()
                    returns.incrementAndGet()
                    if (random.nextBoolean()) repeat(MANY) { store.put("later/$it", "x") }
                    store.isDown.set(false)
                    val now = TimeSource.Monotonic.markNow()
                    written.updateAndGet { it.copy(at = now) }
                    hosts.forEach { it.disturbedAt.set(now) }
                }
            }
        }
    }

    /** Freezes, stops, kills and restarts hosts, one at a time. */
    private suspend fun disturb(random: Random, hosts: List<Host>) {
        while (true) {
            delay(random.nextLong(MAXIMUM_GAP_MILLIS * 2))
            val host = hosts.random(random)
            host.disturbances.withLock {
                when (random.nextInt(DISTURBANCES)) {
                    0 -> {
                        signal("STOP", host.process)
                        delay(random.nextLong(MAXIMUM_GAP_MILLIS))
                        signal("CONT", host.process)
                    }

                    1 -> {
                        signal("TERM", host.process)
                        host.process.waitFor()
                        restart(host)
                    }

                    else -> {
                        host.process.destroyForcibly().waitFor()
                        restart(host)
                    }
                }
                host.disturbedAt.set(TimeSource.Monotonic.markNow())
            }
        }
    }

    private suspend fun restart(host: Host) {
        host.accepted.set(0)
        host.process = start(host.profile)
        while (!isReady(host.profile)) delay(POLL_MILLIS)
    }

    private suspend fun check(
        seed: Int,
        host: Host,
        written: AtomicReference<Written>,
        checks: AtomicInteger
    ) {
        while (true) {
            delay(POLL_MILLIS)
            host.disturbances.withLock {
                val now = TimeSource.Monotonic.markNow()
                val (version, at) = written.get()
                val isCalm = now - at > CHANGE_TIME &&
                    now - host.disturbedAt.get() > CONTACT_TIME
                val status = statusOf(host, version)
                val before = statusOf(host, version - 1)
                // The host may learn of another version between the two requests.
                if (written.get().version != version) return@withLock
                if (before == SERVED) {
                    val accepted = host.accepted.get()
                    assertTrue(version - 1 >= accepted, "seed $seed: $accepted, then $version - 1")
                }
                if (status == SERVED) host.accepted.set(version)
                if (!isCalm || written.get().at != at) return@withLock
                checks.incrementAndGet()
                assertEquals(SERVED, status, "seed $seed: version $version")
                assertEquals(UNKNOWN_KEY, before, "seed $seed: version $version, revoked key")
            }
        }
    }

    private suspend fun statusOf(host: Host, version: Int): Int = try {
        call(host.profile.callers, "/r/", "key-$version").first
    } catch (_: IOException) {
        0
    }

    private fun start(profile: HostProfile): Process {
        val settings = createTempFile("node", ".json").toFile()
        settings.writeText(settingsJson(profile, revocationMillis = 5_000))
        val output = createTempFile("host", ".log").toFile()
        return startForward(settings, profile.metrics.port, output)
    }

    private fun signal(name: String, process: Process) {
        ProcessBuilder("kill", "-$name", process.pid().toString()).start().waitFor()
    }

    private fun entry(target: ReplicaStandIn): String =
        """{"service":"koder","address":"${target.endpoint}","zone":"z","slots":4,""" +
            """"state":"ready","born":7,"sequence":3}"""

    /** Each version has a key of its own, and no other. */
    private fun configuration(version: Int): String =
        """{"version":$version,"routes":[{"name":"r","host":"a.example","prefix":"/r/",""" +
            """"kind":"idempotent","timeout-ms":3000,"slo-ms":500,"service":"koder",""" +
            """"max-attempts":2}],"services":[{"name":"koder"}],""" +
            """"tenants":[{"name":"t","api-keys":["key-$version"],"priority":1}],""" +
            """"limits":{"max-header-bytes":16384,"max-body-bytes":65536,""" +
            """"header-timeout-ms":3000,"idle-timeout-ms":15000}}"""

    private companion object {
        const val HOSTS = 3
        const val SERVED = 200
        const val UNKNOWN_KEY = 401
        const val CHANGES = 5
        const val DISTURBANCES = 3
        const val MANY = 30
        const val MAXIMUM_GAP_MILLIS = 1_800L
        val PLAY_TIME: Duration = 40.seconds

        /** Time within which a change is in force at a host that is in touch. */
        val CHANGE_TIME = 2_000.milliseconds

        /** Time after a disturbance from which a host counts as in touch. */
        val CONTACT_TIME = 3_000.milliseconds
    }
}
