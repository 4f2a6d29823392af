package org.sapphirelever.standins

import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.MonotonicTime

internal val EPHEMERAL = Endpoint("127.0.0.1", 0)

/** Timeout of a whole test; generous, since it only ends tests that hang. */
internal val TEST_TIMEOUT = 60.seconds

/** Clock that changes only by [advance]. */
internal class ManualClock : MonotonicClock {
    private val nanoseconds = AtomicLong()

    override fun now(): MonotonicTime = MonotonicTime(nanoseconds.get())

    fun advance(duration: Duration) {
        nanoseconds.addAndGet(duration.inWholeNanoseconds)
    }
}

/** Runs [standIns] while [body] runs. */
internal fun withStandIns(vararg standIns: StandIn, body: suspend CoroutineScope.() -> Unit) {
    runBlocking {
        withTimeout(TEST_TIMEOUT) {
            val tasks = standIns.map { launch(Dispatchers.Default) { it.run() } }
            standIns.forEach { it.boundEndpoint() }
            coroutineScope { body() }
            tasks.forEach { it.cancelAndJoin() }
        }
    }
}
