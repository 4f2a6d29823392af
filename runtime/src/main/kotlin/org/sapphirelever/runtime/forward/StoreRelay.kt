/*
 * Answers of this host to those that follow the store through it. Each of their connections is
 * served by one task.
 */
package org.sapphirelever.runtime.forward

import java.io.IOException
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.updateAndGet
import kotlinx.coroutines.withTimeoutOrNull
import org.sapphirelever.decisions.forwarding.LogAnswer
import org.sapphirelever.decisions.forwarding.ReaderFailure
import org.sapphirelever.decisions.forwarding.StoreLog
import org.sapphirelever.decisions.forwarding.StorePosition
import org.sapphirelever.runtime.peer.PeerConnection
import org.sapphirelever.wire.peer.ChangesMessage
import org.sapphirelever.wire.peer.StoreChangesReply
import org.sapphirelever.wire.peer.StoreChangesRequest
import org.sapphirelever.wire.peer.StoreRefusal

/** Passes on what this host heard from the store itself. */
public class StoreRelay(private val state: ForwardingState, private val reads: StoreReads) {
    private val logs = MutableStateFlow(StoreLog())

    public val log: StoreLog get() = logs.value

    /** Records what the store answered, or that it did not. */
    public fun update(change: (StoreLog) -> StoreLog): StoreLog = logs.updateAndGet(change)

    /** Answers [first] and all later requests on [connection] until it closes. */
    public suspend fun serve(connection: PeerConnection, first: StoreChangesRequest) {
        var request = first
        while (true) {
            connection.send(answer(request).toMessage())
            reads.replies.incrementAndGet()
            val message = connection.receive(IDLE_TIMEOUT)
            request = message as? StoreChangesRequest
                ?: throw IOException("unexpected ${message::class.simpleName}")
        }
    }

    private suspend fun answer(request: StoreChangesRequest): LogAnswer {
        val receivedAt = state.readClock()
        state.observeEra(request.era)
        val after = StorePosition(request.era, request.after)
        withTimeoutOrNull(log.holdTime(receivedAt)) {
            logs.first { it.hasNews(after, receivedAt) }
        }
        return log.answer(after, receivedAt, state.readClock())
    }

    private fun LogAnswer.toMessage(): StoreChangesReply = when (this) {
        is LogAnswer.Known ->
            StoreChangesReply(
                revision = revision,
                // A confirmation must not count as newer than it is.
                ageMillis = age.inWholeMilliseconds + 1,
                changes = changes.map { ChangesMessage(it.revision, it.text) },
                era = era,
                listing = listing
            )

        is LogAnswer.Refused ->
            StoreChangesReply(
                refusal =
                    if (failure == ReaderFailure.GAP) {
                        StoreRefusal.GAP
                    } else {
                        StoreRefusal.NOT_READING
                    },
                era = log.era
            )
    }

    private companion object {
        val IDLE_TIMEOUT = 60.seconds
    }
}
