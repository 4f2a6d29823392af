/*
 * State of an engine stand-in besides that of every target: streams, prefix cache and orders.
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

/** Exported part of the KV cache: a prefix and the number of its characters. */
@Serializable
public data class CacheEntryMessage(public val prefix: String, public val length: Int)

internal data class StreamKey(val request: String, val stage: String, val attempt: Int)

internal val RunMessage.streamKey: StreamKey get() = StreamKey(request, stage, attempt)

internal enum class StreamPhase { OPEN, DONE, CANCELLED }

internal data class StreamRecord(
    val tokens: PersistentList<String> = persistentListOf(),
    val phase: StreamPhase = StreamPhase.OPEN
)

internal data class CacheEvent(val since: MonotonicTime, val message: CacheEventMessage)

/** Prefixes from least to most recently used, and the events of their changes. */
internal data class PrefixCache(
    val capacity: Int,
    val gapEvery: Int,
    val entries: PersistentList<String> = persistentListOf(),
    val events: PersistentList<CacheEvent> = persistentListOf(),
    val sequence: Long = 0
)

internal data class EngineCell(
    val cache: PrefixCache,
    val desired: EngineState,
    val actual: EngineState,
    val fencing: Long = 0,
    val streams: PersistentMap<StreamKey, StreamRecord> = persistentMapOf()
)

internal sealed interface OrderReply {
    /** The order is in force; [load] tells whether a load must start. */
    data class Taken(val load: Boolean) : OrderReply

    data object Outdated : OrderReply
}

/** Takes [order]. An engine that honours fencing numbers refuses a smaller one than the last. */
internal fun EngineCell.onOrder(
    order: OrderMessage,
    honoursFencing: Boolean
): Decision<EngineCell, OrderReply> {
    if (honoursFencing && order.fencing < fencing) return decide(OrderReply.Outdated)
    val load = order.desired != desired
    return copy(fencing = order.fencing, desired = order.desired).decide(OrderReply.Taken(load))
}

/** Ends a load of [loaded], unless a later order asked for something else. */
internal fun EngineCell.onLoaded(loaded: EngineState): EngineCell =
    if (desired == loaded) copy(actual = loaded) else this

internal fun EngineCell.toMessage(): EngineStateMessage =
    EngineStateMessage(fencing, desired, actual, loading = desired != actual)

internal fun EngineCell.onToken(key: StreamKey, text: String): EngineCell =
    changeStream(key) { it.copy(tokens = it.tokens.add(text)) }

internal fun EngineCell.onStreamEnd(key: StreamKey, phase: StreamPhase): EngineCell =
    changeStream(key) { it.copy(phase = phase) }

private fun EngineCell.changeStream(
    key: StreamKey,
    change: (StreamRecord) -> StreamRecord
): EngineCell {
    val record = streams[key] ?: StreamRecord()
    return if (record.phase == StreamPhase.OPEN) {
        copy(streams = streams.put(key, change(record)))
    } else {
        this
    }
}

internal operator fun PrefixCache.contains(prefix: String): Boolean = prefix in entries

/** Uses [prefix]: makes it the most recent entry and evicts the least recent over the capacity. */
internal fun PrefixCache.onUse(prefix: String, now: MonotonicTime): PrefixCache {
    val known = prefix in entries
    val used = copy(entries = entries.remove(prefix).add(prefix))
    val added = if (known) used else used.published(prefix, cached = true, now)
    if (added.entries.size <= capacity) return added
    val evicted = added.entries.first()
    return added.copy(entries = added.entries.removeAt(0)).published(evicted, cached = false, now)
}

/** Publishes a change. Every [PrefixCache.gapEvery]-th event is lost; its number stays unused. */
private fun PrefixCache.published(
    prefix: String,
    cached: Boolean,
    now: MonotonicTime
): PrefixCache {
    val number = sequence + 1
    val lost = gapEvery > 0 && number % gapEvery == 0L
    val event = CacheEvent(now, CacheEventMessage(number, prefix, cached))
    return copy(sequence = number, events = if (lost) events else events.add(event))
}
