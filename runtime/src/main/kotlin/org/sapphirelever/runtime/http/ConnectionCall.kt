/*
 * One request on a connection of the front end, as a call of Ktor's routing.
 */
package org.sapphirelever.runtime.http

import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.http.Parameters
import io.ktor.http.RequestConnectionPoint
import io.ktor.http.content.OutgoingContent
import io.ktor.http.headers
import io.ktor.http.parseQueryString
import io.ktor.server.application.Application
import io.ktor.server.engine.BaseApplicationCall
import io.ktor.server.engine.BaseApplicationRequest
import io.ktor.server.engine.BaseApplicationResponse
import io.ktor.server.request.RequestCookies
import io.ktor.server.response.ResponseHeaders
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.InternalAPI
import kotlin.coroutines.CoroutineContext
import kotlinx.collections.immutable.toPersistentList
import kotlinx.io.Buffer
import kotlinx.io.Sink
import kotlinx.io.readByteArray
import org.sapphirelever.core.Endpoint
import org.sapphirelever.runtime.transport.CONTENT_LENGTH
import org.sapphirelever.runtime.transport.Header
import org.sapphirelever.runtime.transport.Headers
import org.sapphirelever.runtime.transport.LAST_CHUNK
import org.sapphirelever.runtime.transport.MessageBody
import org.sapphirelever.runtime.transport.RequestHead
import org.sapphirelever.runtime.transport.ResponseHead
import org.sapphirelever.runtime.transport.TRANSFER_ENCODING
import org.sapphirelever.runtime.transport.chunkOf
import org.sapphirelever.runtime.transport.encoded

/** A request with its complete [body], whose response is passed to [write] piece by piece. */
internal class ConnectionCall(
    application: Application,
    head: RequestHead,
    body: MessageBody,
    local: Endpoint,
    override val coroutineContext: CoroutineContext,
    write: suspend (ByteArray) -> Unit
) : BaseApplicationCall(application) {
    override val request: ConnectionRequest = ConnectionRequest(this, head, body, local)
    override val response: ConnectionResponse = ConnectionResponse(this, head, write)

    init {
        putResponseAttribute(response)
    }
}

internal class ConnectionRequest(
    call: ConnectionCall,
    private val head: RequestHead,
    body: MessageBody,
    endpoint: Endpoint
) : BaseApplicationRequest(call) {
    override val engineHeaders: io.ktor.http.Headers =
        headers { head.headers.fields.forEach { append(it.name, it.value) } }

    override val engineReceiveChannel: ByteReadChannel =
        ByteReadChannel(Buffer().apply { body.blocks.forEach { write(it) } })

    override val local: RequestConnectionPoint = ConnectionPoint(head, endpoint)
    override val cookies: RequestCookies = RequestCookies(this)
    override val queryParameters: Parameters by lazy { parseQueryString(query) }
    override val rawQueryParameters: Parameters by lazy { parseQueryString(query, decode = false) }

    private val query: String get() = head.target.substringAfter('?', "")
}

private class ConnectionPoint(head: RequestHead, endpoint: Endpoint) : RequestConnectionPoint {
    override val scheme: String = "http"
    override val version: String = "HTTP/1.1"
    override val uri: String = head.target
    override val method: HttpMethod = HttpMethod.parse(head.method)
    override val localPort: Int = endpoint.port
    override val serverPort: Int = endpoint.port
    override val localHost: String = endpoint.address
    override val localAddress: String = endpoint.address
    override val serverHost: String =
        head.headers[HttpHeaders.Host]?.substringBefore(':') ?: endpoint.address

    /** The front end does not resolve its callers. */
    override val remoteHost: String = "unknown"
    override val remoteAddress: String = "unknown"
    override val remotePort: Int = 0

    @Deprecated("Use localPort or serverPort", level = DeprecationLevel.ERROR)
    override val port: Int get() = localPort

    @Deprecated("Use localHost or serverHost", level = DeprecationLevel.ERROR)
    override val host: String get() = localHost
}

internal class ConnectionResponse(
    call: ConnectionCall,
    private val requestHead: RequestHead,
    private val write: suspend (ByteArray) -> Unit
) : BaseApplicationResponse(call) {
    private val fields = mutableListOf<Header>()
    private var status = HttpStatusCode.OK

    /** Whether the response has been written to its end. */
    var isComplete: Boolean = false
        private set

    /** Whether the response or the request asks to close the connection. */
    val closesConnection: Boolean
        get() = Headers(fields.toPersistentList()).hasToken("Connection", "close") ||
            requestHead.headers.hasToken("Connection", "close")

    override val headers: ResponseHeaders =
        object : ResponseHeaders() {
            override fun engineAppendHeader(name: String, value: String) {
                fields += Header(name, value)
            }

            override fun getEngineHeaderNames(): List<String> = fields.map { it.name }

            override fun getEngineHeaderValues(name: String): List<String> =
                fields.filter { it.name.equals(name, ignoreCase = true) }.map { it.value }
        }

    override fun setStatus(statusCode: HttpStatusCode) {
        status = statusCode
    }

    override suspend fun respondNoContent(content: OutgoingContent.NoContent) {
        if (headers[CONTENT_LENGTH] == null) fields += Header(CONTENT_LENGTH, "0")
        write(head())
        isComplete = true
    }

    override suspend fun respondFromBytes(bytes: ByteArray) {
        if (headers[CONTENT_LENGTH] == null) fields += Header(CONTENT_LENGTH, "${bytes.size}")
        fields.removeAll { it.name.equals(TRANSFER_ENCODING, ignoreCase = true) }
        write(if (omitsBody) head() else head() + bytes)
        isComplete = true
    }

    override suspend fun responseChannel(): ByteWriteChannel {
        val isChunked = headers[CONTENT_LENGTH] == null
        if (isChunked && headers[TRANSFER_ENCODING] == null) {
            fields += Header(TRANSFER_ENCODING, "chunked")
        }
        write(head())
        return ResponseChannel(isChunked)
    }

    override suspend fun respondUpgrade(upgrade: OutgoingContent.ProtocolUpgrade): Unit =
        throw UnsupportedOperationException("no other protocol is served")

    private val omitsBody: Boolean get() = requestHead.method == HttpMethod.Head.value

    private fun head(): ByteArray =
        ResponseHead(status.value, status.description, Headers(fields.toPersistentList())).encoded()

    /** Writes what is flushed to the connection and buffers nothing beyond that. */
    @OptIn(InternalAPI::class)
    private inner class ResponseChannel(private val isChunked: Boolean) : ByteWriteChannel {
        private val buffer = Buffer()
        override val writeBuffer: Sink get() = buffer
        override var isClosedForWrite: Boolean = false
            private set
        override var closedCause: Throwable? = null
            private set

        override suspend fun flush() {
            closedCause?.let { throw it }
            if (buffer.exhausted()) return
            val bytes = buffer.readByteArray()
            if (!omitsBody) write(if (isChunked) chunkOf(bytes) else bytes)
        }

        override suspend fun flushAndClose() {
            if (isClosedForWrite) return
            flush()
            if (isChunked && !omitsBody) write(LAST_CHUNK)
            isClosedForWrite = true
            isComplete = true
        }

        override fun cancel(cause: Throwable?) {
            closedCause = cause ?: java.io.IOException("response cancelled")
            isClosedForWrite = true
        }
    }
}
