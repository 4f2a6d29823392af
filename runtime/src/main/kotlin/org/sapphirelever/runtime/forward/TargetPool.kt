/*
 * Connections to targets that are kept for further calls.
 */
package org.sapphirelever.runtime.forward

import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.delay
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.TargetRecord
import org.sapphirelever.decisions.Decision
import org.sapphirelever.decisions.decide
import org.sapphirelever.runtime.StateCell
import org.sapphirelever.runtime.transport.HttpConnection
import org.sapphirelever.runtime.transport.Sockets

/** An idle connection that the target keeps open until [until]. */
private data class IdleConnection(val connection: HttpConnection, val until: MonotonicTime)

/** Idle connections by target. */
public class TargetPool(private val sockets: Sockets, private val clock: MonotonicClock) {
    private val idle =
        StateCell<PersistentMap<TargetId, PersistentList<IdleConnection>>>(persistentMapOf())

    /** A connection to [target], kept or new; throws [IOException] if there is none. */
    public suspend fun acquire(target: TargetRecord): HttpConnection {
        while (true) {
            val kept = takeIdle(target.id) ?: break
            if (kept.connection.isQuiet && clock.now() < kept.until) return kept.connection
            kept.connection.close()
        }
        return sockets.connect(target.endpoint, CONNECT_LIMIT)
    }

    /** Keeps [connection] for [idleLimit], as far as the target permits. */
    public fun release(target: TargetId, connection: HttpConnection, idleLimit: Duration?) {
        val kept = (idleLimit ?: DEFAULT_IDLE) - IDLE_MARGIN
        if (!kept.isPositive() || !connection.isQuiet) {
            connection.close()
            return
        }
        val entry = IdleConnection(connection, clock.now() + kept)
        idle.update { it.put(target, (it[target] ?: persistentListOf()).add(entry)) }
    }

    /** Closes connections that their targets closed or are about to close; runs until cancelled. */
    public suspend fun closeExpired() {
        while (true) {
            delay(SWEEP_PERIOD)
            val now = clock.now()
            idle.decide { all -> all.withoutExpired(now) }.forEach { it.connection.close() }
        }
    }

    private fun takeIdle(target: TargetId): IdleConnection? = idle
        .decide { all ->
            val last = all[target]?.lastOrNull() ?: return@decide all.decide()
            val left = all.getValue(target).removeAt(all.getValue(target).size - 1)
            Decision(
                if (left.isEmpty()) all.remove(target) else all.put(target, left),
                persistentListOf(last)
            )
        }.firstOrNull()

    private fun PersistentMap<TargetId, PersistentList<IdleConnection>>.withoutExpired(
        now: MonotonicTime
    ): Decision<PersistentMap<TargetId, PersistentList<IdleConnection>>, IdleConnection> {
        val expired = values.flatten().filter { it.until <= now || !it.connection.isQuiet }
        if (expired.isEmpty()) return decide()
        val gone = expired.toSet()
        val kept =
            entries.fold(this) { all, (target, list) ->
                val left = list.filterNot { it in gone }.toPersistentList()
                if (left.isEmpty()) all.remove(target) else all.put(target, left)
            }
        return Decision(kept, expired.toPersistentList())
    }

    private companion object {
        /**
         * Many times a handshake inside a region. A lost packet of one is sent again only after
         * 1 s, so that a longer wait gains nothing.
         */
        val CONNECT_LIMIT = 300.milliseconds

        /** Kept when the target does not tell its limit. */
        val DEFAULT_IDLE = 4.seconds

        /** A request must not cross the target's close on its way. */
        val IDLE_MARGIN = 700.milliseconds
        val SWEEP_PERIOD = 1.seconds
    }
}
