package org.sapphirelever.standins

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import org.sapphirelever.core.FencingNumber
import org.sapphirelever.runtime.store.HttpPlatform
import org.sapphirelever.runtime.store.LeaseResult
import org.sapphirelever.runtime.store.ListedHostMessage
import org.sapphirelever.runtime.store.StoredValue
import org.sapphirelever.runtime.store.WeightResult
import org.sapphirelever.runtime.store.WriteResult

/** Guards against a client that treats an ambiguous reply as a refusal or as a success. */
class HttpPlatformTest {
    private class Case(
        val name: String,
        val limits: PlatformLimits = PlatformLimits(),
        val faults: PlatformFaults = PlatformFaults(),
        val run: suspend Fixture.() -> Unit
    )

    private class Fixture(
        val standIn: PlatformStandIn,
        val clock: ManualClock,
        val client: HttpPlatform,
        val scope: CoroutineScope
    )

    private val writes =
        listOf(
            Case("conflict names the stored revision") {
                assertEquals(WriteResult.Written(1), client.compareAndSwap(KEY, 0, "a"))
                assertEquals(WriteResult.Conflict(1), client.compareAndSwap(KEY, 0, "b"))
                assertEquals(StoredValue("a", 1), client.read(KEY))
            },
            Case(
                "lost reply is unclear and took effect",
                faults = PlatformFaults(lostReplies = 1)
            ) {
                assertIs<WriteResult.Unclear>(client.compareAndSwap(KEY, 0, "a"))
                assertEquals(StoredValue("a", 1), client.read(KEY))
                assertEquals(WriteResult.Written(2), client.compareAndSwap(KEY, 1, "b"))
            },
            Case("outage refuses and writes nothing", faults = PlatformFaults(outage = true)) {
                assertIs<WriteResult.Unavailable>(client.compareAndSwap(KEY, 0, "a"))
                assertNull(client.read(KEY))
                assertNull(client.hosts())
                assertIs<LeaseResult.Unclear>(client.acquireLease(LEASE, "a", TTL))
                standIn.setFaults(PlatformFaults())
                assertEquals(StoredValue("", 0), client.read(KEY))
            },
            Case("throttled write is refused", limits = PlatformLimits(writesPerSecond = 1)) {
                assertEquals(WriteResult.Written(1), client.compareAndSwap(KEY, 0, "a"))
                assertIs<WriteResult.Unavailable>(client.compareAndSwap(KEY, 1, "b"))
                clock.advance(1.seconds)
                assertEquals(WriteResult.Written(2), client.compareAndSwap(KEY, 1, "b"))
                assertEquals(3, standIn.counts().calls["write"])
                assertEquals(1, standIn.counts().refused)
            },
            Case(
                "missing reply is unclear after the timeout",
                faults = PlatformFaults(silent = true)
            ) {
                assertIs<WriteResult.Unclear>(client.compareAndSwap(KEY, 0, "a"))
                assertNull(client.read(KEY))
            }
        )

    private val leases =
        listOf(
            Case("expired lease cannot be renewed and the next grant has a greater number") {
                val first = FencingNumber(1)
                assertEquals(LeaseResult.Held(first), client.acquireLease(LEASE, "a", TTL))
                assertEquals(LeaseResult.HeldByOther("a"), client.acquireLease(LEASE, "b", TTL))
                clock.advance(TTL - 1.seconds)
                assertEquals(LeaseResult.Held(first), client.renewLease(LEASE, "a", first, TTL))
                clock.advance(TTL - 1.seconds)
                assertEquals(LeaseResult.HeldByOther("a"), client.acquireLease(LEASE, "b", TTL))
                clock.advance(1.seconds)
                val second = FencingNumber(2)
                assertEquals(LeaseResult.Held(second), client.acquireLease(LEASE, "b", TTL))
                assertEquals(
                    LeaseResult.HeldByOther("b"),
                    client.renewLease(LEASE, "a", first, TTL)
                )
                client.releaseLease(LEASE, "a", first)
                assertEquals(LeaseResult.HeldByOther("b"), client.acquireLease(LEASE, "a", TTL))
                client.releaseLease(LEASE, "b", second)
                val third = FencingNumber(3)
                assertEquals(LeaseResult.Held(third), client.acquireLease(LEASE, "a", TTL))
            },
            Case(
                "lease request repeated after a lost reply keeps its number",
                faults = PlatformFaults(lostReplies = 1)
            ) {
                assertIs<LeaseResult.Unclear>(client.acquireLease(LEASE, "a", TTL))
                val held = LeaseResult.Held(FencingNumber(1))
                assertEquals(held, client.acquireLease(LEASE, "a", TTL))
            }
        )

    private val reads =
        listOf(
            Case("watch returns the change and counts as waiting") {
                val change = scope.async { client.watch(KEY, 0, 30.seconds) }
                while (standIn.counts().waitingWatches == 0) delay(1.milliseconds)
                assertEquals(WriteResult.Written(1), client.compareAndSwap(KEY, 0, "a"))
                assertEquals(StoredValue("a", 1), change.await())
                assertNull(client.watch(KEY, 1, 10.milliseconds))
                assertEquals(0, standIn.counts().waitingWatches)
                assertEquals(2, standIn.counts().calls["watch"])
            },
            Case("host list lags", limits = PlatformLimits(hostLagMillis = 2_000)) {
                standIn.putHost(ListedHostMessage("t", "s", "dc", "127.0.0.1", 1))
                assertEquals(emptyList(), client.hosts())
                clock.advance(2.seconds)
                assertEquals(listOf("t"), client.hosts()?.map { it.id })
                standIn.removeHost("t")
                assertEquals(listOf("t"), client.hosts()?.map { it.id })
                clock.advance(2.seconds)
                assertEquals(emptyList(), client.hosts())
            },
            Case("weight store throttles", limits = PlatformLimits(weightsPerMinute = 1)) {
                assertIs<WeightResult.Fetched>(client.fetch("m"))
                assertEquals(WeightResult.Throttled, client.fetch("m"))
                clock.advance(60.seconds)
                assertIs<WeightResult.Fetched>(client.fetch("m"))
            }
        )

    @Test
    fun `writes are reported as done, refused or unclear`() = writes.forEach(::check)

    @Test
    fun `leases have one holder and rising fencing numbers`() = leases.forEach(::check)

    @Test
    fun `reads, watches and weight fetches follow state and limits`() = reads.forEach(::check)

    private fun check(case: Case) {
        val clock = ManualClock()
        val standIn = PlatformStandIn(EPHEMERAL, case.limits, case.faults, clock)
        try {
            withStandIns(standIn) {
                HttpPlatform(standIn.boundEndpoint(), CALL_TIMEOUT).use { client ->
                    val run = case.run
                    Fixture(standIn, clock, client, this).run()
                }
            }
        } catch (failure: Throwable) {
            throw AssertionError("case '${case.name}'", failure)
        }
    }

    private companion object {
        const val KEY = "sapphirelever/configuration"
        const val LEASE = "sapphirelever/capacity/krakow-a"
        val TTL = 15.seconds

        /** Long enough for a busy machine; only cases without a reply wait that long. */
        val CALL_TIMEOUT = 2.seconds
    }
}
