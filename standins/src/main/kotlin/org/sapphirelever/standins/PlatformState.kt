/*
 * State of the platform stand-in and its transitions, which are pure: state and time in, new state
 * and typed replies out.
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

/** Kind of a call, as the counts name it. */
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
 * @property hostLagMillis age of the host list that readers see
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
 * @property outage refuse every call with status 503
 * @property silent accept calls and never answer
 * @property slowMillis delay of each reply
 * @property lostReplies number of coming writes and lease calls that take effect without a reply
 */
@Serializable
public data class PlatformFaults(
    public val outage: Boolean = false,
    public val silent: Boolean = false,
    public val slowMillis: Long = 0,
    public val lostReplies: Int = 0
)

/** Counts of the calls so far, refused ones included, and watches that wait now. */
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

/** Calls of one kind of limit since [start]. */
internal data class CallWindow(val start: MonotonicTime, val calls: Int) {
    fun at(now: MonotonicTime, length: Duration): CallWindow =
        if (now - start >= length) CallWindow(now, 0) else this

    fun counted(): CallWindow = copy(calls = calls + 1)
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

/** Counts a call and admits it under the rate limits. A waiting watch uses up one read a second. */
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
    val window = writes.at(now, SECOND)
    val limit = limits.writesPerSecond
    return if (limit > 0 && window.calls >= limit) null else copy(writes = window.counted())
}

private fun PlatformState.admitRead(now: MonotonicTime): PlatformState? {
    val window = reads.at(now, SECOND)
    val limit = limits.readsPerSecond
    val used = window.calls + waitingWatches
    return if (limit > 0 && used >= limit) null else copy(reads = window.counted())
}

private fun PlatformState.admitWeights(now: MonotonicTime): PlatformState? {
    val window = weights.at(now, MINUTE)
    val limit = limits.weightsPerMinute
    return if (limit > 0 && window.calls >= limit) null else copy(weights = window.counted())
}

/** Takes one reply to lose, if the faults ask for it. */
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
 * Gives the lease to the caller unless another holds it. A holder that asks again, because a reply
 * was lost, keeps its number; every other grant has a greater number than all before it.
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

/** Extends the lease of its present holder; a lapsed lease cannot be renewed. */
internal fun PlatformState.onRenew(
    name: String,
    request: LeaseRequestMessage,
    now: MonotonicTime
): Decision<PlatformState, PlatformReply> {
    val live = leases[name]?.takeIf { it.expires > now }
    val held = live != null && live.holder == request.holder && live.fencing == request.fencing
    return if (held) granted(name, request, request.fencing, now) else decide(live.refused())
}

/** Ends the lease of its present holder and keeps its number for the next grant. */
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

/** Host list as readers see it at [now]: the newest version older than the lag. */
internal fun PlatformState.visibleHosts(now: MonotonicTime): PersistentList<ListedHostMessage> =
    hostVersions.lastOrNull { now - it.since >= limits.hostLagMillis.milliseconds }?.hosts
        ?: persistentListOf()

internal fun PlatformState.withHosts(
    now: MonotonicTime,
    change: (PersistentList<ListedHostMessage>) -> PersistentList<ListedHostMessage>
): PlatformState {
    val newest = hostVersions.lastOrNull()?.hosts ?: persistentListOf()
    val lag = limits.hostLagMillis.milliseconds
    val shown = hostVersions.indexOfLast { now - it.since >= lag }.coerceAtLeast(0)
    val kept = hostVersions.drop(shown).toPersistentList()
    return copy(hostVersions = kept.add(HostListVersion(now, change(newest))))
}
