/*
 * Release of stage results that are no longer needed.
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
import org.sapphirelever.runtime.transport.skipWhole

/** Releases results at their producers, with one call for several results. */
public class ResultRelease(
    private val scope: CoroutineScope,
    private val calls: TargetCalls,
    private val protocol: ForwardProtocol,
    private val notices: TargetNotices
) {
    private class Release(val result: StageResult, val onReleased: () -> Unit)

    private val pending = StateCell<PersistentList<Release>>(persistentListOf())

    /** Releases [result] with the next call; [onReleased] runs when that call has ended. */
    public fun release(result: StageResult, onReleased: () -> Unit) {
        val all = pending.update { it.add(Release(result, onReleased)) }
        if (all.size == 1) scope.launch { flush() }
    }

    private suspend fun flush() {
        delay(COLLECTION_DELAY)
        val releases = pending.decide { Decision(persistentListOf<Release>(), it) }
        releases.groupBy { it.result.producer }.forEach { (producer, released) ->
            scope.launch {
                // A result that outlives the pause is dropped by its producer.
                delay(notices.pause(producer))
                val request = protocol.release(producer.id, released.map { it.result.handle })
                // The answer says nothing of its request; one that is written again is rejected as
                // the answer to a call for results.
                calls.call(producer, request, null, CALL_TIMEOUT) {
                    it.body.skipWhole(RESPONSE_LIMIT_BYTES)
                    it.isIdentified = it.reply.isSuccess
                }
                released.forEach { it.onReleased() }
            }
        }
    }

    private companion object {
        /** Short compared to the lifetime of a result, long enough to batch releases. */
        val COLLECTION_DELAY = 20.milliseconds
        val CALL_TIMEOUT = 1_000.milliseconds
        const val RESPONSE_LIMIT_BYTES = 65_536
    }
}
