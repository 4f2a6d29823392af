package org.sapphirelever.runtime.request

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.Incarnation
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.OrganisationName
import org.sapphirelever.core.Outcome
import org.sapphirelever.core.PipelineName
import org.sapphirelever.core.Priority
import org.sapphirelever.core.RequestId
import org.sapphirelever.core.RetryAdvice
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.SideEffects
import org.sapphirelever.core.StageName
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.resource.Configuration
import org.sapphirelever.core.resource.Pipeline
import org.sapphirelever.core.resource.Service
import org.sapphirelever.core.resource.ServiceKind
import org.sapphirelever.core.resource.Stage
import org.sapphirelever.decisions.admission.AdmissionState
import org.sapphirelever.decisions.admission.DispatchRules
import org.sapphirelever.decisions.attempt.AnswerIdentity
import org.sapphirelever.decisions.attempt.AttemptResult
import org.sapphirelever.decisions.attempt.RefusalReason
import org.sapphirelever.decisions.attempt.StageAnswer
import org.sapphirelever.decisions.retry.RetryBudget
import org.sapphirelever.decisions.retry.StageKey
import org.sapphirelever.decisions.routing.RoutingRequest
import org.sapphirelever.decisions.routing.RoutingState
import org.sapphirelever.decisions.routing.Target
import org.sapphirelever.decisions.routing.TargetPolicy
import org.sapphirelever.runtime.StateCell
import org.sapphirelever.runtime.dispatch.QueueingDispatcher
import org.sapphirelever.runtime.target.CallResult
import org.sapphirelever.runtime.target.TargetCall
import org.sapphirelever.runtime.target.TargetClient
import org.sapphirelever.runtime.target.TokenSink

/** Guards against repeated side effects, wrong outcomes and hedges that leave calls running. */
@OptIn(ExperimentalCoroutinesApi::class)
class RequestExecutorTest {
    /** Behaviour of the target in one attempt; a [result] of null stands for an answer. */
    private data class ScriptedCall(
        val result: AttemptResult? = null,
        val connectionBroken: Boolean = false,
        val tokens: Int = 0,
        val latency: Duration = 1.milliseconds
    )

    private data class Case(
        val name: String,
        val script: List<ScriptedCall>,
        val expected: Outcome,
        val attempts: Int = script.size,
        val idempotent: Boolean = true,
        val budget: Int = RetryBudget.INITIAL_TENTHS,
        val stream: Boolean = false,
        val results: List<String>? = null,
        val hedgingEnabled: Boolean = false
    )

    private val busy = AttemptResult.NotRun(ErrorCode.OVERLOADED, RefusalReason.BUSY)
    private val connectFailed = AttemptResult.NotRun(ErrorCode.TARGET_LOST)
    private val lost = AttemptResult.MayHaveRun(ErrorCode.TARGET_LOST)
    private val answer = ScriptedCall()
    private val slow = ScriptedCall(latency = 500.milliseconds)
    private val complete = Outcome.Complete("answer")

    private val cases =
        listOf(
            Case("answered", listOf(answer), complete),
            Case(
                "busy twice",
                listOf(ScriptedCall(busy), ScriptedCall(busy), answer),
                complete,
                budget = 0
            ),
            Case("busy everywhere", List(3) { ScriptedCall(busy) }, notRun(ErrorCode.OVERLOADED)),
            Case("lost once", listOf(ScriptedCall(lost), answer), complete),
            Case(
                "lost without budget",
                listOf(ScriptedCall(lost)),
                ran(ErrorCode.TARGET_LOST),
                budget = 9
            ),
            Case(
                "lost, must not repeat",
                listOf(ScriptedCall(lost)),
                Outcome.Unknown(ErrorCode.TARGET_LOST, STAGE),
                idempotent = false
            ),
            Case(
                "connect failed",
                listOf(ScriptedCall(connectFailed), answer),
                complete,
                idempotent = false
            ),
            Case(
                "never connected",
                List(3) { ScriptedCall(connectFailed) },
                notRun(ErrorCode.TARGET_LOST)
            ),
            Case(
                "lost after a token",
                listOf(ScriptedCall(lost, tokens = 1)),
                ran(ErrorCode.TARGET_LOST),
                stream = true
            ),
            Case(
                "crash of two targets",
                List(2) { ScriptedCall(lost, connectionBroken = true) },
                ran(ErrorCode.SUSPECTED_CRASH)
            ),
            Case(
                "hedge answers first",
                listOf(slow, answer),
                complete,
                results = listOf("cancelled", "answered"),
                hedgingEnabled = true
            ),
            Case(
                "first answers after its hedge started",
                listOf(ScriptedCall(latency = 60.milliseconds), slow),
                complete,
                results = listOf("answered", "cancelled"),
                hedgingEnabled = true
            ),
            Case(
                "hedge is refused",
                listOf(slow, ScriptedCall(busy)),
                complete,
                hedgingEnabled = true
            ),
            Case(
                "no budget for a hedge",
                listOf(slow),
                complete,
                budget = 0,
                hedgingEnabled = true
            ),
            Case(
                "no hedge of a call with effects",
                listOf(slow),
                complete,
                idempotent = false,
                hedgingEnabled = true
            )
        )

    @Test
    fun `each sequence of attempts ends with the expected outcome`() {
        for (case in cases) {
            runTest {
                val client = ScriptedTargets(case, this)
                val executed = client.execute("r")
                assertEquals(case.expected, executed.outcome, case.name)
                val explanation =
                    Explanations().apply { add(executed) }.find(RequestId("r"))!!.stages.single()
                assertEquals(case.attempts, client.calls.size, case.name)
                assertEquals(case.attempts, client.calls.map { it.attempt }.toSet().size, case.name)
                assertEquals(case.attempts, client.calls.map { it.target }.toSet().size, case.name)
                assertEquals((1..case.attempts).toList(), explanation.attempts.map { it.attempt })
                case.results?.let { results ->
                    assertEquals(results, explanation.attempts.map { it.result }, case.name)
                }
                val cancelled = explanation.attempts.count { it.result == "cancelled" }
                assertEquals(cancelled, client.cancelled, case.name)
                val outstanding = client.routing.value.statistics.values.sumOf { it.calls.size }
                assertEquals(0, outstanding, "grants not returned: ${case.name}")
            }
        }
    }

    @Test
    fun `a suspected request is refused as not run for its own organisation only`() = runTest {
        val crash = ScriptedCall(lost, connectionBroken = true)
        val client = ScriptedTargets(Case("", listOf(crash, crash, answer), complete), this)
        client.execute("first")
        val refused = Outcome.NotRun(ErrorCode.SUSPECTED_CRASH, RetryAdvice.NEVER, STAGE)
        assertEquals(refused, client.execute("again").outcome)
        assertEquals(complete, client.execute("other", "other").outcome)
    }

    @Test
    fun `explanations beyond the limit replace the oldest`() = runTest {
        val explanations = Explanations(limit = 2)
        val executed = ScriptedTargets(Case("", listOf(answer), complete), this).execute("0")
        (1..3).forEach { number ->
            val request = executed.request.copy(id = RequestId("$number"))
            explanations.add(executed.copy(request = request))
        }
        assertEquals(
            listOf(false, true, true),
            (1..3).map { explanations.find(RequestId("$it")) != null }
        )
    }

    private fun notRun(code: ErrorCode): Outcome =
        Outcome.NotRun(code, RetryAdvice.after(500.milliseconds), STAGE)

    private fun ran(code: ErrorCode): Outcome =
        Outcome.FailedAfterRunning(code, STAGE, SideEffects.NONE, RetryAdvice.NEVER)

    /** Client of four targets that answer by the script of [case] in virtual time. */
    private class ScriptedTargets(private val case: Case, scope: TestScope) : TargetClient {
        private val clock =
            MonotonicClock { MonotonicTime(scope.testScheduler.currentTime * 1_000_000) }
        val calls = mutableListOf<TargetCall>()
        var cancelled = 0
        val routing = StateCell(RoutingState(TARGETS))
        private val repetition = RepetitionState()
        private val dispatcher =
            QueueingDispatcher(
                routing,
                StateCell(AdmissionState()),
                DispatchRules(FIRST),
                clock,
                Random(1)
            ) { null }
        private val executor = RequestExecutor(dispatcher, this, clock, repetition)

        init {
            repetition.budget.update { RetryBudget(case.budget) }
            if (case.hedgingEnabled) {
                repeat(20) {
                    repetition.latencies.update {
                        it.with(StageKey(PIPELINE, STAGE), 50.milliseconds)
                    }
                }
            }
        }

        suspend fun execute(id: String, organisation: String = "o"): ExecutedRequest {
            val stage = Stage(STAGE, SERVICE, maximumTokens = 8)
            val service = Service(SERVICE, ServiceKind.ENGINE, idempotent = case.idempotent)
            val pipeline = Pipeline(PIPELINE, stages = persistentListOf(stage))
            val request =
                AcceptedRequest(
                    id = RequestId(id),
                    pipeline = pipeline,
                    organisation = OrganisationName(organisation),
                    priority = Priority.STANDARD,
                    deadline = clock.now() + 4.seconds,
                    input = "input",
                    stream = case.stream
                )
            val configuration = Configuration(services = persistentMapOf(SERVICE to service))
            return executor.execute(request, configuration) { _, _ -> }
        }

        override suspend fun call(call: TargetCall, tokens: TokenSink): CallResult {
            val scripted = case.script[calls.size]
            calls.add(call)
            repeat(scripted.tokens) { tokens.accept(it, "t") }
            try {
                delay(scripted.latency)
            } catch (stopped: CancellationException) {
                cancelled++
                throw stopped
            }
            val identity = AnswerIdentity(call.attempt, Incarnation("p"))
            val result = scripted.result ?: AttemptResult.Answered(StageAnswer(identity, "answer"))
            return CallResult(result, connectionBroken = scripted.connectionBroken)
        }

        override suspend fun reachable(target: Target): Boolean = false
    }

    private companion object {
        val STAGE = StageName("s")
        val SERVICE = ServiceName("v")
        val PIPELINE = PipelineName("p")
        val TARGETS =
            (1..4).map { TargetId("t$it") }.fold(persistentMapOf<TargetId, Target>()) { all, id ->
                all.put(id, Target(id, SERVICE, DataCentre("d"), Endpoint("127.0.0.1", 1)))
            }

        /** Chooses the first target that is not excluded. */
        val FIRST =
            object : TargetPolicy {
                override val name = "first"

                override fun choose(
                    state: RoutingState,
                    request: RoutingRequest,
                    now: MonotonicTime,
                    random: Random
                ): TargetId? = state.targets.keys.sortedBy { it.value }.first {
                    it !in
                        request.excluded
                }
            }
    }
}
