/*
 * Pool of idle connections to targets.
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

/** An idle connection that may be reused until [expiresAt]. */
private data class IdleConnection(val connection: HttpConnection, val expiresAt: MonotonicTime)

/** A connection for one call; [isReused] if it has carried other calls. */
public data class AcquiredConnection(
    public val connection: HttpConnection,
    public val isReused: Boolean
)

/** Keeps idle connections to the targets that [isInUse]. */
public class TargetPool(
    private val sockets: Sockets,
    private val clock: MonotonicClock,
    private val isInUse: (TargetId) -> Boolean = { true }
) {
    private val idle =
        StateCell<PersistentMap<TargetId, PersistentList<IdleConnection>>>(persistentMapOf())

    /** Reuses an idle connection to [target] or opens one; throws [IOException] on failure. */
    public suspend fun acquire(target: TargetRecord): AcquiredConnection {
        while (true) {
            val entry = takeIdle(target.id) ?: break
            if (entry.connection.isIdle && clock.now() < entry.expiresAt) {
                return AcquiredConnection(entry.connection, isReused = true)
            }
            entry.connection.close()
        }
        val opened = sockets.connect(target.endpoint, CONNECT_TIMEOUT)
        return AcquiredConnection(opened, isReused = false)
    }

    /**
     * Returns [connection] to the pool. It expires shortly before the target closes it, which the
     * target does after [idleTimeout].
     */
    public fun release(target: TargetId, connection: HttpConnection, idleTimeout: Duration?) {
        val lifetime = (idleTimeout ?: DEFAULT_IDLE_TIMEOUT) - IDLE_MARGIN
        if (!lifetime.isPositive() || !connection.isIdle || !isInUse(target)) {
            connection.close()
            return
        }
        val entry = IdleConnection(connection, clock.now() + lifetime)
        idle.update { it.put(target, (it[target] ?: persistentListOf()).add(entry)) }
    }

    /** Closes connections that expired or that no call can use; runs until cancelled. */
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
            val remaining = all.getValue(target).removeAt(all.getValue(target).size - 1)
            Decision(
                if (remaining.isEmpty()) all.remove(target) else all.put(target, remaining),
                persistentListOf(last)
            )
        }.firstOrNull()

    private fun PersistentMap<TargetId, PersistentList<IdleConnection>>.withoutExpired(
        now: MonotonicTime
    ): Decision<PersistentMap<TargetId, PersistentList<IdleConnection>>, IdleConnection> {
        val expired =
            entries.flatMap { (target, list) ->
                list.filter { it.expiresAt <= now || !it.connection.isIdle || !isInUse(target) }
            }
        if (expired.isEmpty()) return decide()
        val removed = expired.toSet()
        val kept =
            entries.fold(this) { all, (target, list) ->
                val remaining = list.filterNot { it in removed }.toPersistentList()
                if (remaining.isEmpty()) all.remove(target) else all.put(target, remaining)
            }
        return Decision(kept, expired.toPersistentList())
    }

    private companion object {
        /**
         * Many times the duration of a handshake inside a region. A lost handshake packet is
         * retransmitted only after 1 s, so a somewhat longer timeout would not help.
         */
        val CONNECT_TIMEOUT = 300.milliseconds

        /** Assumed when the target does not state its idle timeout. */
        val DEFAULT_IDLE_TIMEOUT = 4.seconds

        /** Avoids sending a request while the target is closing the connection. */
        val IDLE_MARGIN = 700.milliseconds
        val SWEEP_PERIOD = 1.seconds
    }
}
