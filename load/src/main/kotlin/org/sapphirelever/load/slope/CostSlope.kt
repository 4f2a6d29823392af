/*
 * Measures CPU time, message size and heap of the control plane in one thread: heartbeats with
 * their membership decisions, and configurations of several sizes.
 */
package org.sapphirelever.load.slope

import java.lang.management.ManagementFactory
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.HostId
import org.sapphirelever.core.Incarnation
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.OrganisationName
import org.sapphirelever.core.Revision
import org.sapphirelever.core.resource.Configuration
import org.sapphirelever.core.resource.Organisation
import org.sapphirelever.decisions.membership.Member
import org.sapphirelever.decisions.membership.MemberId
import org.sapphirelever.decisions.membership.MembershipEvent
import org.sapphirelever.decisions.membership.on
import org.sapphirelever.runtime.peer.PeerProtocol
import org.sapphirelever.runtime.peer.PeerState
import org.sapphirelever.wire.ConfigurationMessage
import org.sapphirelever.wire.peer.ConfigurationSnapshot
import org.sapphirelever.wire.peer.decodePeerMessage
import org.sapphirelever.wire.peer.encodePeerMessage
import org.sapphirelever.wire.toConfiguration
import org.sapphirelever.wire.toMessage

private val threadTimes = ManagementFactory.getThreadMXBean()

/** Mean CPU time of [action] over [rounds] calls, after as many warm-up calls. */
private fun cpuMicroseconds(rounds: Int, action: () -> Unit): Double {
    repeat(rounds) { action() }
    val before = threadTimes.currentThreadCpuTime
    repeat(rounds) { action() }
    return (threadTimes.currentThreadCpuTime - before) / rounds / NANOS_PER_MICRO
}

/** Heap in use after garbage collection. */
private fun usedHeapBytes(): Long {
    repeat(GC_ROUNDS) { System.gc() }
    return Runtime.getRuntime().run { totalMemory() - freeMemory() }
}

private fun member(number: Int): Member = Member(
    id = MemberId(Incarnation("%016x".format(number * INCARNATION_STEP))),
    host = HostId("host-$number"),
    dataCentre = DataCentre("dc-1"),
    peer = Endpoint("10.0.0.1", number),
    http = Endpoint("10.0.0.1", number)
)

private fun protocol(number: Int, hosts: Int, clock: MonotonicClock): PeerProtocol {
    val protocol = PeerProtocol(PeerState(member(number), clock))
    val table = (1..hosts).map { member(it) }
    val event = MembershipEvent.Received(null, table, clock.now(), propagate = false)
    protocol.state.membership.decide { it.on(event) }
    return protocol
}

/** Measures a heartbeat and its reply on both hosts, with decisions and encoding. */
private fun measureHeartbeat(hosts: Int) {
    val clock = MonotonicClock { MonotonicTime.ZERO }
    val first = protocol(1, hosts, clock)
    val second = protocol(2, hosts, clock)
    val cost = cpuMicroseconds(HEARTBEAT_ROUNDS) {
        val heartbeat = encodePeerMessage(first.heartbeat(second.own.id, 1))
        second.receive(first.own.id, decodePeerMessage(heartbeat)).forEach {
            first.receive(second.own.id, decodePeerMessage(encodePeerMessage(it)))
        }
    }
    val tick = cpuMicroseconds(HEARTBEAT_ROUNDS) { first.tick() }
    val before = usedHeapBytes()
    val copies = List(HEAP_COPIES) { protocol(1, hosts, clock) }
    val bytes = (usedHeapBytes() - before) / HEAP_COPIES
    val members = copies.first().state.membership.value.members.size
    println(
        "members %5d  exchange %7.1f us  tick %7.1f us  table %8d B"
            .format(members, cost, tick, bytes)
    )
}

private fun configuration(resources: Int): Configuration =
    (1..resources).fold(Configuration(Revision(1))) { all, number ->
        all.with(Organisation(OrganisationName("organisation-$number")))
    }

/** Measures a configuration as the platform (JSON) and the peers (CBOR snapshot) transfer it. */
private fun measureConfiguration(resources: Int) {
    val configuration = configuration(resources)
    val json = Json.encodeToString(configuration.toMessage())
    val cbor = encodePeerMessage(ConfigurationSnapshot(configuration.toMessage()))
    val encode =
        cpuMicroseconds(CONFIGURATION_ROUNDS) { Json.encodeToString(configuration.toMessage()) }
    val decode = cpuMicroseconds(CONFIGURATION_ROUNDS) { decodeConfiguration(json) }
    val peer = cpuMicroseconds(CONFIGURATION_ROUNDS) { decodePeerMessage(cbor) }
    val before = usedHeapBytes()
    val copies = List(HEAP_COPIES) { decodeConfiguration(json) }
    val bytes = (usedHeapBytes() - before) / HEAP_COPIES
    println(
        "resources %5d  json %7d B  cbor %7d B  encode %8.1f us  decode %8.1f us  ".format(
            resources,
            json.length,
            cbor.size,
            encode,
            decode
        ) +
            "peer decode %8.1f us  heap %8d B  revision %s".format(
                peer,
                bytes,
                copies.first().revision
            )
    )
}

private fun decodeConfiguration(json: String): Configuration =
    Json.decodeFromString<ConfigurationMessage>(json).toConfiguration()

/** Prints the costs for each of [MEMBER_COUNTS] and [RESOURCE_COUNTS]. */
public fun main() {
    MEMBER_COUNTS.forEach(::measureHeartbeat)
    RESOURCE_COUNTS.forEach(::measureConfiguration)
}

private val MEMBER_COUNTS = listOf(10, 50, 150, 240)
private val RESOURCE_COUNTS = listOf(100, 500, 2_000, 8_000)
private const val HEARTBEAT_ROUNDS = 20_000
private const val CONFIGURATION_ROUNDS = 100
private const val HEAP_COPIES = 20
private const val GC_ROUNDS = 3
private const val INCARNATION_STEP = 1_000_003L
private const val NANOS_PER_MICRO = 1_000.0
