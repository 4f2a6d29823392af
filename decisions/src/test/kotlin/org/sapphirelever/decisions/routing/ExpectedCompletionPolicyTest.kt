package org.sapphirelever.decisions.routing

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.HostId
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.TargetId

/** Guards against choices of leaving, ejected, overdue or needlessly remote targets. */
class ExpectedCompletionPolicyTest {
    private val service = ServiceName("engine")
    private val now = MonotonicTime.ZERO + 10.seconds
    private val overdue = call(startedAt = MonotonicTime.ZERO)

    private fun call(startedAt: MonotonicTime = now) =
        OutstandingCall(startedAt, 100.milliseconds, long = false, queueDepth = 1.0)

    private fun state(count: Int, dataCentre: (Int) -> String = { "a" }): RoutingState {
        val targets = (0 until count).map {
            Target(TargetId("t$it"), service, DataCentre(dataCentre(it)), Endpoint("127.0.0.1", 1))
        }
        val map = targets.associateBy { it.id }.toPersistentMap()
        return RoutingState(map, host = HostId("h"), dataCentre = DataCentre("a")).indexed()
    }

    private fun RoutingState.with(index: Int, vararg calls: OutstandingCall) =
        updated(TargetId("t$index")) {
            it.copy(
                calls = calls.withIndex().associate { (i, c) -> i.toLong() to c }
                    .toPersistentMap()
            )
        }

    private data class Case(
        val name: String,
        val state: RoutingState,
        val chosen: String?,
        val prefix: String = ""
    )

    @Test
    fun `the policy avoids busy, leaving, overdue and remote targets`() {
        val leaving = state(2).let { s ->
            val left = s.targets.getValue(TargetId("t0")).copy(leaving = true)
            s.copy(targets = s.targets.put(left.id, left))
        }
        val ejection = Ejection(now - 1.milliseconds, 1)
        val cases = listOf(
            Case("no target", state(0), null),
            Case("leaving", leaving, "t1"),
            Case("calls of this host", state(2).with(0, call(), call()), "t1"),
            Case("overdue call", state(2).with(0, overdue).with(1, call(), call()), "t1"),
            Case("remote", state(2) { if (it == 0) "b" else "a" }, "t1"),
            Case(
                "enough local targets",
                state(9) { if (it == 0) "b" else "a" }.let { s ->
                    (1..8).fold(s) { all, i -> if (i == 5) all else all.with(i, call(), call()) }
                },
                "t5"
            ),
            Case(
                "probe due",
                state(3).updated(TargetId("t2")) {
                    it.copy(ejection = ejection)
                },
                "t2"
            ),
            Case(
                "probe in flight",
                state(2).updated(TargetId("t0")) {
                    it.copy(ejection = ejection.copy(probing = true))
                },
                "t1"
            ),
            Case("cached prefix", state(2).onCacheEvent(TargetId("t1"), "p", true, now), "t1", "p"),
            Case(
                "load outweighs prefix",
                state(2).onCacheEvent(TargetId("t1"), "p", true, now)
                    .with(1, *Array(8) { call() }),
                "t0",
                "p"
            )
        )
        for (case in cases) {
            val request = RoutingRequest(service, prefix = case.prefix)
            val id = ExpectedCompletionPolicy().choose(case.state, request, now, Random(1))
            assertEquals(case.chosen, id?.value, case.name)
        }
    }

    @Property(tries = 100, seed = "1")
    fun `at most a third of the targets is ejected`(@ForAll @IntRange(min = 1, max = 40) n: Int) {
        val slow = (0 until n).fold(state(n)) { all, i -> all.with(i, overdue) }
        val candidates = slow.candidates(RoutingRequest(service))
        val once = EjectionRules().ejectOverdue(slow, candidates, now)
        val twice = EjectionRules().ejectOverdue(once, candidates, now)
        assertEquals(n / 3, candidates.count { twice.statistics(it.id).ejected })
    }

    @Test
    fun `a slow probe doubles the ejection period and a fast one ends the ejection`() {
        val id = TargetId("t0")
        val rules = EjectionRules()
        val probing = state(3).updated(id) { it.copy(ejection = Ejection(now, 1, true)) }
        val again = rules.onReturn(probing, id, slowdown = 10.0, now).statistics(id).ejection
        assertEquals(Ejection(now + 2.seconds, 2), again)
        assertEquals(null, rules.onReturn(probing, id, 1.0, now).statistics(id).ejection)
    }

    @Property(tries = 30, seed = "2")
    fun `a host uses a bounded, stable subset`(@ForAll @IntRange(min = 0, max = 300) n: Int) {
        val used = state(n).candidates(RoutingRequest(service)).map { it.id }.toSet()
        assertEquals(minOf(n, SUBSET_SIZE), used.size)
        val grown = state(n + 1).candidates(RoutingRequest(service)).map { it.id }.toSet()
        assertTrue((used - grown).size <= 1, "an added target replaces at most one other")
    }
}
