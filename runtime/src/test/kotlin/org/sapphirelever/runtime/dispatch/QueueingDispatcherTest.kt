package org.sapphirelever.runtime.dispatch

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.OrganisationName
import org.sapphirelever.core.PipelineName
import org.sapphirelever.core.Priority
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.StageName
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.resource.Pipeline
import org.sapphirelever.core.resource.Service
import org.sapphirelever.core.resource.ServiceKind
import org.sapphirelever.core.resource.Stage
import org.sapphirelever.decisions.admission.AdmissionState
import org.sapphirelever.decisions.admission.DispatchRules
import org.sapphirelever.decisions.routing.RoutingState
import org.sapphirelever.decisions.routing.Target
import org.sapphirelever.runtime.StateCell

/** Guards against capacity lost when a waiting caller is cancelled or reaches its deadline. */
@OptIn(ExperimentalCoroutinesApi::class)
class QueueingDispatcherTest {
    private val service = Service(ServiceName("s"), ServiceKind.PLAIN, slots = 1)
    private val stage = Stage(StageName("only"), service.name)
    private val pipeline = Pipeline(PipelineName("p"), stages = persistentListOf(stage))
    private val target =
        Target(TargetId("t"), service.name, DataCentre("a"), Endpoint("127.0.0.1", 1))
    private val admission = StateCell(AdmissionState())

    private fun TestScope.dispatcher(): QueueingDispatcher {
        val routing = StateCell(RoutingState(persistentMapOf(target.id to target)))
        val clock = { MonotonicTime(currentTime * 1_000_000) }
        return QueueingDispatcher(routing, admission, DispatchRules(), clock, Random(1)) { null }
    }

    private fun demand(millis: Int) = StageDemand(
        pipeline,
        stage,
        service,
        OrganisationName("o"),
        Priority.STANDARD,
        MonotonicTime.ZERO + millis.milliseconds,
        inputLength = 0
    )

    @Test
    fun `waiting callers get capacity in order and return all of it`() = runTest {
        val dispatcher = dispatcher()
        val first = List(2) { assertIs<Dispatch.Granted>(dispatcher.acquire(demand(9000))).grant }
        val shortDeadline = async { dispatcher.acquire(demand(100)) }
        val cancelled = async { dispatcher.acquire(demand(9000)) }
        val longDeadline = async { dispatcher.acquire(demand(9000)) }
        runCurrent()
        cancelled.cancel()
        assertEquals(
            ErrorCode.DEADLINE_UNREACHABLE,
            assertIs<Dispatch.Refused>(shortDeadline.await()).code
        )
        dispatcher.release(demand(9000), first[0], null)
        val laterGrant = assertIs<Dispatch.Granted>(longDeadline.await()).grant
        dispatcher.release(demand(9000), first[1], null)
        repeat(2) { dispatcher.release(demand(9000), laterGrant, null) }
        val left = admission.value.services.getValue(service.name)
        assertEquals(0, left.running, "a second release of a grant changes nothing")
        assertEquals(0, left.queue.size)
    }
}
