/*
 * Stand-in for the platform: key-value service with compare-and-swap, leases and watches, and the
 * host list.
 */
package org.sapphirelever.standins

import io.ktor.http.HttpStatusCode
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.encodeToString
import org.sapphirelever.core.Endpoint
import org.sapphirelever.platform.HostListMessage
import org.sapphirelever.platform.ListedHostMessage
import org.sapphirelever.platform.PlatformJson
import org.sapphirelever.platform.RevisionMessage
import org.sapphirelever.platform.ValueMessage
import org.sapphirelever.runtime.http.HttpFrontEnd
import org.sapphirelever.runtime.http.Routes
import org.sapphirelever.runtime.http.answer
import org.sapphirelever.runtime.http.readText
import org.sapphirelever.runtime.http.respondJson

/** Values and host list of the stand-in. */
private data class PlatformState(
    val values: PersistentMap<String, ValueMessage> = persistentMapOf(),
    val hosts: PersistentList<ListedHostMessage> = persistentListOf()
)

/** Serves the platform's protocol at [endpoint]. */
public class PlatformStandIn(private val endpoint: Endpoint) {
    private val state = MutableStateFlow(PlatformState())

    public suspend fun run() {
        HttpFrontEnd(endpoint, listOf(valueRoutes(), hostRoutes())).run()
    }

    private fun valueRoutes(): Routes = Routes {
        get("/v1/values/{key...}") {
            answer(call) {
                val path = call.parameters.getAll("key").orEmpty()
                if (path.lastOrNull() == "watch") {
                    val key = path.dropLast(1).joinToString("/")
                    val after = call.parameters["after"]?.toLong() ?: 0
                    val wait = (call.parameters["waitMillis"]?.toLong() ?: 0).milliseconds
                    val value =
                        withTimeoutOrNull(wait) {
                            state.first { current(it, key).revision > after }
                        } ?: state.value
                    call.respondJson(PlatformJson.encodeToString(current(value, key)))
                } else {
                    val value = current(state.value, path.joinToString("/"))
                    call.respondJson(PlatformJson.encodeToString(value))
                }
            }
        }
        put("/v1/values/{key...}") {
            answer(call) {
                val key = call.parameters.getAll("key").orEmpty().joinToString("/")
                val expected = call.parameters["expected"]?.toLong() ?: 0
                val written = write(key, expected, call.readText(VALUE_LIMIT))
                val status = if (written) HttpStatusCode.OK else HttpStatusCode.Conflict
                val revision = RevisionMessage(current(state.value, key).revision)
                call.respondJson(PlatformJson.encodeToString(revision), status)
            }
        }
    }

    private fun hostRoutes(): Routes = Routes {
        get("/v1/hosts") {
            answer(call) {
                val hosts = HostListMessage(state.value.hosts)
                call.respondJson(PlatformJson.encodeToString(hosts))
            }
        }
        post("/admin/hosts") {
            answer(call) {
                val host =
                    PlatformJson.decodeFromString<ListedHostMessage>(call.readText(VALUE_LIMIT))
                state.update { current ->
                    current.copy(
                        hosts = current.hosts.removeAll { it.id == host.id }.add(host)
                    )
                }
                call.respondJson("{}")
            }
        }
    }

    private fun current(state: PlatformState, key: String): ValueMessage =
        state.values[key] ?: ValueMessage("", 0)

    private fun write(key: String, expected: Long, value: String): Boolean {
        var written = false
        state.update { before ->
            written = current(before, key).revision == expected
            if (written) {
                before.copy(values = before.values.put(key, ValueMessage(value, expected + 1)))
            } else {
                before
            }
        }
        return written
    }

    private companion object {
        const val VALUE_LIMIT = 1_048_576
    }
}
