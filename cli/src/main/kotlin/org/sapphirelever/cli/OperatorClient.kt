/*
 * HTTP client for callers and operators: calls an entry host and converts its error replies to
 * exceptions with error codes.
 */
package org.sapphirelever.cli

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import java.io.Closeable
import java.io.IOException
import kotlin.time.Duration
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.serialization.SerializationException
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.Finding
import org.sapphirelever.core.Place
import org.sapphirelever.core.SapphireleverException
import org.sapphirelever.wire.ErrorMessage
import org.sapphirelever.wire.MessageJson

/** Client of the entry host at [endpoint]; a call fails without a reply within [timeout]. */
public class OperatorClient(private val endpoint: Endpoint, private val timeout: Duration) :
    Closeable {
    private val client =
        HttpClient(CIO) {
            expectSuccess = false
            install(HttpTimeout) { requestTimeoutMillis = timeout.inWholeMilliseconds }
        }

    /**
     * Sends a call and returns the body of the reply.
     *
     * @throws SapphireleverException with the code of an error reply, or with
     *   [ErrorCode.NOT_READY] if the host does not answer
     */
    public suspend fun call(method: HttpMethod, path: String, body: String? = null): String =
        mapConnectionFailures {
            val response =
                client.request("http://$endpoint$path") {
                    this.method = method
                    if (body != null) {
                        contentType(ContentType.Application.Json)
                        setBody(body)
                    }
                }
            response.requireSuccess()
            response.bodyAsText()
        }

    /**
     * Posts [body] and returns the body of the reply, whatever its status: error replies to
     * requests state the outcome too.
     */
    public suspend fun submit(path: String, body: String): String = mapConnectionFailures {
        client
            .request("http://$endpoint$path") {
                method = HttpMethod.Post
                contentType(ContentType.Application.Json)
                setBody(body)
            }.bodyAsText()
    }

    override fun close() {
        client.close()
    }

    private suspend fun <T> mapConnectionFailures(call: suspend () -> T): T = try {
        call()
    } catch (failure: IOException) {
        throw unreachable(failure)
    } catch (failure: CancellationException) {
        currentCoroutineContext().ensureActive()
        throw unreachable(failure)
    }

    private fun unreachable(failure: Exception): SapphireleverException = SapphireleverException(
        ErrorCode.NOT_READY,
        "entry host $endpoint does not answer: ${failure.message}",
        cause = failure
    )
}

private suspend fun HttpResponse.requireSuccess() {
    if (status.isSuccess()) return
    val text = bodyAsText()
    val error =
        try {
            MessageJson.decodeFromString<ErrorMessage>(text)
        } catch (_: SerializationException) {
            throw SapphireleverException(ErrorCode.NOT_FOUND, "status ${status.value}: $text")
        }
    val findings = error.findings.map { Finding(Place(it.source, it.line, it.field), it.message) }
    throw SapphireleverException(
        ErrorCode.fromText(error.code),
        error.detail,
        findings.toPersistentList()
    )
}
