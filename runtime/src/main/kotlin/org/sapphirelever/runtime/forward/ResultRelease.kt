/*
 * Tells the makers of stage results that they are no longer needed.
 */
package org.sapphirelever.runtime.forward

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.sapphirelever.decisions.Decision
import org.sapphirelever.runtime.StateCell
import org.sapphirelever.runtime.transport.readWhole

/** Tells the makers of results that they are no longer needed, in few calls. */
public class ResultRelease(
    private val scope: CoroutineScope,
    private val calls: TargetCalls,
    private val protocol: ForwardProtocol
) {
    private val waiting = StateCell<PersistentList<StageResult>>(persistentListOf())

    /** Releases [results] soon. */
    public fun release(results: List<StageResult>) {
        if (results.isEmpty()) return
        val all = waiting.update { it.addAll(results) }
        if (all.size == results.size) scope.launch { flushSoon() }
    }

    private suspend fun flushSoon() {
        delay(COLLECTION_TIME)
        val results = waiting.decide { Decision(persistentListOf<StageResult>(), it) }
        results.groupBy { it.maker }.forEach { (maker, made) ->
            scope.launch {
                val request = protocol.release(maker.id, made.map { it.handle })
                calls.call(maker, request, null, CALL_LIMIT) { it.body.readWhole(ANSWER_LIMIT) }
            }
        }
    }

    private companion object {
        /** Short against the lifetime of a result, long enough to share calls. */
        val COLLECTION_TIME = 20.milliseconds
        val CALL_LIMIT = 1_000.milliseconds
        const val ANSWER_LIMIT = 65_536
    }
}
