package org.sapphirelever.runtime.resource

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.HostId
import org.sapphirelever.core.Incarnation
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.Revision
import org.sapphirelever.decisions.membership.Member
import org.sapphirelever.decisions.membership.MemberId
import org.sapphirelever.decisions.membership.MembershipEvent
import org.sapphirelever.decisions.membership.on
import org.sapphirelever.runtime.peer.PeerReport
import org.sapphirelever.runtime.peer.PeerState

private data class ReportCase(val age: Duration, val shown: Long?)

/** Guards against a status that shows outdated reports of hosts without a link as current. */
class StatusTest {
    private val cases =
        listOf(
            ReportCase(0.seconds, 3),
            ReportCase(5999.milliseconds, 3),
            ReportCase(6.seconds, null)
        )

    @Test
    fun `the report of a peer is shown for three heartbeat intervals`() {
        for (case in cases) {
            var now = MonotonicTime(0)
            val state = PeerState(member("own"), MonotonicClock { now })
            val peer = member("peer")
            state.membership.decide { it.on(MembershipEvent.Received(peer.id, listOf(peer), now)) }
            val report = PeerReport(Revision(3), Revision(3), true, 0, now)
            state.reports.update { it.put(peer.id, report) }
            now += case.age
            val shown = state.toStatus().hosts.single { it.host == "peer" }
            assertEquals(case.shown, shown.revision, case.toString())
            assertEquals(case.shown?.let { true }, shown.ready, case.toString())
        }
    }

    private fun member(name: String): Member = Member(
        MemberId(Incarnation(name)),
        HostId(name),
        DataCentre("c"),
        Endpoint("127.0.0.1", 1),
        Endpoint("127.0.0.1", 2)
    )
}
