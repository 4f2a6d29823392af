/*
 * Simulates entry hosts in one process on virtual time. They run the real protocol and the real
 * encoding; only sockets and the clock are replaced. The caller sets message loss and delays.
 */
package org.sapphirelever.load.slope

import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.HostId
import org.sapphirelever.core.Incarnation
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.decisions.membership.Member
import org.sapphirelever.decisions.membership.MemberId
import org.sapphirelever.runtime.peer.PeerProtocol
import org.sapphirelever.runtime.peer.PeerState
import org.sapphirelever.wire.peer.FRAME_HEADER_BYTES
import org.sapphirelever.wire.peer.HeartbeatReply
import org.sapphirelever.wire.peer.Hello
import org.sapphirelever.wire.peer.Leaving
import org.sapphirelever.wire.peer.PeerMessage
import org.sapphirelever.wire.peer.decodePeerMessage
import org.sapphirelever.wire.peer.encodePeerMessage

/** Numbers of messages and of bytes sent, including frame headers. */
public data class Traffic(public val messages: Long = 0, public val bytes: Long = 0) {
    public operator fun minus(other: Traffic): Traffic =
        Traffic(messages - other.messages, bytes - other.bytes)
}

/** A simulated entry host; [seeds] are the hosts that it knows at its start. */
public class VirtualHost internal constructor(
    public val protocol: PeerProtocol,
    internal val seeds: List<VirtualHost>
) {
    /** False while the process is dead or paused and neither sends nor receives. */
    public var running: Boolean = true
    internal val outgoing: MutableMap<Endpoint, VirtualHost> = linkedMapOf()
    internal val incoming: MutableSet<VirtualHost> = linkedSetOf()

    /** Peers in other data centres that have replied to a heartbeat. */
    internal val answeredPeers: MutableSet<Endpoint> = mutableSetOf()

    /** Value of the change counter of [protocol] when changes were last sent. */
    internal var sentChangeCount: Long = 0

    public val own: Member get() = protocol.own
}

/** Network of virtual hosts; [random] draws incarnations and delays up to [maximumDelay]. */
public class VirtualNetwork(
    private val random: Random,
    public var maximumDelay: Duration = 3.milliseconds
) {
    private class Event(val at: MonotonicTime, val insertionOrder: Long, val action: () -> Unit)

    private val events =
        PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.insertionOrder })
    private var now = MonotonicTime.ZERO
    private var insertionOrder = 0L
    private val hosts = mutableListOf<VirtualHost>()

    /** Returns true if a message from the first host to the second is lost. */
    public var isLost: (VirtualHost, VirtualHost) -> Boolean = { _, _ -> false }

    public var traffic: Traffic = Traffic()
        private set

    /** Largest frame sent so far, in bytes. */
    public var largestFrameBytes: Int = 0
        private set

    public val clock: MonotonicClock = MonotonicClock { now }

    public fun all(): List<VirtualHost> = hosts

    /** Adds a host in [dataCentre] that starts after [delay] and connects to [seeds] first. */
    public fun add(
        dataCentre: String,
        seeds: List<VirtualHost> = hosts.take(SEED_HOSTS),
        delay: Duration = Duration.ZERO
    ): VirtualHost {
        val number = hosts.size + 1
        val own = Member(
            id = MemberId(Incarnation("%016x".format(random.nextLong()))),
            host = HostId("host-$number"),
            dataCentre = DataCentre(dataCentre),
            peer = Endpoint("10.0.0.1", number),
            http = Endpoint("10.0.0.1", number)
        )
        val host = VirtualHost(PeerProtocol(PeerState(own, clock)), seeds.toList())
        hosts.add(host)
        schedule(delay) { tick(host) }
        return host
    }

    /** Runs until [limit] has passed or [done] holds, and returns the elapsed virtual time. */
    public fun run(limit: Duration, done: () -> Boolean = { false }): Duration {
        val start = now
        val end = now + limit
        while (!done()) {
            val next = events.peek()
            if (next == null || next.at > end) {
                now = end
                break
            }
            events.poll()
            now = next.at
            next.action()
        }
        return now - start
    }

    private fun schedule(delay: Duration, action: () -> Unit) {
        events.add(Event(now + delay, insertionOrder++, action))
    }

    private fun tick(host: VirtualHost) {
        if (host.running) {
            host.protocol.tick()
            updateLinks(host)
            sendChanges(host)
        }
        schedule(TICK_INTERVAL) { tick(host) }
    }

    private fun updateLinks(host: VirtualHost) {
        val membership = host.protocol.state.membership.value
        val linkedPeers = membership.lastHeardAt.keys.mapNotNull {
            membership.members[it]?.member?.peer
        }
        val live = membership.members.values.filter { it.member.isLive }.map { it.member.peer }
        val answered = if (membership.unreachable.isEmpty()) host.answeredPeers else emptySet()
        val unknownSeeds = host.seeds.map { it.own.peer }.filter { it !in live && it !in answered }
        val desiredPeers = (linkedPeers + unknownSeeds).toSet()
        (host.outgoing.keys - desiredPeers).forEach {
            host.outgoing.remove(it)?.incoming?.remove(host)
        }
        (desiredPeers - host.outgoing.keys).forEach { openLink(host, hosts[it.port - 1]) }
    }

    private fun openLink(host: VirtualHost, peer: VirtualHost) {
        host.outgoing[peer.own.peer] = peer
        peer.incoming.add(host)
        send(host, peer, host.protocol.hello(peer.own.id.incarnation))
        sendHeartbeat(host, peer, sequence = 1)
    }

    private fun sendHeartbeat(host: VirtualHost, peer: VirtualHost, sequence: Long) {
        if (host.outgoing[peer.own.peer] !== peer) return
        if (host.running) send(host, peer, host.protocol.heartbeat(peer.own.id, sequence))
        val interval = host.protocol.state.membership.value.settings.heartbeat
        schedule(interval) { sendHeartbeat(host, peer, sequence + 1) }
    }

    /** Sends a heartbeat at once on all links of [host] if it has unsent changes. */
    public fun sendChanges(host: VirtualHost) {
        val count = host.protocol.changeCount.value
        if (count == host.sentChangeCount) return
        host.sentChangeCount = count
        (host.outgoing.values + host.incoming).toSet().forEach {
            send(host, it, host.protocol.heartbeat(it.own.id, 0))
        }
    }

    private fun send(from: VirtualHost, to: VirtualHost, message: PeerMessage) {
        val body = encodePeerMessage(message)
        val size = body.size + FRAME_HEADER_BYTES
        traffic = Traffic(traffic.messages + 1, traffic.bytes + size)
        largestFrameBytes = maxOf(largestFrameBytes, size)
        if (isLost(from, to)) return
        val delay = random.nextLong(maximumDelay.inWholeMicroseconds) + 1
        schedule((delay / MICROS_PER_MILLI).milliseconds) { deliver(from, to, body) }
    }

    private fun deliver(from: VirtualHost, to: VirtualHost, body: ByteArray) {
        if (!to.running) return
        val message = decodePeerMessage(body)
        val remote = from.own.dataCentre != to.own.dataCentre
        if (message is HeartbeatReply && remote) to.answeredPeers.add(from.own.peer)
        val answers = to.protocol.receive(from.own.id, message)
        // The accepting side replies to a hello with its own, which names no expected incarnation.
        if (message is Hello && message.expected.isNotEmpty()) send(to, from, to.protocol.hello())
        if (message !is Leaving) answers.forEach { send(to, from, it) }
        sendChanges(to)
    }

    private companion object {
        const val SEED_HOSTS = 3
        const val MICROS_PER_MILLI = 1000.0
        val TICK_INTERVAL = 500.milliseconds
    }
}
