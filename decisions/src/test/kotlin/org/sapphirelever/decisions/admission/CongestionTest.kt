package org.sapphirelever.decisions.admission

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.toPersistentMap
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.OrganisationName
import org.sapphirelever.core.Priority
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.TargetId
import org.sapphirelever.decisions.prediction.SizeClass
import org.sapphirelever.decisions.routing.LoadReport
import org.sapphirelever.decisions.routing.RoutingRequest
import org.sapphirelever.decisions.routing.RoutingState
import org.sapphirelever.decisions.routing.Target
import org.sapphirelever.decisions.routing.TargetStatistics

/**
 * Guards against a concurrency limit that falls to its minimum because outdated load reports, which
 * still show a queue, decrease it repeatedly.
 */
class CongestionTest {
    private val rules = DispatchRules(assumedHosts = 4)
    private val service = ServiceName("s")
    private val report = LoadReport(running = 16, queued = 16, slots = 16, MonotonicTime.ZERO)
    private val targets = (1..4).map { TargetId("t$it") }.associateWith {
        Target(it, service, DataCentre("d"), Endpoint("127.0.0.1", 1))
    }.toPersistentMap()

    @Test
    fun `an outdated report decreases the limit only once`() {
        val statistics = targets.mapValues { TargetStatistics(report = report) }.toPersistentMap()
        var state = DispatchState(routing = RoutingState(targets, statistics))
        for (round in 0L until 20L) {
            val start = MonotonicTime.ZERO + 100.milliseconds * round.toInt()
            val granted = rules.submit(state, call(round, start), start, Random(round))
            val grant = granted.actions.single() as DispatchAction.Grant
            val took = 100.milliseconds
            val finished = FinishedCall(grant.call, grant.target, CallEnd.ANSWERED, took)
            state = rules.finish(granted.state, finished, start + took, Random(round)).state
        }
        val limit = state.admission.services.getValue(service).limit.limit
        assertTrue(limit in 13.0..15.0, "limit $limit of 16")
    }

    private fun call(id: Long, now: MonotonicTime) = WaitingCall(
        id = id,
        organisation = OrganisationName("o"),
        weight = 1,
        priority = Priority.STANDARD,
        size = SizeClass.SHORT,
        routing = RoutingRequest(service, slots = 16),
        deadline = now + 4.seconds,
        first = true
    )
}
