/*
 * State that an engine stand-in has in addition to [TargetState]: streams, prefix cache and orders.
 * Transitions are pure.
 */
package org.sapphirelever.standins

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.Serializable
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.decisions.Decision
import org.sapphirelever.decisions.decide
import org.sapphirelever.wire.CacheEventMessage
import org.sapphirelever.wire.EngineState
import org.sapphirelever.wire.EngineStateMessage
import org.sapphirelever.wire.OrderMessage
import org.sapphirelever.wire.RunMessage

/** Exported entry of the KV cache: a prefix and its length in characters. */
@Serializable
public data class CacheEntryMessage(public val prefix: String, public val length: Int)

internal data class StreamKey(val request: String, val stage: String, val attempt: Int)

internal val RunMessage.streamKey: StreamKey get() = StreamKey(request, stage, attempt)

internal enum class StreamPhase { OPEN, DONE, CANCELLED }

internal data class StreamRecord(
    val tokens: PersistentList<String> = persistentListOf(),
    val phase: StreamPhase = StreamPhase.OPEN
)

internal data class CacheEvent(val occurredAt: MonotonicTime, val message: CacheEventMessage)

/**
 * LRU cache of prompt prefixes.
 *
 * @property eventGap every this many events, one is lost; 0 for none
 * @property entries prefixes from least to most recently used
 * @property events additions and evictions
 * @property sequence number of the last event
 */
internal data class PrefixCache(
    val capacity: Int,
    val eventGap: Int,
    val entries: PersistentList<String> = persistentListOf(),
    val events: PersistentList<CacheEvent> = persistentListOf(),
    val sequence: Long = 0
)

internal data class EngineStandInState(
    val cache: PrefixCache,
    val desired: EngineState,
    val actual: EngineState,
    val fencing: Long = 0,
    val streams: PersistentMap<StreamKey, StreamRecord> = persistentMapOf()
)

internal sealed interface OrderReply {
    /** The order is in force; [mustLoad] tells whether a load must start. */
    data class Taken(val mustLoad: Boolean) : OrderReply

    data object Outdated : OrderReply
}

/** Applies [order], unless fencing numbers are honoured and its number is below the last one. */
internal fun EngineStandInState.onOrder(
    order: OrderMessage,
    honoursFencing: Boolean
): Decision<EngineStandInState, OrderReply> {
    if (honoursFencing && order.fencing < fencing) return decide(OrderReply.Outdated)
    val mustLoad = order.desired != desired
    return copy(fencing = order.fencing, desired = order.desired).decide(OrderReply.Taken(mustLoad))
}

/** Completes the load of [loaded], unless a later order demands another state. */
internal fun EngineStandInState.onLoaded(loaded: EngineState): EngineStandInState =
    if (desired == loaded) copy(actual = loaded) else this

internal fun EngineStandInState.toMessage(): EngineStateMessage =
    EngineStateMessage(fencing, desired, actual, loading = desired != actual)

internal fun EngineStandInState.onToken(key: StreamKey, text: String): EngineStandInState =
    changeStream(key) { it.copy(tokens = it.tokens.add(text)) }

internal fun EngineStandInState.onStreamEnd(
    key: StreamKey,
    phase: StreamPhase
): EngineStandInState = changeStream(key) { it.copy(phase = phase) }

private fun EngineStandInState.changeStream(
    key: StreamKey,
    change: (StreamRecord) -> StreamRecord
): EngineStandInState {
    val record = streams[key] ?: StreamRecord()
    return if (record.phase == StreamPhase.OPEN) {
        copy(streams = streams.put(key, change(record)))
    } else {
        this
    }
}

internal operator fun PrefixCache.contains(prefix: String): Boolean = prefix in entries

/** Makes [prefix] the most recently used entry; evicts the least recently used over capacity. */
internal fun PrefixCache.onUse(prefix: String, now: MonotonicTime): PrefixCache {
    val wasCached = prefix in entries
    val used = copy(entries = entries.remove(prefix).add(prefix))
    val added = if (wasCached) used else used.published(prefix, cached = true, now)
    if (added.entries.size <= capacity) return added
    val evicted = added.entries.first()
    return added.copy(entries = added.entries.removeAt(0)).published(evicted, cached = false, now)
}

/** Records a change. Every [PrefixCache.eventGap]-th event is lost and its number is skipped. */
private fun PrefixCache.published(
    prefix: String,
    cached: Boolean,
    now: MonotonicTime
): PrefixCache {
    val number = sequence + 1
    val lost = eventGap > 0 && number % eventGap == 0L
    val event = CacheEvent(now, CacheEventMessage(number, prefix, cached))
    return copy(sequence = number, events = if (lost) events else events.add(event))
}
