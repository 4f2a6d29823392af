/*
 * Targets in memory. A call drives the attempt state machine through the steps of a request; the
 * world applies the planned faults when a step is reached.
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

/** One target; [process] counts its restarts. */
internal class WorldTarget(val target: Target) {
    var alive = true
    var process = 1
    var slow = 1
    var liesAboutLoad = false
    var silent = false
    var crossed = false
    var leavingSince: MonotonicTime? = null

    val incarnation: Incarnation get() = Incarnation("${target.id.value}#$process")

    fun kill() {
        alive = false
        process++
    }
}

/** Calls of [host] to the targets of [world]. */
internal class WorldTargetClient(private val world: World, private val host: WorldHost) :
    TargetClient {
    override suspend fun reachable(target: Target): Boolean =
        world.connected(host, world.target(target.id))

    override suspend fun call(call: TargetCall, tokens: TokenSink): CallResult {
        host.checkpoint()
        return TargetConversation(world, host, call, tokens).run()
    }
}

/** One call and its connection. */
private class TargetConversation(
    private val world: World,
    private val host: WorldHost,
    private val call: TargetCall,
    private val tokens: TokenSink
) {
    private val target = world.target(call.target.id)
    private val process = target.process
    private val startedAt = world.clock.now()
    private var state: AttemptState = AttemptState.Prepared(call.attempt)
    private var stream = StreamProgress()
    private var dropped = 0
    private var resumes = 0
    private var broken = false
    private var silent = false
    private val output = "${call.attempt.stage.value}(${call.input})"
    private val victim = call.attempt.stage.value == world.cell.pipeline.stage

    suspend fun run(): CallResult {
        connect()
        if (!finished) send()
        if (!finished) answer()
        val result = (state as? AttemptState.Finished)?.result
            ?: AttemptResult.MayHaveRun(ErrorCode.TARGET_LOST)
        if (dropped > 0) meets(Fault.F16)
        if (target.liesAboutLoad) meets(Fault.F5)
        return CallResult(result, load(), dropped, resumes, broken)
    }

    private val finished: Boolean get() = state is AttemptState.Finished

    private fun on(event: AttemptEvent) {
        val decision = state.on(event)
        state = decision.state
        dropped += decision.actions.count { it is AttemptAction.DropForeignAnswer }
    }

    private suspend fun reach(step: Step) {
        if (victim) world.reach(step, host, target)
        host.checkpoint()
    }

    private fun meets(vararg faults: Fault) {
        world.effects.addAll(faults)
    }

    private suspend fun connect() {
        if (victim) world.calls(target)
        on(AttemptEvent.ConnectStarted)
        reach(Step.CONNECT)
        delay(ROUND_TRIP)
        if (!world.connected(host, target) || target.process != process) {
            target.silent = false
            if (!target.alive) meets(Fault.F3, Fault.F17)
            on(AttemptEvent.ConnectFailed)
        }
    }

    private suspend fun send() {
        on(AttemptEvent.SendStarted)
        reach(Step.SEND)
        if (lost() || target.process != process) return
        val refused = target.leavingSince != null
        world.recorder.runs.add(
            TargetRun(
                call.attempt.request.value,
                call.attempt.stage.value,
                call.attempt.number,
                call.key,
                target.target.id.value,
                call.input,
                world.clock.now(),
                ran = !refused,
                leavingSince = target.leavingSince
            )
        )
        if (refused) {
            meets(Fault.F17)
            world.learnLeaving(target)
            on(AttemptEvent.Refused(RefusalReason.LEAVING))
        } else if (call.input == world.poison && victim) {
            target.kill()
            world.crashed++
            meets(Fault.F13)
            lost()
        }
    }

    private suspend fun answer() {
        if (target.slow > 1) meets(Fault.F4)
        delay(WORK * target.slow)
        reach(Step.FIRST_BYTE)
        if (lost() || late()) return
        on(AttemptEvent.AnswerStarted)
        val parts = output.chunked(maxOf(1, output.length / PARTS))
        for ((index, part) in parts.withIndex()) {
            if (index == parts.size / 2) reach(Step.MID_STREAM)
            if (lost() || late()) return
            token(index, part)
            if (target.crossed) token(index, part)
            if (target.slow > 1) meets(Fault.F4)
            delay(TOKEN * target.slow)
        }
        reach(Step.LAST_BYTE)
        if (lost() || late()) return
        finish()
    }

    private suspend fun token(index: Int, part: String) {
        if (!call.stream) return
        val decision = stream.onToken(index)
        stream = decision.state
        if (decision.actions.single() == TokenAction.DELIVER) tokens.accept(index, part)
    }

    /** The answers of another request and of another attempt come first, and the own one twice. */
    private fun finish() {
        val own = StageAnswer(AnswerIdentity(call.attempt, target.incarnation), output)
        if (target.crossed) {
            val other = AttemptId(RequestId("other"), call.attempt.stage, call.attempt.number)
            val older = call.attempt.copy(number = call.attempt.number + 1)
            listOf(other, older).forEach {
                val identity = AnswerIdentity(it, target.incarnation)
                on(AttemptEvent.Answer(StageAnswer(identity, "crossed")))
            }
        }
        repeat(if (target.crossed) 2 else 1) { on(AttemptEvent.Answer(own)) }
    }

    /** Whether the connection is seen to break. Silence hides it, as a partition does. */
    private fun lost(): Boolean {
        if (target.silent) meets(Fault.F6)
        silent = silent || target.silent
        target.silent = false
        if (silent) return false
        if (target.alive && target.process == process) return false
        broken = true
        meets(Fault.F3)
        on(AttemptEvent.ConnectionLost)
        return true
    }

    /** Waits out a silent connection. A stream resumes, any other call ends at its bound. */
    private suspend fun late(): Boolean {
        // Only this connection is silent; a new one to the same target works.
        val silentNow = silent || !world.connected(host, target)
        if (silentNow && call.stream && resumes < MAXIMUM_RESUMES) {
            delay(STREAM_BOUND)
            silent = false
            resumes++
            return lost() || late()
        }
        val left = startedAt + call.answerTimeout - world.clock.now()
        if (silentNow && left.isPositive()) delay(left)
        val over = silentNow || !left.isPositive()
        if (over) on(AttemptEvent.DeadlinePassed)
        host.checkpoint()
        return over
    }

    private fun load(): ReportedLoad = if (target.liesAboutLoad) {
        ReportedLoad(running = 0, queued = FALSE_QUEUE, slots = 1, age = 1.seconds)
    } else {
        ReportedLoad(running = 1, queued = 0, slots = SLOTS, age = Duration.ZERO)
    }

    private companion object {
        val ROUND_TRIP = 2.milliseconds
        val WORK = 20.milliseconds
        val TOKEN = 5.milliseconds
        val STREAM_BOUND = 1.seconds
        const val MAXIMUM_RESUMES = 3
        const val PARTS = 4
        const val SLOTS = 8
        const val FALSE_QUEUE = 1_000
    }
}
