/*
 * Graceful shutdown of an entry host. The first signal makes the host unready and starts the
 * balancer delay; then new requests are refused while those in flight finish, at most for the
 * drain limit; then those left are told to end with a final answer; then the stop steps run. A
 * second signal skips all waits.
 */
package org.sapphirelever.decisions.shutdown

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.sapphirelever.core.ExitCode
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.decisions.Decision
import org.sapphirelever.decisions.decide

/** Phases of a shutdown, in their order. */
public enum class ShutdownPhase { SERVING, ANNOUNCED, DRAINING, ENDING, STEPPING, STOPPED }

/**
 * Progress of a shutdown.
 *
 * @property waitEnd end of the wait of the present phase
 * @property workEnd end of the work for callers, at which calls in flight are told to end; null
 *   before the first signal
 * @property inFlight description of each unfinished call, by its number
 */
public data class ShutdownState(
    public val times: ShutdownTimes,
    public val phase: ShutdownPhase = ShutdownPhase.SERVING,
    public val waitEnd: MonotonicTime = MonotonicTime.ZERO,
    public val workEnd: MonotonicTime? = null,
    public val inFlight: PersistentMap<Long, String> = persistentMapOf()
) {
    /** Whether the host reports to the load balancer that it is ready. */
    public val announcesReady: Boolean get() = phase == ShutdownPhase.SERVING

    /**
     * Whether a new call that takes at most [maximumDuration] is admitted: always until the
     * balancer delay has passed, and during the drain only if it ends before the drain limit.
     */
    public fun admits(maximumDuration: Duration?, now: MonotonicTime): Boolean = when (phase) {
        ShutdownPhase.SERVING, ShutdownPhase.ANNOUNCED -> true
        ShutdownPhase.DRAINING -> maximumDuration != null && now + maximumDuration < waitEnd
        ShutdownPhase.ENDING, ShutdownPhase.STEPPING, ShutdownPhase.STOPPED -> false
    }

    /** Whether work of [duration] that starts now ends before the host stops. */
    public fun hasTimeFor(duration: Duration, now: MonotonicTime): Boolean =
        workEnd == null || now + duration < workEnd
}

public sealed interface ShutdownEvent {
    /** SIGTERM or SIGINT. */
    public data object Signal : ShutdownEvent

    /** A call arrived that takes at most [maximumDuration]; null if that is not known. */
    public data class CallArrived(
        public val call: Long,
        public val label: String,
        public val maximumDuration: Duration? = null
    ) : ShutdownEvent

    public data class CallEnded(public val call: Long) : ShutdownEvent

    /** The wait of the present phase may have ended. */
    public data object Tick : ShutdownEvent

    public data object StepsEnded : ShutdownEvent
}

public sealed interface ShutdownAction {
    public data object Admit : ShutdownAction

    /** Answer the call with the code `stopping`; it does not run. */
    public data object Refuse : ShutdownAction

    /** Send a tick at [time]. */
    public data class TickAt(public val time: MonotonicTime) : ShutdownAction

    /** Tell all calls in flight to end with a final answer. */
    public data object EndCalls : ShutdownAction

    /** Run the stop steps, in their order. */
    public data object RunSteps : ShutdownAction

    /** The call described by [label] ends without its answer. */
    public data class ReportCutOff(public val label: String) : ShutdownAction

    public data class Exit(public val code: ExitCode) : ShutdownAction
}

public fun ShutdownState.on(
    event: ShutdownEvent,
    now: MonotonicTime
): Decision<ShutdownState, ShutdownAction> = when (event) {
    ShutdownEvent.Signal -> onSignal(now)
    is ShutdownEvent.CallArrived -> onArrival(event, now)
    is ShutdownEvent.CallEnded -> copy(inFlight = inFlight.remove(event.call)).advance(now)
    ShutdownEvent.Tick -> advance(now)
    ShutdownEvent.StepsEnded -> onStepsEnded()
}

private fun ShutdownState.onSignal(now: MonotonicTime): Decision<ShutdownState, ShutdownAction> =
    when (phase) {
        ShutdownPhase.SERVING -> {
            val end = now + times.balancerDelay
            copy(
                phase = ShutdownPhase.ANNOUNCED,
                waitEnd = end,
                workEnd = end + times.drainLimit
            ).decide(ShutdownAction.TickAt(end))
        }

        ShutdownPhase.STOPPED -> decide()

        else -> exitImmediately()
    }

private fun ShutdownState.exitImmediately(): Decision<ShutdownState, ShutdownAction> {
    val actions = cutOffReports() + ShutdownAction.Exit(ExitCode.CUT_SHORT)
    return copy(phase = ShutdownPhase.STOPPED).decide(*actions.toTypedArray())
}

private fun ShutdownState.cutOffReports(): List<ShutdownAction> =
    inFlight.toSortedMap().values.map { ShutdownAction.ReportCutOff(it) }

private fun ShutdownState.onArrival(
    event: ShutdownEvent.CallArrived,
    now: MonotonicTime
): Decision<ShutdownState, ShutdownAction> {
    if (!admits(event.maximumDuration, now)) return decide(ShutdownAction.Refuse)
    return copy(inFlight = inFlight.put(event.call, event.label)).decide(ShutdownAction.Admit)
}

private fun ShutdownState.advance(now: MonotonicTime): Decision<ShutdownState, ShutdownAction> =
    when (phase) {
        ShutdownPhase.ANNOUNCED -> if (now < waitEnd) decide() else startDrain(now)

        ShutdownPhase.DRAINING -> when {
            inFlight.isEmpty() -> startSteps()
            now >= waitEnd -> endCalls(now)
            else -> decide()
        }

        ShutdownPhase.ENDING ->
            if (inFlight.isEmpty() || now >= waitEnd) startSteps() else decide()

        else -> decide()
    }

private fun ShutdownState.startDrain(now: MonotonicTime): Decision<ShutdownState, ShutdownAction> {
    if (inFlight.isEmpty()) return startSteps()
    val end = workEnd ?: (now + times.drainLimit)
    return copy(phase = ShutdownPhase.DRAINING, waitEnd = end).decide(ShutdownAction.TickAt(end))
}

private fun ShutdownState.endCalls(now: MonotonicTime): Decision<ShutdownState, ShutdownAction> {
    val end = now + times.answerTime
    return copy(phase = ShutdownPhase.ENDING, waitEnd = end)
        .decide(ShutdownAction.EndCalls, ShutdownAction.TickAt(end))
}

private fun ShutdownState.startSteps(): Decision<ShutdownState, ShutdownAction> {
    val actions = cutOffReports() + ShutdownAction.RunSteps
    return copy(phase = ShutdownPhase.STEPPING).decide(*actions.toTypedArray())
}

private fun ShutdownState.onStepsEnded(): Decision<ShutdownState, ShutdownAction> =
    if (phase == ShutdownPhase.STEPPING) {
        copy(phase = ShutdownPhase.STOPPED).decide(ShutdownAction.Exit(ExitCode.SUCCESS))
    } else {
        decide()
    }
