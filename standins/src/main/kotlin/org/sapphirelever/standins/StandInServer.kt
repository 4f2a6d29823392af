/*
 * HTTP server of a stand-in: reports the bound address and can simulate the crash of a process.
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

/** A stand-in for the platform or a target, which runs in a test or as a separate process. */
public interface StandIn {
    /** Serves until it is cancelled or crashes. */
    public suspend fun run()

    /** Waits until the server listens; returns its endpoint, with the actual port if 0 was set. */
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

/**
 * Applies [decision] atomically and returns its actions. The decision must be pure, since it is
 * repeated after a concurrent update.
 */
internal fun <S, A> MutableStateFlow<S>.decide(decision: (S) -> Decision<S, A>): PersistentList<A> {
    while (true) {
        val before = value
        val decided = decision(before)
        if (compareAndSet(before, decided.state)) return decided.actions
    }
}

/** Sends [text] as the beginning of a longer reply and then breaks the connection of [call]. */
internal suspend fun breakConnection(call: ApplicationCall, text: String = " ") {
    val announced = text.encodeToByteArray().size + 1L
    call.respondBytesWriter(contentLength = announced) {
        writeStringUtf8(text)
        flush()
        throw IOException("injected fault: connection broken")
    }
}
