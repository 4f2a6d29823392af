/*
 * Entry hosts in one process on virtual time. They run the real protocol and the real encoding;
 * only sockets and the clock are replaced. Cuts and delays are set by the experiment.
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

/** Number of messages and of bytes with frame headers. */
public data class Traffic(public val messages: Long = 0, public val bytes: Long = 0) {
    public operator fun minus(other: Traffic): Traffic =
        Traffic(messages - other.messages, bytes - other.bytes)
}

/** One host of the experiment. */
public class VirtualHost internal constructor(
    public val protocol: PeerProtocol,
    internal val seeds: List<VirtualHost>
) {
    /** False while the process is dead or paused: it neither sends nor receives. */
    public var running: Boolean = true
    internal val outgoing: MutableMap<Endpoint, VirtualHost> = linkedMapOf()
    internal val incoming: MutableSet<VirtualHost> = linkedSetOf()
    internal val greeted: MutableSet<Endpoint> = mutableSetOf()
    internal var toldNews: Long = 0

    public val own: Member get() = protocol.own
}

/** Network of virtual hosts; [random] draws start times and delays up to [greatestDelay]. */
public class VirtualNetwork(
    private val random: Random,
    public var greatestDelay: Duration = 3.milliseconds
) {
    private class Event(val at: MonotonicTime, val order: Long, val act: () -> Unit)

    private val queue =
        PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.order })
    private var now = MonotonicTime.ZERO
    private var order = 0L
    private val hosts = mutableListOf<VirtualHost>()

    /** Whether a message from the first host to the second is lost. */
    public var cut: (VirtualHost, VirtualHost) -> Boolean = { _, _ -> false }

    public var traffic: Traffic = Traffic()
        private set

    /** Largest frame sent so far, in bytes. */
    public var greatestFrame: Int = 0
        private set

    public val clock: MonotonicClock = MonotonicClock { now }

    public fun all(): List<VirtualHost> = hosts

    /** Adds a host of [dataCentre] that starts after [delay] and knows [seeds]. */
    public fun add(
        dataCentre: String,
        seeds: List<VirtualHost> = hosts.take(SEEDS),
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

    /** Runs until [limit] has passed or [done] holds, and returns the time that took. */
    public fun run(limit: Duration, done: () -> Boolean = { false }): Duration {
        val start = now
        val end = now + limit
        while (!done()) {
            val next = queue.peek()
            if (next == null || next.at > end) {
                now = end
                break
            }
            queue.poll()
            now = next.at
            next.act()
        }
        return now - start
    }

    private fun schedule(delay: Duration, act: () -> Unit) {
        queue.add(Event(now + delay, order++, act))
    }

    private fun tick(host: VirtualHost) {
        if (host.running) {
            host.protocol.tick()
            follow(host)
            tellNews(host)
        }
        schedule(TICK) { tick(host) }
    }

    private fun follow(host: VirtualHost) {
        val membership = host.protocol.state.membership.value
        val linked = membership.lastHeardAt.keys.mapNotNull { membership.members[it]?.member?.peer }
        val known = membership.members.values.filter { it.member.isLive }.map { it.member.peer }
        val told = if (membership.unreachable.isEmpty()) host.greeted else emptySet()
        val unknown = host.seeds.map { it.own.peer }.filter { it !in known && it !in told }
        val wanted = (linked + unknown).toSet()
        (host.outgoing.keys - wanted).forEach { host.outgoing.remove(it)?.incoming?.remove(host) }
        (wanted - host.outgoing.keys).forEach { open(host, hosts[it.port - 1]) }
    }

    private fun open(host: VirtualHost, peer: VirtualHost) {
        host.outgoing[peer.own.peer] = peer
        peer.incoming.add(host)
        send(host, peer, host.protocol.hello(peer.own.id.incarnation))
        beat(host, peer, sequence = 1)
    }

    private fun beat(host: VirtualHost, peer: VirtualHost, sequence: Long) {
        if (host.outgoing[peer.own.peer] !== peer) return
        if (host.running) send(host, peer, host.protocol.heartbeat(peer.own.id, sequence))
        val interval = host.protocol.state.membership.value.settings.heartbeat
        schedule(interval) { beat(host, peer, sequence + 1) }
    }

    /** Sends a heartbeat at once on all links of [host] if it has news. */
    public fun tellNews(host: VirtualHost) {
        val count = host.protocol.changeCount.value
        if (count == host.toldNews) return
        host.toldNews = count
        (host.outgoing.values + host.incoming).toSet().forEach {
            send(host, it, host.protocol.heartbeat(it.own.id, 0))
        }
    }

    private fun send(from: VirtualHost, to: VirtualHost, message: PeerMessage) {
        val body = encodePeerMessage(message)
        val size = body.size + FRAME_HEADER_BYTES
        traffic = Traffic(traffic.messages + 1, traffic.bytes + size)
        greatestFrame = maxOf(greatestFrame, size)
        if (cut(from, to)) return
        val delay = random.nextLong(greatestDelay.inWholeMicroseconds) + 1
        schedule((delay / MICROS_PER_MILLI).milliseconds) { deliver(from, to, body) }
    }

    private fun deliver(from: VirtualHost, to: VirtualHost, body: ByteArray) {
        if (!to.running) return
        val message = decodePeerMessage(body)
        val remote = from.own.dataCentre != to.own.dataCentre
        if (message is HeartbeatReply && remote) to.greeted.add(from.own.peer)
        val answers = to.protocol.receive(from.own.id, message)
        // The side that accepts a connection answers a hello with its own, which expects nothing.
        if (message is Hello && message.expected.isNotEmpty()) send(to, from, to.protocol.hello())
        if (message !is Leaving) answers.forEach { send(to, from, it) }
        tellNews(to)
    }

    private companion object {
        const val SEEDS = 3
        const val MICROS_PER_MILLI = 1000.0
        val TICK = 500.milliseconds
    }
}
