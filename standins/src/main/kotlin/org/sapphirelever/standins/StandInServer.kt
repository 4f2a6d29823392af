/*
 * HTTP server of a stand-in inside this process: tells the bound address and can crash.
 */
package org.sapphirelever.standins

import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respondBytesWriter
import io.ktor.utils.io.writeStringUtf8
import java.io.IOException
import kotlinx.collections.immutable.PersistentList
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.launch
import org.sapphirelever.core.Endpoint
import org.sapphirelever.decisions.Decision
import org.sapphirelever.runtime.http.HttpFrontEnd
import org.sapphirelever.runtime.http.Routes

/** A stand-in that runs in this process or as the body of a process of its own. */
public interface StandIn {
    /** Serves until it is cancelled or crashes. */
    public suspend fun run()

    /** Waits until the server listens; the port differs from the setting if that was 0. */
    public suspend fun boundEndpoint(): Endpoint
}

/** Serves [routes] at [endpoint] until it is cancelled or [crash] is called. */
internal class StandInServer(endpoint: Endpoint, routes: List<Routes>) {
    private val bound = CompletableDeferred<Endpoint>()
    private val crashed = CompletableDeferred<Unit>()
    private val frontEnd = HttpFrontEnd(endpoint, routes) { bound.complete(it) }

    suspend fun run() {
        coroutineScope {
            val server = launch { frontEnd.run() }
            crashed.await()
            server.cancelAndJoin()
        }
    }

    suspend fun boundEndpoint(): Endpoint = bound.await()

    /** Closes the server and every connection, as the end of a process does. */
    fun crash() {
        crashed.complete(Unit)
    }
}

/** Applies a pure [decision] to the state of the cell; it may be computed more than once. */
internal fun <S, A> MutableStateFlow<S>.decide(decision: (S) -> Decision<S, A>): PersistentList<A> {
    while (true) {
        val before = value
        val decided = decision(before)
        if (compareAndSet(before, decided.state)) return decided.actions
    }
}

/** Breaks the connection of [call] after the first [text] of a reply that announces more. */
internal suspend fun breakConnection(call: ApplicationCall, text: String = " ") {
    val announced = text.encodeToByteArray().size + 1L
    call.respondBytesWriter(contentLength = announced) {
        writeStringUtf8(text)
        flush()
        throw IOException("the stand-in breaks the connection")
    }
}
