/*
 * Calls to targets. Each call sends its request once and matches the response to it.
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
import org.sapphirelever.decisions.forwarding.connectionLost
import org.sapphirelever.decisions.forwarding.connectionOpened
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.runtime.log.logWarning
import org.sapphirelever.runtime.transport.BodyReader
import org.sapphirelever.runtime.transport.Framing
import org.sapphirelever.runtime.transport.HttpConnection
import org.sapphirelever.runtime.transport.MemoryClaim
import org.sapphirelever.runtime.transport.MemoryExhaustedException
import org.sapphirelever.runtime.transport.MessageBody
import org.sapphirelever.runtime.transport.OversizedMessageException
import org.sapphirelever.runtime.transport.ResponseHead
import org.sapphirelever.runtime.transport.TornMessageException
import org.sapphirelever.runtime.transport.UnencodableHeadException
import org.sapphirelever.runtime.transport.encoded
import org.sapphirelever.runtime.transport.readWhole
import org.sapphirelever.runtime.transport.responseFraming
import org.sapphirelever.runtime.transport.skipWhole

/** Outcome of a call. */
public sealed interface CallOutcome<out T> {
    /** Nothing was sent. */
    public data class NotSent(public val reason: String) : CallOutcome<Nothing>

    /**
     * The target may have run the request, but no complete response arrived. [broken] is true if
     * the connection broke, and false if the call timed out.
     */
    public data class Lost(public val reason: String, public val broken: Boolean) :
        CallOutcome<Nothing>

    public data class Completed<T>(public val value: T) : CallOutcome<T>
}

/**
 * A response whose body is still to be read.
 *
 * @property isIdentified whether the response is certain to answer its request. Otherwise the
 *   connection is reused only if the reader of the body sets this.
 * @property isRepeated whether the reader of the body found that it answers an earlier call
 */
public class OpenResponse(
    public val head: ResponseHead,
    public val reply: TargetReply,
    public val body: BodyReader,
    public val framing: Framing,
    public var isIdentified: Boolean,
    public var isRepeated: Boolean = false
)

/** Makes calls over the connections of [pool]. */
public class TargetCalls(
    private val pool: TargetPool,
    private val protocol: ForwardProtocol,
    private val state: ForwardingState
) {
    /**
     * Sends [request] to [target] and passes the response to [use]. If [id] is given, responses to
     * other requests are skipped, and one without an identity counts only on a connection that has
     * carried no other call: a target may write an earlier response once more. The call times out
     * after [timeout]; its connection is closed then and on cancellation.
     */
    public suspend fun <T> call(
        target: TargetRecord,
        request: TargetRequest,
        id: String?,
        timeout: Duration,
        use: suspend (OpenResponse) -> T
    ): CallOutcome<T> {
        if (!timeout.isPositive()) return CallOutcome.NotSent("no time left")
        val head =
            try {
                request.head.encoded(request.bodyLength())
            } catch (failure: UnencodableHeadException) {
                return CallOutcome.NotSent(failure.message.orEmpty())
            }
        val acquired =
            when (val opening = open(target)) {
                is Opening.Refused -> return CallOutcome.NotSent(opening.reason)
                is Opening.Open -> opening.connection
            }
        state.updateView(target.id) { it.copy(outstanding = it.outstanding + 1) }
        val exchange = Exchange(acquired, target, request, head, id)
        return try {
            withTimeoutOrNull(timeout) { exchange.run(use) }
                ?: lost(target, "no answer in $timeout", broken = false)
        } catch (failure: OversizedMessageException) {
            logEvent("answer-oversized") {
                "target" to target.id
                "request" to id
                "failure" to failure.message
            }
            lost(target, failure.message.orEmpty(), broken = false)
        } catch (failure: MemoryExhaustedException) {
            logWarning("memory-exhausted") {
                "target" to target.id
                "request" to id
                "held-bytes" to state.memory.heldBytes
            }
            CallOutcome.Lost(failure.message.orEmpty(), broken = false)
        } catch (failure: IOException) {
            lost(target, failure.message.orEmpty(), broken = true)
        } finally {
            exchange.finish()
            state.updateView(target.id) { it.copy(outstanding = it.outstanding - 1) }
        }
    }

    /** A connection for one call, or why there is none. */
    private sealed interface Opening {
        class Open(val connection: AcquiredConnection) : Opening

        class Refused(val reason: String) : Opening
    }

    private suspend fun open(target: TargetRecord): Opening {
        objection(target)?.let { return Opening.Refused(it) }
        val isCounted = state.shares.isLimited(target)
        if (!state.shares.tryTake(target)) return Opening.Refused(LIMIT_REACHED)
        val acquired =
            try {
                pool.acquire(target)
            } catch (failure: IOException) {
                lost(target, failure.message.orEmpty(), broken = true)
                return Opening.Refused(failure.message.orEmpty())
            }
        if (!acquired.isReused) {
            state.directory.update { it.connectionOpened(target.incarnation, state.clock.now()) }
        }
        // A change or the answer to another call may have arrived while the connection was opened.
        val hasShare = isCounted || state.shares.tryTake(target)
        val objection = objection(target) ?: if (hasShare) null else LIMIT_REACHED
        if (objection == null) return Opening.Open(acquired)
        pool.release(target.id, acquired.connection, idleTimeout = null)
        return Opening.Refused(objection)
    }

    private fun objection(target: TargetRecord): String? = state.notices.objection(target)?.also {
        if (state.directory.value.evacuations.isEmptied(target.dataCentre)) {
            state.evacuations.preventedCalls.incrementAndGet()
        }
    }

    private fun lost(target: TargetRecord, reason: String, broken: Boolean): CallOutcome.Lost {
        state.recordFailure(target.id)
        if (broken) state.directory.update { it.connectionLost(target.incarnation) }
        return CallOutcome.Lost(reason, broken)
    }

    /** One request and its response on [connection]. */
    private inner class Exchange(
        private val acquired: AcquiredConnection,
        private val target: TargetRecord,
        private val request: TargetRequest,
        private val head: ByteArray,
        private val id: String?
    ) {
        private val connection = acquired.connection
        private var isReusable = false
        private var idleTimeout: Duration? = null

        suspend fun <T> run(use: suspend (OpenResponse) -> T): CallOutcome<T> = coroutineScope {
            val sending = launch { send() }
            val head = receive()
            val reply = protocol.decode(head)
            reply.load?.let { state.recordLoad(target.id, it) }
            state.shares.record(target, reply.requestLimit)
            val framing = head.headers.responseFraming(request.head.method, head.status)
            val body = TrackedBody(connection.body(framing))
            val isIdentified = id != null && reply.request == id
            val response = OpenResponse(head, reply, body, framing, isIdentified)
            // Streams last long, so their notices count before their end.
            if (id != null) state.notices.record(target, reply)
            val value = use(response)
            if (id == null && !response.isRepeated) state.notices.record(target, reply)
            val isFinished = body.isComplete && sending.isCompleted && response.isIdentified
            isReusable = isFinished && framing != Framing.UntilClose && !head.closesConnection
            idleTimeout = reply.idleTimeout
            coroutineContext.cancelChildren()
            // The target is gone, and its quick answers would attract all work that waits.
            if (reply.isMisdirected) {
                state.recordFailure(target.id)
            } else {
                state.recordSuccess(target.id)
            }
            CallOutcome.Completed(value)
        }

        fun finish() {
            if (isReusable) {
                pool.release(target.id, connection, idleTimeout)
            } else {
                connection.close()
            }
        }

        private suspend fun CoroutineScope.send() {
            try {
                connection.write(head, request.body.blocks)
            } catch (_: IOException) {
                // The target may have responded before it read the whole body; receive() decides.
                ensureActive()
            }
        }

        /** Reads the response to this request and discards responses to other requests. */
        private suspend fun receive(): ResponseHead {
            repeat(MAXIMUM_OTHER_RESPONSES) {
                val head = connection.receiveResponse()
                if (head.status in INTERIM_STATUSES) return@repeat
                val answeredId = protocol.decode(head).request
                if (id == null || answeredId == id) return head
                if (answeredId == null) {
                    if (!acquired.isReused) return head
                    throw TornMessageException("response without identity on a used connection")
                }
                val framing = head.headers.responseFraming(request.head.method, head.status)
                connection.body(framing).skipWholeOrThrow()
            }
            throw OversizedMessageException("other responses", MAXIMUM_OTHER_RESPONSES.toLong())
        }
    }

    /** Tracks whether the body was read completely, which is required to reuse the connection. */
    private class TrackedBody(private val body: BodyReader) : BodyReader {
        var isComplete = false

        override suspend fun next(): ByteArray? = body.next().also {
            if (it ==
                null
            ) {
                isComplete = true
            }
        }
    }

    private companion object {
        const val LIMIT_REACHED = "request limit reached"
        val INTERIM_STATUSES = 100..199

        /** Interim responses, and late ones to earlier requests, before the one that is awaited. */
        const val MAXIMUM_OTHER_RESPONSES = 16
    }
}

private fun TargetRequest.bodyLength(): Int? =
    if (body.size == 0 && head.method in METHODS_WITHOUT_BODY) null else body.size

private val METHODS_WITHOUT_BODY = setOf("GET", "HEAD", "DELETE", "OPTIONS")

/**
 * Reads the complete body, whose bytes [claim] holds; throws [OversizedMessageException] if it
 * exceeds the size limit.
 */
internal suspend fun OpenResponse.readWholeOrThrow(claim: MemoryClaim): MessageBody {
    val length = (framing as? Framing.Length)?.bytes ?: 0
    val body = if (length >
        RESPONSE_LIMIT_BYTES
    ) {
        null
    } else {
        body.readWhole(RESPONSE_LIMIT_BYTES, claim)
    }
    return body ?: throw oversizedBody()
}

/** Reads the body to its end; throws [OversizedMessageException] if it exceeds the size limit. */
internal suspend fun BodyReader.skipWholeOrThrow() {
    if (!skipWhole(RESPONSE_LIMIT_BYTES)) throw oversizedBody()
}

private fun oversizedBody() = OversizedMessageException("body", RESPONSE_LIMIT_BYTES.toLong())

/** Size limit of responses that are not streams, so that a target cannot exhaust the memory. */
private const val RESPONSE_LIMIT_BYTES = 8_388_608
