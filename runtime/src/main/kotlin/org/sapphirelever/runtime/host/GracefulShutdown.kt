/*
 * Performs the actions that decisions.shutdown returns: admits or refuses calls, waits, runs the
 * stop steps and reports the exit code.
 */
package org.sapphirelever.runtime.host

import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.ExitCode
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.SapphireleverException
import org.sapphirelever.decisions.shutdown.ShutdownAction
import org.sapphirelever.decisions.shutdown.ShutdownEvent
import org.sapphirelever.decisions.shutdown.ShutdownState
import org.sapphirelever.decisions.shutdown.ShutdownTimes
import org.sapphirelever.decisions.shutdown.on
import org.sapphirelever.runtime.StateCell
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.runtime.log.logWarning

/** Graceful shutdown of one process. [steps] run in list order after the last call has ended. */
public class GracefulShutdown(
    times: ShutdownTimes,
    private val clock: MonotonicClock,
    private val steps: List<StopStep>
) {
    private val state = StateCell(ShutdownState(times))
    private val callNumbers = AtomicLong()
    private val pendingActions = Channel<ShutdownAction>(Channel.UNLIMITED)
    private val exit = CompletableDeferred<ExitCode>()
    private val callsEnd = CompletableDeferred<Unit>()

    /** Whether the host reports to the load balancer that it is ready. */
    public val announcesReady: Boolean get() = state.value.announcesReady

    /** Number of calls that have not been answered. */
    public val outstanding: Int get() = state.value.inFlight.size

    /** Whether calls in flight have been told to end. */
    public val endsCalls: Boolean get() = callsEnd.isCompleted

    /** Whether work of [duration] that starts now ends before the host stops. */
    public fun hasTimeFor(duration: Duration): Boolean =
        state.value.hasTimeFor(duration, clock.now())

    /** Waits until calls in flight must end with a final answer. */
    public suspend fun awaitCallsEnd() {
        callsEnd.await()
    }

    /** Called on SIGTERM or SIGINT, from any thread. */
    public fun signal() {
        logEvent("signal-received") {
            "phase" to state.value.phase
            "outstanding" to outstanding
        }
        dispatch(ShutdownEvent.Signal)
    }

    /**
     * Runs [call] and makes the shutdown wait for it. [maximumDuration] is an upper bound of its
     * duration, or null if none is known.
     *
     * @throws SapphireleverException with [ErrorCode.STOPPING]; then [call] was not started
     */
    public suspend fun <T> admit(
        label: String,
        maximumDuration: Duration? = null,
        call: suspend () -> T
    ): T {
        val number = callNumbers.incrementAndGet()
        val arrival = ShutdownEvent.CallArrived(number, label, maximumDuration)
        val admitted = state.decide { it.on(arrival, clock.now()) }
        if (ShutdownAction.Refuse in admitted) throw SapphireleverException(ErrorCode.STOPPING)
        return try {
            call()
        } finally {
            dispatch(ShutdownEvent.CallEnded(number))
        }
    }

    /**
     * Runs [call], and cancels it when calls must end because the host stops.
     *
     * @throws SapphireleverException with [ErrorCode.STOPPED] if [call] was cancelled
     */
    public suspend fun <T> cancelledAtEnd(call: suspend () -> T): T = coroutineScope {
        val calling = async { call() }
        val watch = launch {
            awaitCallsEnd()
            calling.cancel()
        }
        try {
            calling.await()
        } catch (cancelled: CancellationException) {
            ensureActive()
            // The call may also have cancelled itself, for example to close its connection.
            if (!endsCalls) throw cancelled
            throw SapphireleverException(ErrorCode.STOPPED)
        } finally {
            watch.cancel()
        }
    }

    /** Waits for a signal, performs the shutdown and returns the exit code of the process. */
    public suspend fun awaitExit(): ExitCode = coroutineScope {
        val worker = launch { for (action in pendingActions) launch { perform(action) } }
        val code = exit.await()
        worker.cancel()
        code
    }

    private fun dispatch(event: ShutdownEvent) {
        state.decide { it.on(event, clock.now()) }.forEach { action ->
            when (action) {
                is ShutdownAction.Exit -> exit.complete(action.code)
                is ShutdownAction.ReportCutOff -> reportCutOff(action)
                ShutdownAction.EndCalls -> endCalls()
                else -> pendingActions.trySend(action)
            }
        }
    }

    private fun endCalls() {
        logEvent("calls-ended") { "outstanding" to outstanding }
        callsEnd.complete(Unit)
    }

    private fun reportCutOff(action: ShutdownAction.ReportCutOff) {
        logWarning("request-cut-off") { "call" to action.label }
    }

    private suspend fun perform(action: ShutdownAction) {
        when (action) {
            is ShutdownAction.TickAt -> {
                delay(action.time - clock.now())
                dispatch(ShutdownEvent.Tick)
            }

            ShutdownAction.RunSteps -> runSteps()

            else -> Unit
        }
    }

    private suspend fun runSteps() {
        for (step in steps) {
            val result = withTimeoutOrNull(STEP_TIMEOUT) { runStep(step) }
            logEvent("stop-step-ended") {
                "step" to step.name
                "result" to (result ?: "timeout")
            }
        }
        dispatch(ShutdownEvent.StepsEnded)
    }

    private suspend fun runStep(step: StopStep): String = try {
        step.run()
        "done"
    } catch (cancelled: CancellationException) {
        currentCoroutineContext().ensureActive()
        "failed: $cancelled"
    } catch (failure: Exception) {
        "failed: $failure"
    }

    private companion object {
        /** Keeps a step whose peer or platform does not answer from blocking the exit. */
        val STEP_TIMEOUT = 5.seconds
    }
}
