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
    private class Release(val result: StageResult, val released: () -> Unit)

    private val waiting = StateCell<PersistentList<Release>>(persistentListOf())

    /** Releases [result] soon; [released] runs when its maker has been told. */
    public fun release(result: StageResult, released: () -> Unit) {
        val all = waiting.update { it.add(Release(result, released)) }
        if (all.size == 1) scope.launch { flushSoon() }
    }

    private suspend fun flushSoon() {
        delay(COLLECTION_TIME)
        val releases = waiting.decide { Decision(persistentListOf<Release>(), it) }
        releases.groupBy { it.result.maker }.forEach { (maker, made) ->
            scope.launch {
                val request = protocol.release(maker.id, made.map { it.result.handle })
                calls.call(maker, request, null, CALL_LIMIT) { it.body.readWhole(ANSWER_LIMIT) }
                made.forEach { it.released() }
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
