/*
 * Base of all target stand-ins: run calls with their faults, slots, load report, record of runs and
 * administrative calls.
 */
package org.sapphirelever.standins

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respondText
import io.ktor.server.routing.Routing
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import java.util.UUID
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.serialization.encodeToString
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.SystemMonotonicClock
import org.sapphirelever.runtime.http.Routes
import org.sapphirelever.runtime.http.answer
import org.sapphirelever.runtime.http.readText
import org.sapphirelever.runtime.http.respondJson
import org.sapphirelever.wire.LoadMessage
import org.sapphirelever.wire.MessageJson
import org.sapphirelever.wire.RefusalMessage
import org.sapphirelever.wire.RunAnswerMessage
import org.sapphirelever.wire.RunMessage

/**
 * Settings that all targets share.
 *
 * @property slots calls that run concurrently
 * @property queueLimit calls that wait for a slot; more are refused as busy
 * @property loadLag delay with which the target reports its load
 */
public data class TargetSettings(
    public val endpoint: Endpoint,
    public val service: String,
    public val slots: Int,
    public val queueLimit: Int,
    public val loadLag: Duration = Duration.ZERO,
    public val faults: TargetFaults = TargetFaults(),
    public val clock: MonotonicClock = SystemMonotonicClock
)

/** Result of the work on one call. */
internal data class WorkResult(val output: String, val tokens: Int = 0)

/** What differs between kinds of targets: the work on run calls, and additional routes. */
internal interface TargetWork {
    /** Runs [message]; [base] applies the slow factor and knows the current load. */
    suspend fun run(message: RunMessage, base: TargetBase): WorkResult

    /** Reason for refusing all calls at present, or null. */
    fun refusalReason(): String? = null

    fun Routing.install(base: TargetBase) {}
}

/** Serves the routes that all targets have and runs [work] on the slots. */
internal class TargetBase(private val settings: TargetSettings, private val work: TargetWork) {
    val incarnation: String = UUID.randomUUID().toString()
    private val clock = settings.clock
    private val state = MutableStateFlow(initialState())
    private val server =
        StandInServer(
            settings.endpoint,
            listOf(
                Routes { runRoutes() },
                Routes { adminRoutes() },
                Routes { with(work) { install(this@TargetBase) } }
            )
        )

    val faults: TargetFaults get() = state.value.faultsAt(clock.now())
    val load: LoadMessage get() = state.value.loadAt(clock.now())
    val runningCalls: Int get() = state.value.running.size
    val runs: RunsMessage get() = state.value.toRunsMessage()

    suspend fun run() {
        server.run()
    }

    suspend fun boundEndpoint(): Endpoint = server.boundEndpoint()

    fun setFaults(faults: TargetFaults) {
        val now = clock.now()
        state.update { it.withFaults(faults, now) }
    }

    /** Waits for [time], multiplied by the slow factor of the faults in force. */
    suspend fun simulateWork(time: Duration) {
        delay(time * faults.slowFactor)
    }

    /** Assigns a slot or a place in the queue to [message], or refuses it as busy. */
    fun enqueue(message: RunMessage): Arrival {
        val now = clock.now()
        return state.decide { it.onArrive(message.priority, now) }.single()
    }

    /** Waits until [ticket] has a slot, runs [block] and frees the slot. */
    suspend fun <T> withSlot(ticket: Long, message: RunMessage, block: suspend () -> T): T {
        try {
            state.first { ticket in it.running }
            recordRun(message)
            crashIfTriggered(message)
            return block()
        } finally {
            val now = clock.now()
            state.update { it.onEnd(ticket, now) }
        }
    }

    /**
     * Refuses [call], or breaks its connection, if a fault or the kind of target requires it.
     * Returns whether the call may proceed.
     */
    suspend fun admitOrRefuse(call: ApplicationCall): Boolean {
        val reason = faults.refuse.ifEmpty { work.refusalReason().orEmpty() }
        when {
            reason.isNotEmpty() -> refuse(call, reason)
            faults.dropBefore -> breakConnection(call)
            else -> return true
        }
        return false
    }

    suspend fun refuse(call: ApplicationCall, reason: String) {
        val refusal = MessageJson.encodeToString(RefusalMessage(reason, incarnation, load))
        call.respondJson(refusal, HttpStatusCode.ServiceUnavailable)
    }

    private fun initialState(): TargetState = with(settings) {
        TargetState(slots, queueLimit, loadLag, TargetFaults(), null)
            .withFaults(faults, clock.now())
    }

    private fun recordRun(message: RunMessage) {
        val record = RunRecord(message.request, message.stage, message.attempt, message.key)
        state.update { it.copy(runs = it.runs.add(record)) }
    }

    private suspend fun crashIfTriggered(message: RunMessage) {
        val text = faults.crashText
        if (text.isEmpty() || text !in message.input) return
        server.crash()
        delay(HANG_DURATION)
    }

    private fun Routing.runRoutes() {
        post("/v1/run") {
            answer(call) {
                val message = call.readRun()
                if (admitOrRefuse(call)) serve(call, message)
            }
        }
        get("/v1/load") {
            answer(call) { call.respondJson(MessageJson.encodeToString(load)) }
        }
        get("/healthz") { call.respondText("up\n") }
    }

    private suspend fun serve(call: ApplicationCall, message: RunMessage) {
        if (faults.silent) delay(HANG_DURATION)
        val arrival = enqueue(message)
        if (arrival !is Arrival.Admitted) {
            refuse(call, "busy")
            return
        }
        val result = withSlot(arrival.ticket, message) { work.run(message, this) }
        delay(faults.lateMillis)
        reply(call, selectAnswer(message.toAnswer(result)))
    }

    private suspend fun reply(call: ApplicationCall, answer: RunAnswerMessage) {
        val text = MessageJson.encodeToString(answer)
        when {
            faults.dropAfter -> breakConnection(call)
            faults.truncated -> breakConnection(call, text.take(text.length / 2))
            faults.doubled -> call.respondJson(text + text)
            else -> call.respondJson(text)
        }
    }

    /** Stores [own]; returns it or, with `crossed`, the answer to an earlier or made-up call. */
    private fun selectAnswer(own: RunAnswerMessage): RunAnswerMessage {
        val earlier = state.value.lastAnswer ?: own.copy(request = "${own.request}-other")
        state.update { it.copy(lastAnswer = own) }
        return if (faults.crossed) earlier else own
    }

    private fun RunMessage.toAnswer(result: WorkResult): RunAnswerMessage = RunAnswerMessage(
        request = request,
        stage = stage,
        attempt = attempt,
        incarnation = incarnation,
        output = result.output,
        tokens = result.tokens,
        load = load
    )

    private fun Routing.adminRoutes() {
        post("/admin/faults") {
            answer(call) {
                setFaults(MessageJson.decodeFromString(call.readText(MAXIMUM_BODY_BYTES)))
                call.respondJson("{}")
            }
        }
        get("/admin/runs") {
            answer(call) { call.respondJson(MessageJson.encodeToString(runs)) }
        }
    }

    companion object {
        const val MAXIMUM_BODY_BYTES = 8 * 1024 * 1024

        /** How long a call that gets no answer stays open; longer than any caller waits. */
        val HANG_DURATION = 2.minutes

        suspend fun ApplicationCall.readRun(): RunMessage =
            MessageJson.decodeFromString(readText(MAXIMUM_BODY_BYTES))
    }
}
