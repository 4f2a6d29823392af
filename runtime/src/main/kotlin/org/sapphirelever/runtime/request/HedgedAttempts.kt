/*
 * Hedging: if an attempt is slow and may be repeated, a second attempt runs on another target.
 */
package org.sapphirelever.runtime.request

import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.decisions.attempt.AttemptResult
import org.sapphirelever.decisions.retry.StageKey
import org.sapphirelever.decisions.retry.hedgeDelay
import org.sapphirelever.runtime.dispatch.Dispatch
import org.sapphirelever.runtime.dispatch.TargetDispatcher
import org.sapphirelever.runtime.target.TokenSink

/** Runs an attempt with its hedge; the first answer wins and the other attempt is cancelled. */
internal class HedgedAttempts(
    private val dispatcher: TargetDispatcher,
    private val attempts: AttemptRunner,
    private val clock: MonotonicClock,
    private val repetition: RepetitionState
) {
    private class StartedAttempt(val plan: AttemptPlan, val startedAt: MonotonicTime)

    /** Makes one or two attempts and returns their records in the order of their numbers. */
    suspend fun run(plan: AttemptPlan): List<AttemptRecord> {
        val work = plan.work
        val key = StageKey(work.request.pipeline.name, work.stage.name)
        val streamsToCaller = work.tokens !== TokenSink.NONE
        val remaining = work.request.deadline - clock.now()
        val delay =
            repetition.latencies.value
                .hedgeDelay(key, work.service.idempotent, streamsToCaller, remaining)
        return if (delay == null) listOf(attempts.run(plan)) else race(plan, delay)
    }

    private suspend fun race(plan: AttemptPlan, delay: Duration): List<AttemptRecord> =
        coroutineScope {
            val first = async { attempts.run(plan) }
            val startedAt = clock.now()
            val early = withTimeoutOrNull(delay) { first.await() }
            if (early != null) return@coroutineScope listOf(early)
            val second = AtomicReference<StartedAttempt>()
            // The grant is used in the coroutine that acquired it, so that it is always released.
            val hedge =
                async {
                    acquireHedge(plan)?.let {
                        second.set(StartedAttempt(it, clock.now()))
                        attempts.run(it)
                    }
                }
            awaitFirstAnswer(first, hedge)
            val firstRecord = recordOf(first) ?: cancelledRecord(StartedAttempt(plan, startedAt))
            listOfNotNull(firstRecord, recordOf(hedge) ?: second.get()?.let { cancelledRecord(it) })
        }

    /** Waits until one attempt answered and the other is cancelled, or until both have ended. */
    private suspend fun awaitFirstAnswer(
        first: Deferred<AttemptRecord>,
        hedge: Deferred<AttemptRecord?>
    ) {
        val ended =
            select<AttemptRecord?> {
                first.onAwait { it }
                hedge.onAwait { it }
            }
        if (ended?.result is AttemptResult.Answered) {
            first.cancel()
            hedge.cancel()
        }
        joinAll(first, hedge)
    }

    private suspend fun <T> recordOf(attempt: Deferred<T>): T? =
        if (attempt.isCancelled) null else attempt.await()

    /** A cancelled attempt may have run, which is harmless: only idempotent stages are hedged. */
    private fun cancelledRecord(started: StartedAttempt): AttemptRecord = AttemptRecord(
        number = started.plan.number,
        target = started.plan.grant.target.id,
        result = AttemptResult.MayHaveRun(ErrorCode.DEADLINE_EXCEEDED),
        took = clock.now() - started.startedAt,
        hedge = started.plan.hedge,
        cancelled = true
    )

    /** Plan of the second attempt, or null if the budget or the dispatcher refuses it. */
    private suspend fun acquireHedge(plan: AttemptPlan): AttemptPlan? {
        if (!repetition.spend()) return null
        val tried = plan.demand.excluded.add(plan.grant.target.id)
        val demand = plan.demand.copy(excluded = tried)
        val dispatch = dispatcher.acquire(demand) as? Dispatch.Granted ?: return null
        return AttemptPlan(plan.work, demand, dispatch.grant, plan.number + 1, hedge = true)
    }
}
