/*
 * Measures the processor time and the bytes of control work in one thread: heartbeats with the
 * decisions behind them, and configurations of several sizes.
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

private val threads = ManagementFactory.getThreadMXBean()

/** Processor time of [act] in microseconds, after [rounds] rounds to warm up. */
private fun microseconds(rounds: Int, act: () -> Unit): Double {
    repeat(rounds) { act() }
    val before = threads.currentThreadCpuTime
    repeat(rounds) { act() }
    return (threads.currentThreadCpuTime - before) / rounds / NANOS_PER_MICRO
}

/** Heap in use after a collection, in bytes. */
private fun usedHeap(): Long {
    repeat(COLLECTIONS) { System.gc() }
    return Runtime.getRuntime().run { totalMemory() - freeMemory() }
}

private fun member(number: Int): Member = Member(
    id = MemberId(Incarnation("%016x".format(number * SPREAD))),
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

/** A heartbeat and its reply between two hosts: both sides, decisions and encoding. */
private fun heartbeatCost(hosts: Int) {
    val clock = MonotonicClock { MonotonicTime.ZERO }
    val first = protocol(1, hosts, clock)
    val second = protocol(2, hosts, clock)
    val cost = microseconds(HEARTBEATS) {
        val beat = encodePeerMessage(first.heartbeat(second.own.id, 1))
        second.receive(first.own.id, decodePeerMessage(beat)).forEach {
            first.receive(second.own.id, decodePeerMessage(encodePeerMessage(it)))
        }
    }
    val tick = microseconds(HEARTBEATS) { first.tick() }
    val before = usedHeap()
    val held = List(COPIES) { protocol(1, hosts, clock) }
    val bytes = (usedHeap() - before) / COPIES
    val members = held.first().state.membership.value.members.size
    println(
        "members %5d  exchange %7.1f us  tick %7.1f us  table %8d B"
            .format(members, cost, tick, bytes)
    )
}

private fun configuration(resources: Int): Configuration =
    (1..resources).fold(Configuration(Revision(1))) { all, number ->
        all.with(Organisation(OrganisationName("organisation-$number")))
    }

/** One change as the platform and the peers carry it: JSON document and CBOR snapshot. */
private fun configurationCost(resources: Int) {
    val document = configuration(resources)
    val text = Json.encodeToString(document.toMessage())
    val body = encodePeerMessage(ConfigurationSnapshot(document.toMessage()))
    val encode = microseconds(DOCUMENTS) { Json.encodeToString(document.toMessage()) }
    val decode = microseconds(DOCUMENTS) { readDocument(text) }
    val peer = microseconds(DOCUMENTS) { decodePeerMessage(body) }
    val before = usedHeap()
    val held = List(COPIES) { readDocument(text) }
    val bytes = (usedHeap() - before) / COPIES
    println(
        "resources %5d  json %7d B  cbor %7d B  encode %8.1f us  decode %8.1f us  ".format(
            resources,
            text.length,
            body.size,
            encode,
            decode
        ) +
            "peer decode %8.1f us  heap %8d B  revision %s".format(
                peer,
                bytes,
                held.first().revision
            )
    )
}

private fun readDocument(text: String): Configuration =
    Json.decodeFromString<ConfigurationMessage>(text).toConfiguration()

/** Prints the costs for members and resources of the sizes below. */
public fun main() {
    MEMBERS.forEach(::heartbeatCost)
    RESOURCES.forEach(::configurationCost)
}

private val MEMBERS = listOf(10, 50, 150, 240)
private val RESOURCES = listOf(100, 500, 2_000, 8_000)
private const val HEARTBEATS = 20_000
private const val DOCUMENTS = 100
private const val COPIES = 20
private const val COLLECTIONS = 3
private const val SPREAD = 1_000_003L
private const val NANOS_PER_MICRO = 1_000.0
