package org.sapphirelever.standins

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withContext
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.FencingNumber
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.resource.Service
import org.sapphirelever.core.resource.ServiceKind
import org.sapphirelever.decisions.Decision
import org.sapphirelever.decisions.capacity.CapacityLimits
import org.sapphirelever.runtime.capacity.CapacityController
import org.sapphirelever.runtime.capacity.CapacitySettings
import org.sapphirelever.runtime.capacity.EngineGroup
import org.sapphirelever.runtime.capacity.EngineOrders
import org.sapphirelever.runtime.capacity.EngineReport
import org.sapphirelever.runtime.capacity.OrderResult
import org.sapphirelever.runtime.store.LeaseRequestMessage
import org.sapphirelever.runtime.store.LeaseResult
import org.sapphirelever.runtime.store.ListedHost
import org.sapphirelever.runtime.store.Platform
import org.sapphirelever.runtime.store.StoredValue
import org.sapphirelever.runtime.store.WriteResult
import org.sapphirelever.wire.EngineState
import org.sapphirelever.wire.LoadMessage
import org.sapphirelever.wire.OrderMessage

/**
 * Guards against late orders of a paused lease holder that stay in force: after a take-over, all
 * engines must have the model of the new holder, also those that accept old fencing numbers. Holder
 * "old" orders the model "m1" and is paused once; holder "new" takes over and orders "m2".
 */
@OptIn(ExperimentalCoroutinesApi::class)
class CapacityControllerTest {
    private enum class Step { BEFORE_CHECK, BEFORE_SEND, AFTER_SEND, BEFORE_RENEWAL, AFTER_RENEWAL }

    /** [partitioned]: the old holder cannot reach the platform after its pause. */
    private data class Case(
        val step: Step,
        val honoursFencing: Boolean,
        val pause: Duration,
        val partitioned: Boolean
    )

    private val cases =
        Step.entries.flatMap { step ->
            listOf(true, false).flatMap { honoursFencing ->
                listOf(2.seconds, 11.seconds, 40.seconds).flatMap { pause ->
                    listOf(true, false).map { Case(step, honoursFencing, pause, it) }
                }
            }
        }

    /** Leases, engines and the recorded grants and orders of one case, on virtual time. */
    private class Fixture(val scope: TestScope, val honoursFencing: Boolean) {
        val clock = MonotonicClock { MonotonicTime(scope.currentTime * 1_000_000) }
        var leases = PlatformState()
        val grants = mutableListOf<Pair<Long, FencingNumber>>()
        val engines =
            (1..3)
                .associate {
                    engine(it) to EngineStandInState(PrefixCache(0, 0), NO_MODEL, NO_MODEL)
                }
                .toMutableMap()

        /** Orders by holder: virtual times (ms) of the decision to send and of the receipt. */
        val orders = mutableMapOf<String, List<Pair<Long, Long>>>()

        fun lease(
            transition: PlatformState.() -> Decision<PlatformState, PlatformReply>
        ): LeaseResult {
            val decision = leases.transition()
            leases = decision.state
            return when (val reply = decision.actions.single()) {
                is PlatformReply.LeaseHeld -> {
                    val fencing = FencingNumber(reply.lease.fencing)
                    if (grants.none { it.second == fencing }) grants += scope.currentTime to fencing
                    LeaseResult.Held(fencing)
                }

                is PlatformReply.LeaseRefused -> LeaseResult.HeldByOther(reply.lease.holder)

                else -> error("unexpected $reply")
            }
        }
    }

    /** A process that is paused once for [pause], at the first [step] from the start time on. */
    private class Process(
        val fixture: Fixture,
        val name: String,
        val step: Step? = null,
        val pause: Duration = Duration.ZERO,
        val partitioned: Boolean = false
    ) : Platform,
        EngineOrders {
        private var paused = false

        /** Pauses the process as a whole: its own timeouts cannot cancel the pause. */
        private suspend fun pauseIfAt(reached: Step) {
            if (reached != step || paused || fixture.scope.currentTime < PAUSE_START_MILLIS) return
            paused = true
            withContext(NonCancellable) { delay(pause) }
        }

        override suspend fun readBack(engine: Endpoint): EngineReport {
            delay(LATENCY)
            pauseIfAt(Step.BEFORE_CHECK)
            val state = fixture.engines.getValue(engine).toMessage()
            return EngineReport(state, LoadMessage(4, 4, 4, 0))
        }

        override suspend fun order(engine: Endpoint, message: OrderMessage): OrderResult {
            val decided = fixture.scope.currentTime
            pauseIfAt(Step.BEFORE_SEND)
            val received = fixture.scope.currentTime
            fixture.orders.merge(name, listOf(decided to received)) { all, one -> all + one }
            val decision = fixture.engines.getValue(engine).onOrder(message, fixture.honoursFencing)
            fixture.engines[engine] = decision.state.onLoaded(decision.state.desired)
            pauseIfAt(Step.AFTER_SEND)
            delay(LATENCY)
            val taken = decision.actions.single() is OrderReply.Taken
            return if (taken) OrderResult.TAKEN else OrderResult.OUTDATED
        }

        override suspend fun acquireLease(name: String, holder: String, timeToLive: Duration) =
            requestLease(holder, timeToLive) { request, now -> onAcquire(name, request, now) }

        override suspend fun renewLease(
            name: String,
            holder: String,
            fencing: FencingNumber,
            timeToLive: Duration
        ): LeaseResult {
            pauseIfAt(Step.BEFORE_RENEWAL)
            val result =
                requestLease(holder, timeToLive, fencing.value) { request, now ->
                    onRenew(name, request, now)
                }
            pauseIfAt(Step.AFTER_RENEWAL)
            return result
        }

        private suspend fun requestLease(
            holder: String,
            timeToLive: Duration,
            fencing: Long = 0,
            transition: PlatformState.(
                LeaseRequestMessage,
                MonotonicTime
            ) -> Decision<PlatformState, PlatformReply>
        ): LeaseResult {
            delay(LATENCY)
            if (partitioned && paused) return LeaseResult.Unclear("no connection")
            val request = LeaseRequestMessage(holder, timeToLive.inWholeMilliseconds, fencing)
            return fixture.lease { transition(request, fixture.clock.now()) }
        }

        override suspend fun releaseLease(name: String, holder: String, fencing: FencingNumber) =
            Unit

        override suspend fun read(key: String): StoredValue = StoredValue("", 0)

        override suspend fun watch(key: String, after: Long, wait: Duration): StoredValue? = null

        override suspend fun hosts(): List<ListedHost>? = null

        override suspend fun compareAndSwap(key: String, expected: Long, value: String) =
            WriteResult.Written(expected + 1)
    }

    @Test
    fun `a paused holder does not leave its orders in force`() = cases.forEach(::check)

    private fun check(case: Case) = runTest {
        val fixture = Fixture(this, case.honoursFencing)
        // The engines lose their model before the pause, so that "old" then has an order to send.
        val old = Process(fixture, "old", case.step, case.pause, case.partitioned)
        val new = Process(fixture, "new")
        backgroundScope.launch { controller(old, "m1").run() }
        advanceTimeBy(PAUSE_START_MILLIS)
        assertTrue(
            fixture.engines.values.all { it.actual.model == "m1" },
            "$case: before the pause"
        )
        fixture.engines.replaceAll { _, engine ->
            engine.copy(desired = NO_MODEL, actual = NO_MODEL)
        }
        backgroundScope.launch { controller(new, "m2").run() }
        advanceTimeBy((case.pause + SETTLE_TIME).inWholeMilliseconds)

        val takeOver = fixture.grants.getOrNull(1)?.first
        val models = fixture.engines.values.map { it.actual.model }.toSet()
        assertEquals(setOf(if (takeOver == null) "m1" else "m2"), models, "$case")
        assertEquals(case.partitioned || case.pause > 15.seconds, takeOver != null, "$case")
        if (takeOver == null) return@runTest
        val oldOrders = fixture.orders.getValue("old")
        val decidedLate = oldOrders.filter { it.first > takeOver }
        assertEquals(emptyList(), decidedLate, "$case: decided after the take-over")
        val receivedLate = oldOrders.count { it.second > takeOver }
        val firstOrder = fixture.orders.getValue("new").minOf { it.first }
        assertTrue(
            firstOrder >= takeOver + FIRST_ORDER_DELAY_MILLIS,
            "$case: $takeOver, $firstOrder"
        )
        val late = case.step == Step.BEFORE_SEND && case.pause > 15.seconds
        assertEquals(late, receivedLate > 0, "$case: $receivedLate late")
    }

    private fun controller(process: Process, model: String): CapacityController {
        val service =
            Service(ServiceName("s"), ServiceKind.ENGINE, model = model, minimumTargets = 3)
        val engines = process.fixture.engines.keys.associateBy { TargetId("t${it.port}") }
        val settings =
            CapacitySettings(
                dataCentre = DataCentre("dc"),
                holder = process.name,
                groups = { listOf(EngineGroup(service, engines)) },
                limits = CapacityLimits(loadsPerMinute = 100)
            )
        return CapacityController(settings, process, process, process.fixture.clock)
    }

    private companion object {
        val NO_MODEL = EngineState("")
        val LATENCY = 2.milliseconds
        val SETTLE_TIME = 60.seconds
        const val PAUSE_START_MILLIS = 30_000L

        /** Least time from grant to first order: order timeout of 3 s and a margin of 5 s. */
        const val FIRST_ORDER_DELAY_MILLIS = 8_000L

        fun engine(port: Int) = Endpoint("127.0.0.1", port)
    }
}
