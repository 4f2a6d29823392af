package org.sapphirelever.load.slope

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Revision
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.resource.Configuration
import org.sapphirelever.decisions.membership.MemberStatus

/**
 * Guards membership and the propagation of changes against partitions, paused and killed hosts,
 * and reordered messages.
 */
class MembershipConvergenceTest {
    private val dataCentres = listOf("krakow-a", "krakow-b", "tarnow")

    private fun network(seed: Long, delay: Duration = 3.milliseconds): VirtualNetwork {
        val network = VirtualNetwork(Random(seed), delay)
        repeat(24) { network.add(dataCentres[it % 3]) }
        network.run(2.minutes) { network.tablesEqual() }
        assertTrue(network.tablesEqual(), "tables differ after two minutes, seed $seed")
        return network
    }

    private fun VirtualNetwork.tablesEqual() =
        all().all { it.memberCount(MemberStatus.ALIVE) == all().size }

    private fun VirtualHost.memberCount(status: MemberStatus) =
        protocol.state.membership.value.members.values.count { it.member.status == status }

    private fun VirtualHost.statusOf(other: VirtualHost) =
        protocol.state.membership.value.members[other.own.id]?.member?.status

    @Test
    fun `a killed host is dead everywhere and the others stay alive`() {
        for (seed in 1L..5L) {
            val network = network(seed)
            val killed = network.all()[4]
            killed.running = false
            val others = network.all() - killed
            // 6 s without heartbeats, 10 s of suspicion, and the time of ticks and propagation.
            network.run(40.seconds) { others.all { it.statusOf(killed) == MemberStatus.DEAD } }
            assertTrue(others.all { it.statusOf(killed) == MemberStatus.DEAD }, "seed $seed")
            assertTrue(others.all { it.memberCount(MemberStatus.ALIVE) == 23 }, "seed $seed")
        }
    }

    @Test
    fun `a host that resumes before it is declared dead refutes the suspicion`() {
        val network = network(6)
        val paused = network.all()[4]
        paused.running = false
        network.run(9.seconds)
        assertTrue(network.all().any { it.statusOf(paused) == MemberStatus.SUSPECT })
        paused.running = true
        network.run(1.minutes) { network.tablesEqual() }
        assertTrue(network.tablesEqual())
        assertEquals(0, paused.own.id.generation)
        assertTrue(paused.own.version > 0)
    }

    @Test
    fun `a host that resumes after it was declared dead rejoins with a new generation`() {
        val network = network(7)
        val paused = network.all()[4]
        val before = paused.own.id
        paused.running = false
        network.run(1.minutes)
        paused.running = true
        network.run(2.minutes) { network.all().all { it.statusOf(paused) == MemberStatus.ALIVE } }
        assertTrue(network.all().all { it.statusOf(paused) == MemberStatus.ALIVE })
        assertEquals(before.incarnation, paused.own.id.incarnation)
        assertEquals(1, paused.own.id.generation)
    }

    @Test
    fun `a partition marks the data centre unreachable and declares no host dead`() {
        val network = network(8)
        val isolated = DataCentre("tarnow")
        network.isLost =
            { from, to -> (from.own.dataCentre == isolated) != (to.own.dataCentre == isolated) }
        network.run(5.minutes)
        assertTrue(network.all().all { it.memberCount(MemberStatus.DEAD) == 0 })
        val unreachable = network.all().count {
            isolated in
                it.protocol.state.membership.value.unreachable
        }
        assertTrue(unreachable > 0)
        network.isLost = { _, _ -> false }
        network.run(1.minutes)
        assertTrue(network.all().all { it.protocol.state.membership.value.unreachable.isEmpty() })
        assertTrue(network.tablesEqual())
    }

    @Test
    fun `the report of a leaving target reaches every host within three seconds`() {
        val network = network(9, delay = 20.milliseconds)
        val target = TargetId("asystent-1")
        network.all().first().let {
            it.protocol.report(target, dead = false)
            network.sendChanges(it)
        }
        network.run(3.seconds)
        assertTrue(network.all().all { target in it.protocol.state.targets.value.health })
    }

    @Test
    fun `revisions never decrease under reordering, stale readers and a new host`() {
        val network = network(10, delay = 400.milliseconds)
        val random = Random(10)
        val seen = mutableMapOf<VirtualHost, Revision>()
        for (revision in 1L..40L) {
            // A stale reader delivers an earlier revision along with the new one.
            listOf(revision, maxOf(1, revision - random.nextLong(5))).forEach {
                val host = network.all().random(random)
                host.protocol.adopt(Configuration(Revision(it)))
                network.sendChanges(host)
            }
            if (revision == 20L) network.add("tarnow")
            network.run(random.nextLong(500).milliseconds) {
                network.all().forEach { host ->
                    val now = host.protocol.state.configuration.value.inForce.revision
                    assertTrue(now >= (seen[host] ?: Revision.NONE))
                    seen[host] = now
                }
                false
            }
        }
        network.run(10.seconds)
        assertTrue(
            network.all().all {
                it.protocol.state.configuration.value.inForce.revision == Revision(40)
            }
        )
    }

    /**
     * Guards against convergence that takes more than a few heartbeats after a simultaneous start,
     * and against tables that hold all hosts of other data centres.
     */
    @Test
    fun `hosts that start together know their data centre and a few contacts elsewhere`() {
        val network = VirtualNetwork(Random(11))
        repeat(80) { network.add("dc-${it % 2}") }
        network.run(10.seconds)
        network.all().forEach { host ->
            val members = host.protocol.state.membership.value
            assertEquals(40, members.live(host.own.dataCentre).size)
            assertEquals(48, members.members.size)
        }
    }
}
