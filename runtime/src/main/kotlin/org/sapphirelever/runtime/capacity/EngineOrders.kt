/*
 * Sends orders to engines and reads their state.
 */
package org.sapphirelever.runtime.capacity

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import java.io.Closeable
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.serialization.encodeToString
import org.sapphirelever.core.Endpoint
import org.sapphirelever.wire.EngineStateMessage
import org.sapphirelever.wire.LoadMessage
import org.sapphirelever.wire.MessageJson
import org.sapphirelever.wire.OrderMessage

/** State and load of an engine as it reports them. */
public data class EngineReport(public val state: EngineStateMessage, public val load: LoadMessage)

/** Result of sending an order. */
public enum class OrderResult {
    TAKEN,

    /** The engine has taken an order with a greater fencing number. */
    OUTDATED,

    /** No usable answer; the next [EngineOrders.readBack] shows whether the order is in force. */
    UNCLEAR
}

/** Sends orders to engines and reads their state. The caller applies a timeout to each call. */
public interface EngineOrders {
    /** State and load of [engine], or null if it does not answer. */
    public suspend fun readBack(engine: Endpoint): EngineReport?

    public suspend fun order(engine: Endpoint, message: OrderMessage): OrderResult
}

/** Calls engines over HTTP, without retries. */
public class HttpEngineOrders :
    EngineOrders,
    Closeable {
    private val client: HttpClient =
        HttpClient(CIO) {
            expectSuccess = false
            engine { requestTimeout = 0 }
        }

    override suspend fun readBack(engine: Endpoint): EngineReport? {
        val state = read("http://$engine/v1/orders") ?: return null
        val load = read("http://$engine/v1/load") ?: return null
        return EngineReport(
            MessageJson.decodeFromString(state),
            MessageJson.decodeFromString(load)
        )
    }

    override suspend fun order(engine: Endpoint, message: OrderMessage): OrderResult {
        val response =
            call("http://$engine/v1/orders") {
                method = HttpMethod.Post
                contentType(ContentType.Application.Json)
                setBody(MessageJson.encodeToString(message))
            }
        return when (response?.status) {
            HttpStatusCode.OK -> OrderResult.TAKEN
            HttpStatusCode.Conflict -> OrderResult.OUTDATED
            else -> OrderResult.UNCLEAR
        }
    }

    override fun close() {
        client.close()
    }

    private suspend fun read(url: String): String? =
        call(url)?.takeIf { it.status == HttpStatusCode.OK }?.bodyAsText()

    private suspend fun call(
        url: String,
        build: HttpRequestBuilder.() -> Unit = {}
    ): HttpResponse? = try {
        client.request(url, build)
    } catch (_: CancellationException) {
        currentCoroutineContext().ensureActive()
        null
    } catch (_: Exception) {
        null
    }
}
