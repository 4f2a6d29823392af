/*
 * HTTP client of the platform. It does not retry: a write may be repeated only after a read, so the
 * caller decides.
 */
package org.sapphirelever.runtime.store

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.plugins.timeout
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import io.ktor.http.encodeURLPathPart
import java.io.Closeable
import java.net.ConnectException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.serialization.encodeToString
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.FencingNumber

/** Client of the platform at [endpoint]; each call takes at most [callTimeout]. */
public class HttpPlatform(
    private val endpoint: Endpoint,
    private val callTimeout: Duration = DEFAULT_CALL_TIMEOUT
) : Platform,
    WeightStore,
    Closeable {
    private val client: HttpClient =
        HttpClient(CIO) {
            expectSuccess = false
            install(HttpTimeout)
            engine { requestTimeout = 0 }
        }

    override suspend fun read(key: String): StoredValue? =
        callOrNull(HttpMethod.Get, valuePath(key))
            ?.takeIf { it.status == HttpStatusCode.OK }
            ?.let { PlatformJson.decodeFromString<ValueMessage>(it.bodyAsText()) }
            ?.let { StoredValue(it.value, it.revision) }

    override suspend fun compareAndSwap(key: String, expected: Long, value: String): WriteResult {
        val response =
            try {
                call(HttpMethod.Put, "${valuePath(key)}?expected=$expected", value)
            } catch (failure: ConnectException) {
                return WriteResult.Unavailable(failure.message.orEmpty())
            } catch (failure: CancellationException) {
                currentCoroutineContext().ensureActive()
                return WriteResult.Unclear(failure.message.orEmpty())
            } catch (failure: Exception) {
                return WriteResult.Unclear(failure.message.orEmpty())
            }
        return when (response.status) {
            HttpStatusCode.OK -> WriteResult.Written(response.revision())
            HttpStatusCode.Conflict -> WriteResult.Conflict(response.revision())
            HttpStatusCode.TooManyRequests -> WriteResult.Unavailable("rate limit")
            HttpStatusCode.ServiceUnavailable -> WriteResult.Unavailable("outage")
            else -> WriteResult.Unclear("status ${response.status.value}")
        }
    }

    override suspend fun watch(key: String, after: Long, wait: Duration): StoredValue? {
        val path = "${valuePath(key)}/watch?after=$after&waitMillis=${wait.inWholeMilliseconds}"
        val response =
            callOrNull(HttpMethod.Get, path, requestTimeout = wait + callTimeout) ?: return null
        if (response.status != HttpStatusCode.OK) return null
        val message = PlatformJson.decodeFromString<ValueMessage>(response.bodyAsText())
        return StoredValue(message.value, message.revision).takeIf { it.revision > after }
    }

    override suspend fun acquireLease(
        name: String,
        holder: String,
        timeToLive: Duration
    ): LeaseResult = lease(HttpMethod.Post, name, holder, 0, timeToLive)

    override suspend fun renewLease(
        name: String,
        holder: String,
        fencing: FencingNumber,
        timeToLive: Duration
    ): LeaseResult = lease(HttpMethod.Put, name, holder, fencing.value, timeToLive)

    override suspend fun releaseLease(name: String, holder: String, fencing: FencingNumber) {
        val message = LeaseRequestMessage(holder, 0, fencing.value)
        callOrNull(HttpMethod.Delete, leasePath(name), PlatformJson.encodeToString(message))
    }

    override suspend fun hosts(): List<ListedHost>? = callOrNull(HttpMethod.Get, "/v1/hosts")
        ?.takeIf { it.status == HttpStatusCode.OK }
        ?.let { PlatformJson.decodeFromString<HostListMessage>(it.bodyAsText()).hosts }
        ?.map { it.toListedHost() }

    override suspend fun fetch(model: String): WeightResult {
        val response =
            callOrNull(HttpMethod.Get, "/v1/weights/${model.encodeURLPathPart()}")
                ?: return WeightResult.Unavailable("no answer")
        return when (response.status) {
            HttpStatusCode.OK ->
                WeightResult.Fetched(
                    PlatformJson.decodeFromString<WeightMessage>(response.bodyAsText()).bytes
                )

            HttpStatusCode.TooManyRequests -> WeightResult.Throttled

            else -> WeightResult.Unavailable("status ${response.status.value}")
        }
    }

    override fun close() {
        client.close()
    }

    private suspend fun lease(
        method: HttpMethod,
        name: String,
        holder: String,
        fencing: Long,
        timeToLive: Duration
    ): LeaseResult {
        val message = LeaseRequestMessage(holder, timeToLive.inWholeMilliseconds, fencing)
        val response =
            callOrNull(method, leasePath(name), PlatformJson.encodeToString(message))
                ?: return LeaseResult.Unclear("no answer")
        return when (response.status) {
            HttpStatusCode.OK -> LeaseResult.Held(FencingNumber(response.lease().fencing))
            HttpStatusCode.Conflict -> LeaseResult.HeldByOther(response.lease().holder)
            else -> LeaseResult.Unclear("status ${response.status.value}")
        }
    }

    /** Makes a call; returns null if it fails or times out. */
    private suspend fun callOrNull(
        method: HttpMethod,
        path: String,
        body: String? = null,
        requestTimeout: Duration = callTimeout
    ): HttpResponse? = try {
        call(method, path, body, requestTimeout)
    } catch (_: CancellationException) {
        currentCoroutineContext().ensureActive()
        null
    } catch (_: Exception) {
        null
    }

    private suspend fun call(
        method: HttpMethod,
        path: String,
        body: String? = null,
        requestTimeout: Duration = callTimeout
    ): HttpResponse = client.request("http://$endpoint$path") {
        this.method = method
        setRequestTimeout(requestTimeout)
        if (body != null) {
            contentType(ContentType.Application.Json)
            setBody(body)
        }
    }

    private fun HttpRequestBuilder.setRequestTimeout(limit: Duration) {
        timeout { requestTimeoutMillis = limit.inWholeMilliseconds }
    }

    private suspend fun HttpResponse.revision(): Long =
        PlatformJson.decodeFromString<RevisionMessage>(bodyAsText()).revision

    private suspend fun HttpResponse.lease(): LeaseMessage =
        PlatformJson.decodeFromString<LeaseMessage>(bodyAsText())

    private fun valuePath(key: String): String = "/v1/values/${key.encodeURLPathPart()}"

    private fun leasePath(name: String): String = "/v1/leases/${name.encodeURLPathPart()}"

    private fun ListedHostMessage.toListedHost(): ListedHost =
        ListedHost(id, service, dataCentre, address, port, leaving)

    public companion object {
        public val DEFAULT_CALL_TIMEOUT: Duration = 2.seconds
    }
}
