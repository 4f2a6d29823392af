/*
 * An attempt and, where it is slow and may be repeated, a second one on another target.
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
    private class Started(val plan: AttemptPlan, val at: MonotonicTime)

    /** Records of the attempts made, one or two, in the order of their numbers. */
    suspend fun run(plan: AttemptPlan): List<AttemptRecord> {
        val work = plan.work
        val key = StageKey(work.request.pipeline.name, work.stage.name)
        val toCaller = work.tokens !== TokenSink.NONE
        val remaining = work.request.deadline - clock.now()
        val delay =
            repetition.latencies.value
                .hedgeDelay(key, work.service.idempotent, toCaller, remaining)
        return if (delay == null) listOf(attempts.run(plan)) else race(plan, delay)
    }

    private suspend fun race(plan: AttemptPlan, delay: Duration): List<AttemptRecord> =
        coroutineScope {
            val first = async { attempts.run(plan) }
            val startedAt = clock.now()
            val early = withTimeoutOrNull(delay) { first.await() }
            if (early != null) return@coroutineScope listOf(early)
            val second = AtomicReference<Started>()
            // The grant is used in the coroutine that acquired it, so that it is always released.
            val hedge =
                async {
                    hedgeOf(plan)?.let {
                        second.set(Started(it, clock.now()))
                        attempts.run(it)
                    }
                }
            awaitFirstAnswer(first, hedge)
            val firstRecord = recordOf(first) ?: cancelled(Started(plan, startedAt))
            listOfNotNull(firstRecord, recordOf(hedge) ?: second.get()?.let { cancelled(it) })
        }

    /** Returns when one attempt has answered and the other is cancelled, or when both ended. */
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

    /** A cancelled attempt may have run; only idempotent stages are hedged. */
    private fun cancelled(started: Started): AttemptRecord = AttemptRecord(
        number = started.plan.number,
        target = started.plan.grant.target.id,
        result = AttemptResult.MayHaveRun(ErrorCode.DEADLINE_EXCEEDED),
        took = clock.now() - started.at,
        hedge = started.plan.hedge,
        cancelled = true
    )

    /** The second attempt, or null if the budget or the dispatcher refuses it. */
    private suspend fun hedgeOf(plan: AttemptPlan): AttemptPlan? {
        if (!repetition.spend()) return null
        val tried = plan.demand.excluded.add(plan.grant.target.id)
        val demand = plan.demand.copy(excluded = tried)
        val dispatch = dispatcher.acquire(demand) as? Dispatch.Granted ?: return null
        return AttemptPlan(plan.work, demand, dispatch.grant, plan.number + 1, hedge = true)
    }
}
