/*
 * Answers to the stage calls of a service. A target may write an earlier answer once more, which
 * its handles show.
 */
package org.sapphirelever.runtime.forward

import java.util.concurrent.ConcurrentHashMap

/** Reads answers to stage calls with [protocol] and recognises repeated ones. */
internal class StageAnswers(private val protocol: ForwardProtocol) {
    /** Handles of the answers within the lifetime of a result, also of released ones. */
    private val answeredHandles: MutableSet<String> = ConcurrentHashMap.newKeySet()

    /** The results of a call of [count] pieces from the [body] of its [response]. */
    fun read(response: OpenResponse, body: ByteArray?, count: Int): List<PieceResult> {
        val results = decode(response, body, count)
        // An answer without a new handle may be written again and be mistaken for the answer to
        // the next call.
        response.isIdentified = results.any { it is PieceResult.Made }
        return results
    }

    /** The results of a call of [count] pieces, whose handles are recorded. */
    fun results(outcome: CallOutcome<List<PieceResult>>, count: Int): List<PieceResult> {
        val results =
            when (outcome) {
                is CallOutcome.NotSent -> failed(outcome.reason, count, sent = false)
                is CallOutcome.Lost -> failed(outcome.reason, count)
                is CallOutcome.Completed -> outcome.value
            }
        results.filterIsInstance<PieceResult.Made>().forEach { answeredHandles += it.handle }
        return results
    }

    /** Forgets [handle], whose lifetime has ended. */
    fun forget(handle: String) {
        answeredHandles.remove(handle)
    }

    private fun decode(response: OpenResponse, body: ByteArray?, count: Int): List<PieceResult> {
        val reply = response.reply
        val decoded =
            body?.takeIf { reply.isSuccess }?.let { protocol.stageResults(it, count) }
                ?: return failed("status ${reply.status}", count)
        val handles = decoded.filterIsInstance<PieceResult.Made>().map { it.handle }
        response.isRepeated =
            handles.any { it in answeredHandles } || handles.distinct().size < handles.size
        return if (response.isRepeated) failed("repeated answer", count) else decoded
    }

    private fun failed(reason: String, count: Int, sent: Boolean = true): List<PieceResult> =
        List(count) { PieceResult.Failed(reason, sent) }
}
