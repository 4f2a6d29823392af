/*
 * State of the platform stand-in and its pure transitions, which return the new state and a typed
 * reply.
 */
package org.sapphirelever.standins

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.Serializable
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.decisions.Decision
import org.sapphirelever.decisions.decide
import org.sapphirelever.runtime.store.LeaseMessage
import org.sapphirelever.runtime.store.LeaseRequestMessage
import org.sapphirelever.runtime.store.ListedHostMessage
import org.sapphirelever.runtime.store.ValueMessage

/** Kind of a call; [text] is its key in [CallCounts.calls]. */
public enum class PlatformCall(public val text: String, internal val write: Boolean = false) {
    READ("read"),
    WRITE("write", write = true),
    WATCH("watch"),
    LEASE("lease", write = true),
    HOSTS("hosts"),
    WEIGHTS("weights")
}

/**
 * Limits of the platform; 0 means no limit.
 *
 * @property hostLagMillis delay after which readers see a change of the host list
 * @property weightsPerMinute model loads that the weight store serves in a minute
 */
@Serializable
public data class PlatformLimits(
    public val writesPerSecond: Int = 0,
    public val readsPerSecond: Int = 0,
    public val weightsPerMinute: Int = 0,
    public val hostLagMillis: Long = 0
)

/**
 * Faults of the platform.
 *
 * @property outage whether every call is refused with status 503
 * @property silent whether calls are accepted and never answered
 * @property slowMillis delay of each reply
 * @property lostReplies number of next writes and lease calls that take effect but get no reply
 */
@Serializable
public data class PlatformFaults(
    public val outage: Boolean = false,
    public val silent: Boolean = false,
    public val slowMillis: Long = 0,
    public val lostReplies: Int = 0
)

/** Calls so far by kind, including refused ones; refused calls; and watches that wait now. */
@Serializable
public data class CallCounts(
    public val calls: Map<String, Long>,
    public val refused: Long,
    public val waitingWatches: Int
)

internal data class Lease(val holder: String, val fencing: Long, val expires: MonotonicTime)

internal data class HostListVersion(
    val since: MonotonicTime,
    val hosts: PersistentList<ListedHostMessage>
)

/** Number of calls under one rate limit in the window that began at [start]. */
internal data class CallWindow(val start: MonotonicTime, val calls: Int) {
    fun currentAt(now: MonotonicTime, length: Duration): CallWindow =
        if (now - start >= length) CallWindow(now, 0) else this

    fun withCall(): CallWindow = copy(calls = calls + 1)
}

internal data class PlatformState(
    val limits: PlatformLimits = PlatformLimits(),
    val faults: PlatformFaults = PlatformFaults(),
    val values: PersistentMap<String, ValueMessage> = persistentMapOf(),
    val leases: PersistentMap<String, Lease> = persistentMapOf(),
    val hostVersions: PersistentList<HostListVersion> = persistentListOf(),
    val counts: PersistentMap<PlatformCall, Long> = persistentMapOf(),
    val refused: Long = 0,
    val waitingWatches: Int = 0,
    val writes: CallWindow = CallWindow(MonotonicTime.ZERO, 0),
    val reads: CallWindow = CallWindow(MonotonicTime.ZERO, 0),
    val weights: CallWindow = CallWindow(MonotonicTime.ZERO, 0)
)

internal sealed interface PlatformReply {
    data object Admitted : PlatformReply

    data object Throttled : PlatformReply

    data object LoseReply : PlatformReply

    data class Written(val revision: Long) : PlatformReply

    data class Conflict(val revision: Long) : PlatformReply

    data class LeaseHeld(val lease: LeaseMessage) : PlatformReply

    data class LeaseRefused(val lease: LeaseMessage) : PlatformReply
}

private val SECOND = 1.seconds
private val MINUTE = 1.minutes

internal fun PlatformState.value(key: String): ValueMessage = values[key] ?: ValueMessage("", 0)

/** Counts a call and applies the rate limits. A waiting watch counts as one read per second. */
internal fun PlatformState.onCall(
    kind: PlatformCall,
    now: MonotonicTime
): Decision<PlatformState, PlatformReply> {
    val counted = copy(counts = counts.put(kind, (counts[kind] ?: 0) + 1))
    val admitted =
        when {
            kind == PlatformCall.WEIGHTS -> counted.admitWeights(now)
            kind.write -> counted.admitWrite(now)
            else -> counted.admitRead(now)
        }
    return admitted?.decide(PlatformReply.Admitted)
        ?: counted.copy(refused = refused + 1).decide(PlatformReply.Throttled)
}

private fun PlatformState.admitWrite(now: MonotonicTime): PlatformState? {
    val window = writes.currentAt(now, SECOND)
    val limit = limits.writesPerSecond
    return if (limit > 0 && window.calls >= limit) null else copy(writes = window.withCall())
}

private fun PlatformState.admitRead(now: MonotonicTime): PlatformState? {
    val window = reads.currentAt(now, SECOND)
    val limit = limits.readsPerSecond
    val used = window.calls + waitingWatches
    return if (limit > 0 && used >= limit) null else copy(reads = window.withCall())
}

private fun PlatformState.admitWeights(now: MonotonicTime): PlatformState? {
    val window = weights.currentAt(now, MINUTE)
    val limit = limits.weightsPerMinute
    return if (limit > 0 && window.calls >= limit) null else copy(weights = window.withCall())
}

/** Decides whether the next reply is lost, and decrements the number of replies to lose. */
internal fun PlatformState.onReply(): Decision<PlatformState, PlatformReply> =
    if (faults.lostReplies > 0) {
        copy(faults = faults.copy(lostReplies = faults.lostReplies - 1))
            .decide(PlatformReply.LoseReply)
    } else {
        decide(PlatformReply.Admitted)
    }

internal fun PlatformState.onWrite(
    key: String,
    expected: Long,
    text: String
): Decision<PlatformState, PlatformReply> {
    val revision = value(key).revision
    if (revision != expected) return decide(PlatformReply.Conflict(revision))
    val written = ValueMessage(text, revision + 1)
    return copy(values = values.put(key, written)).decide(PlatformReply.Written(written.revision))
}

/**
 * Grants the lease unless another caller holds it. A holder that repeats its request after a lost
 * reply keeps its fencing number; every other grant gets a greater number than all before it.
 */
internal fun PlatformState.onAcquire(
    name: String,
    request: LeaseRequestMessage,
    now: MonotonicTime
): Decision<PlatformState, PlatformReply> {
    val current = leases[name]
    val live = current?.takeIf { it.expires > now }
    if (live != null && live.holder != request.holder) return decide(live.refused())
    val fencing = live?.fencing ?: ((current?.fencing ?: 0) + 1)
    return granted(name, request, fencing, now)
}

/** Extends the lease of its current holder; an expired lease cannot be renewed. */
internal fun PlatformState.onRenew(
    name: String,
    request: LeaseRequestMessage,
    now: MonotonicTime
): Decision<PlatformState, PlatformReply> {
    val live = leases[name]?.takeIf { it.expires > now }
    val held = live != null && live.holder == request.holder && live.fencing == request.fencing
    return if (held) granted(name, request, request.fencing, now) else decide(live.refused())
}

/** Ends the lease of its current holder; its fencing number stays for the next grant to exceed. */
internal fun PlatformState.onRelease(
    name: String,
    request: LeaseRequestMessage,
    now: MonotonicTime
): Decision<PlatformState, PlatformReply> {
    val current = leases[name]
    val held = current?.holder == request.holder && current.fencing == request.fencing
    if (current == null || !held) return decide(current.refused())
    val ended = current.copy(expires = now)
    return copy(leases = leases.put(name, ended))
        .decide(PlatformReply.LeaseHeld(LeaseMessage("", current.fencing)))
}

private fun PlatformState.granted(
    name: String,
    request: LeaseRequestMessage,
    fencing: Long,
    now: MonotonicTime
): Decision<PlatformState, PlatformReply> {
    val lease = Lease(request.holder, fencing, now + request.timeToLiveMillis.milliseconds)
    return copy(leases = leases.put(name, lease))
        .decide(PlatformReply.LeaseHeld(LeaseMessage(lease.holder, fencing)))
}

private fun Lease?.refused(): PlatformReply =
    PlatformReply.LeaseRefused(LeaseMessage(this?.holder.orEmpty(), this?.fencing ?: 0))

/** Host list that readers see at [now]: the newest version that is at least as old as the lag. */
internal fun PlatformState.visibleHosts(now: MonotonicTime): PersistentList<ListedHostMessage> =
    hostVersions.lastOrNull { now - it.since >= limits.hostLagMillis.milliseconds }?.hosts
        ?: persistentListOf()

internal fun PlatformState.withHosts(
    now: MonotonicTime,
    change: (PersistentList<ListedHostMessage>) -> PersistentList<ListedHostMessage>
): PlatformState {
    val newest = hostVersions.lastOrNull()?.hosts ?: persistentListOf()
    val lag = limits.hostLagMillis.milliseconds
    val firstKept = hostVersions.indexOfLast { now - it.since >= lag }.coerceAtLeast(0)
    val kept = hostVersions.drop(firstKept).toPersistentList()
    return copy(hostVersions = kept.add(HostListVersion(now, change(newest))))
}
