/*
 * Simulated targets. A call drives the attempt state machine through the steps of a request; the
 * simulation applies the faults of the cell when their step is reached.
 */
package org.sapphirelever.faults

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import org.sapphirelever.core.AttemptId
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.Incarnation
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.RequestId
import org.sapphirelever.decisions.attempt.AnswerIdentity
import org.sapphirelever.decisions.attempt.AttemptAction
import org.sapphirelever.decisions.attempt.AttemptEvent
import org.sapphirelever.decisions.attempt.AttemptResult
import org.sapphirelever.decisions.attempt.AttemptState
import org.sapphirelever.decisions.attempt.RefusalReason
import org.sapphirelever.decisions.attempt.StageAnswer
import org.sapphirelever.decisions.attempt.StreamProgress
import org.sapphirelever.decisions.attempt.TokenAction
import org.sapphirelever.decisions.attempt.on
import org.sapphirelever.decisions.attempt.onToken
import org.sapphirelever.decisions.routing.Target
import org.sapphirelever.runtime.target.CallResult
import org.sapphirelever.runtime.target.ReportedLoad
import org.sapphirelever.runtime.target.TargetCall
import org.sapphirelever.runtime.target.TargetClient
import org.sapphirelever.runtime.target.TokenSink

/**
 * One target.
 *
 * @property process number of the current process, which each restart increases
 * @property silencesConnection whether the next check of a connection finds it silent; the check
 *   clears it, so that only one connection is silent
 * @property crossesAnswers whether answers of another request and another attempt arrive before the
 *   right answer; that one arrives twice, and so does each token
 */
internal class SimulatedTarget(val target: Target) {
    var alive = true
    var process = 1
    var slowFactor = 1
    var reportsFalseLoad = false
    var silencesConnection = false
    var crossesAnswers = false
    var leavingSince: MonotonicTime? = null

    val incarnation: Incarnation get() = Incarnation("${target.id.value}#$process")

    fun kill() {
        alive = false
        process++
    }
}

/** Calls of [host] to the targets of [simulation]. */
internal class SimulatedTargetClient(
    private val simulation: Simulation,
    private val host: SimulatedHost
) : TargetClient {
    override suspend fun reachable(target: Target): Boolean =
        simulation.isConnected(host, simulation.target(target.id))

    override suspend fun call(call: TargetCall, tokens: TokenSink): CallResult {
        host.awaitRunning()
        return SimulatedCall(simulation, host, call, tokens).run()
    }
}

/** One call and its connections; a stream that resumes opens a new one. */
private class SimulatedCall(
    private val simulation: Simulation,
    private val host: SimulatedHost,
    private val call: TargetCall,
    private val tokens: TokenSink
) {
    private val target = simulation.target(call.target.id)
    private val process = target.process
    private val startedAt = simulation.clock.now()
    private var state: AttemptState = AttemptState.Prepared(call.attempt)
    private var streamProgress = StreamProgress()
    private var droppedAnswers = 0
    private var resumes = 0
    private var connectionBroken = false
    private var connectionSilent = false
    private val output = "${call.attempt.stage.value}(${call.input})"
    private val isFaultStage = call.attempt.stage.value == simulation.cell.pipeline.stage

    suspend fun run(): CallResult {
        connect()
        if (!isFinished) send()
        if (!isFinished) receiveAnswer()
        val result = (state as? AttemptState.Finished)?.result
            ?: AttemptResult.MayHaveRun(ErrorCode.TARGET_LOST)
        if (droppedAnswers > 0) recordEffect(Fault.F16)
        if (target.reportsFalseLoad) recordEffect(Fault.F5)
        return CallResult(result, reportedLoad(), droppedAnswers, resumes, connectionBroken)
    }

    private val isFinished: Boolean get() = state is AttemptState.Finished

    private fun on(event: AttemptEvent) {
        val decision = state.on(event)
        state = decision.state
        droppedAnswers += decision.actions.count { it is AttemptAction.DropForeignAnswer }
    }

    private suspend fun reachStep(step: Step) {
        if (isFaultStage) simulation.onStep(step, host, target)
        host.awaitRunning()
    }

    private fun recordEffect(vararg faults: Fault) {
        simulation.effectiveFaults.addAll(faults)
    }

    private suspend fun connect() {
        if (isFaultStage) simulation.onStageCall(target)
        on(AttemptEvent.ConnectStarted)
        reachStep(Step.CONNECT)
        delay(ROUND_TRIP)
        if (!simulation.isConnected(host, target) || target.process != process) {
            target.silencesConnection = false
            if (!target.alive) recordEffect(Fault.F3, Fault.F17)
            on(AttemptEvent.ConnectFailed)
        }
    }

    private suspend fun send() {
        on(AttemptEvent.SendStarted)
        reachStep(Step.SEND)
        if (detectLoss() || target.process != process) return
        val refused = target.leavingSince != null
        simulation.recorder.runs.add(
            TargetRun(
                call.attempt.request.value,
                call.attempt.stage.value,
                call.attempt.number,
                call.key,
                target.target.id.value,
                call.input,
                simulation.clock.now(),
                ran = !refused,
                leavingSince = target.leavingSince
            )
        )
        if (refused) {
            recordEffect(Fault.F17)
            simulation.reportLeaving(target)
            on(AttemptEvent.Refused(RefusalReason.LEAVING))
        } else if (call.input == simulation.poisonedInput && isFaultStage) {
            target.kill()
            simulation.crashedTargets++
            recordEffect(Fault.F13)
            detectLoss()
        }
    }

    private suspend fun receiveAnswer() {
        if (target.slowFactor > 1) recordEffect(Fault.F4)
        delay(WORK_TIME * target.slowFactor)
        reachStep(Step.FIRST_BYTE)
        if (detectLoss() || detectTimeout()) return
        on(AttemptEvent.AnswerStarted)
        val parts = output.chunked(maxOf(1, output.length / ANSWER_PARTS))
        for ((index, part) in parts.withIndex()) {
            if (index == parts.size / 2) reachStep(Step.MID_STREAM)
            if (detectLoss() || detectTimeout()) return
            deliverToken(index, part)
            if (target.crossesAnswers) deliverToken(index, part)
            if (target.slowFactor > 1) recordEffect(Fault.F4)
            delay(TOKEN_INTERVAL * target.slowFactor)
        }
        reachStep(Step.LAST_BYTE)
        if (detectLoss() || detectTimeout()) return
        deliverAnswer()
    }

    private suspend fun deliverToken(index: Int, part: String) {
        if (!call.stream) return
        val decision = streamProgress.onToken(index)
        streamProgress = decision.state
        if (decision.actions.single() == TokenAction.DELIVER) tokens.accept(index, part)
    }

    private fun deliverAnswer() {
        val own = StageAnswer(AnswerIdentity(call.attempt, target.incarnation), output)
        if (target.crossesAnswers) {
            val otherRequest =
                AttemptId(RequestId("other"), call.attempt.stage, call.attempt.number)
            val otherAttempt = call.attempt.copy(number = call.attempt.number + 1)
            listOf(otherRequest, otherAttempt).forEach {
                val identity = AnswerIdentity(it, target.incarnation)
                on(AttemptEvent.Answer(StageAnswer(identity, "crossed")))
            }
        }
        repeat(if (target.crossesAnswers) 2 else 1) { on(AttemptEvent.Answer(own)) }
    }

    /**
     * Returns whether the host sees that the connection broke. It does not see it on a silent
     * connection; a partition makes a connection silent, too, see [detectTimeout].
     */
    private fun detectLoss(): Boolean {
        if (target.silencesConnection) recordEffect(Fault.F6)
        connectionSilent = connectionSilent || target.silencesConnection
        target.silencesConnection = false
        if (connectionSilent) return false
        if (target.alive && target.process == process) return false
        connectionBroken = true
        recordEffect(Fault.F3)
        on(AttemptEvent.ConnectionLost)
        return true
    }

    /**
     * Waits on a silent connection and returns whether the call has ended. A stream resumes after
     * the idle timeout; any other call ends at its answer timeout.
     */
    private suspend fun detectTimeout(): Boolean {
        // Only this connection is silent; a new connection to the same target works.
        val silentNow = connectionSilent || !simulation.isConnected(host, target)
        if (silentNow && call.stream && resumes < MAXIMUM_RESUMES) {
            delay(STREAM_IDLE_TIMEOUT)
            connectionSilent = false
            resumes++
            return detectLoss() || detectTimeout()
        }
        val remaining = startedAt + call.answerTimeout - simulation.clock.now()
        if (silentNow && remaining.isPositive()) delay(remaining)
        val timedOut = silentNow || !remaining.isPositive()
        if (timedOut) on(AttemptEvent.DeadlinePassed)
        host.awaitRunning()
        return timedOut
    }

    private fun reportedLoad(): ReportedLoad = if (target.reportsFalseLoad) {
        ReportedLoad(running = 0, queued = FALSE_QUEUE_LENGTH, slots = 1, age = 1.seconds)
    } else {
        ReportedLoad(running = 1, queued = 0, slots = SLOTS, age = Duration.ZERO)
    }

    private companion object {
        val ROUND_TRIP = 2.milliseconds
        val WORK_TIME = 20.milliseconds
        val TOKEN_INTERVAL = 5.milliseconds
        val STREAM_IDLE_TIMEOUT = 1.seconds
        const val MAXIMUM_RESUMES = 3
        const val ANSWER_PARTS = 4
        const val SLOTS = 8
        const val FALSE_QUEUE_LENGTH = 1_000
    }
}
