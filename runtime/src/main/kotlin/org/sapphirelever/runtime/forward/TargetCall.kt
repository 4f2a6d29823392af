/*
 * One call to one target: the request is sent once, and whatever comes back is matched to it.
 */
package org.sapphirelever.runtime.forward

import java.io.IOException
import kotlin.time.Duration
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.sapphirelever.core.forwarding.TargetRecord
import org.sapphirelever.runtime.transport.BodyReader
import org.sapphirelever.runtime.transport.Framing
import org.sapphirelever.runtime.transport.HttpConnection
import org.sapphirelever.runtime.transport.ResponseHead
import org.sapphirelever.runtime.transport.encoded
import org.sapphirelever.runtime.transport.responseFraming

/** How a call ended. */
public sealed interface CallEnd<out T> {
    /** Nothing was sent. */
    public data class NotSent(public val reason: String) : CallEnd<Nothing>

    /**
     * The target may have run the request; no whole answer came. [broken] tells that the target
     * ended the connection.
     */
    public data class Lost(public val reason: String, public val broken: Boolean) : CallEnd<Nothing>

    public data class Ended<T>(public val value: T) : CallEnd<T>
}

/** A response that answers the request, with its body still to be read. */
public class OpenResponse(
    public val head: ResponseHead,
    public val reply: TargetReply,
    public val body: BodyReader
)

/** Makes calls over the connections of [pool]. */
public class TargetCalls(
    private val pool: TargetPool,
    private val protocol: ForwardProtocol,
    private val state: ForwardingState
) {
    /**
     * Sends [request] to [target] and passes the response for [id] to [use]. The call ends after
     * [limit] at the latest; then, and on cancellation, its connection is closed.
     */
    public suspend fun <T> call(
        target: TargetRecord,
        request: TargetRequest,
        id: String?,
        limit: Duration,
        use: suspend (OpenResponse) -> T
    ): CallEnd<T> {
        if (!limit.isPositive()) return CallEnd.NotSent("no time left")
        val connection =
            try {
                pool.acquire(target)
            } catch (failure: IOException) {
                state.failed(target.id)
                return CallEnd.NotSent(failure.message.orEmpty())
            }
        state.view(target.id) { it.copy(outstanding = it.outstanding + 1) }
        val exchange = Exchange(connection, target, request, id)
        return try {
            withTimeoutOrNull(limit) { exchange.run(use) }
                ?: lost(target, "no answer in $limit", broken = false)
        } catch (failure: IOException) {
            lost(target, failure.message.orEmpty(), broken = true)
        } finally {
            exchange.finish()
            state.view(target.id) { it.copy(outstanding = it.outstanding - 1) }
        }
    }

    private fun lost(target: TargetRecord, reason: String, broken: Boolean): CallEnd.Lost {
        state.failed(target.id)
        return CallEnd.Lost(reason, broken)
    }

    /** One request and its response on [connection]. */
    private inner class Exchange(
        private val connection: HttpConnection,
        private val target: TargetRecord,
        private val request: TargetRequest,
        private val id: String?
    ) {
        private var reusable = false
        private var idleLimit: Duration? = null

        suspend fun <T> run(use: suspend (OpenResponse) -> T): CallEnd<T> = coroutineScope {
            val sending = launch { send() }
            val head = receive()
            val reply = protocol.decode(head)
            reply.load?.let { state.reported(target.id, it) }
            val framing = head.headers.responseFraming(request.head.method, head.status)
            val body = TrackedBody(connection.body(framing))
            val value = use(OpenResponse(head, reply, body))
            val ended = body.isWhole && sending.isCompleted
            reusable = ended && framing != Framing.UntilClose && !head.closes
            idleLimit = reply.idleLimit
            coroutineContext.cancelChildren()
            state.succeeded(target.id)
            CallEnd.Ended(value)
        }

        fun finish() {
            if (reusable) {
                pool.release(target.id, connection, idleLimit)
            } else {
                connection.close()
            }
        }

        private suspend fun CoroutineScope.send() {
            try {
                connection.write(request.head.encoded(request.bodyLength()), request.body)
            } catch (_: IOException) {
                // The target may have answered before it read the body; the reader tells.
                ensureActive()
            }
        }

        /** The response that answers this request; one that answers another is dropped. */
        private suspend fun CoroutineScope.receive(): ResponseHead {
            while (true) {
                val head = connection.receiveResponse()
                if (head.status in INTERIM_STATUSES) continue
                val answers = protocol.decode(head).request
                if (id == null || answers == null || answers == id) return head
                val framing = head.headers.responseFraming(request.head.method, head.status)
                val stray = connection.body(framing)
                while (stray.next() != null) ensureActive()
            }
        }
    }

    /** Notes whether the whole body was read, since the connection serves no other call before. */
    private class TrackedBody(private val body: BodyReader) : BodyReader {
        var isWhole = false

        override suspend fun next(): ByteArray? = body.next().also {
            if (it ==
                null
            ) {
                isWhole = true
            }
        }
    }

    private companion object {
        val INTERIM_STATUSES = 100..199
    }
}

private fun TargetRequest.bodyLength(): Int? =
    if (body.isEmpty() && head.method in METHODS_WITHOUT_BODY) null else body.size

private val METHODS_WITHOUT_BODY = setOf("GET", "HEAD", "DELETE", "OPTIONS")
