/*
 * Stand-in for the platform over HTTP: key-value service with compare-and-swap, leases and watches,
 * weight store and host list, with faults and counts of calls.
 */
package org.sapphirelever.standins

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.routing.Routing
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.encodeToString
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.SystemMonotonicClock
import org.sapphirelever.decisions.Decision
import org.sapphirelever.runtime.http.Routes
import org.sapphirelever.runtime.http.answer
import org.sapphirelever.runtime.http.readText
import org.sapphirelever.runtime.http.respondJson
import org.sapphirelever.runtime.store.HostListMessage
import org.sapphirelever.runtime.store.LeaseRequestMessage
import org.sapphirelever.runtime.store.ListedHostMessage
import org.sapphirelever.runtime.store.PlatformJson
import org.sapphirelever.runtime.store.RevisionMessage
import org.sapphirelever.runtime.store.ValueMessage
import org.sapphirelever.runtime.store.WeightMessage

private typealias LeaseTransition =
    PlatformState.(String, LeaseRequestMessage, MonotonicTime) ->
    Decision<PlatformState, PlatformReply>

/** Serves the protocol of the platform over HTTP at [endpoint]. */
public class PlatformStandIn(
    endpoint: Endpoint,
    limits: PlatformLimits = PlatformLimits(),
    faults: PlatformFaults = PlatformFaults(),
    private val clock: MonotonicClock = SystemMonotonicClock
) : StandIn {
    private val state = MutableStateFlow(PlatformState(limits, faults))
    private val server =
        StandInServer(
            endpoint,
            listOf(
                Routes { valueRoutes() },
                Routes { leaseRoutes() },
                Routes { hostAndWeightRoutes() },
                Routes { adminRoutes() }
            )
        )

    override suspend fun run() {
        server.run()
    }

    override suspend fun boundEndpoint(): Endpoint = server.boundEndpoint()

    /** Replaces the current faults. */
    public fun setFaults(faults: PlatformFaults) {
        state.update { it.copy(faults = faults) }
    }

    public fun counts(): CallCounts = with(state.value) {
        CallCounts(counts.mapKeys { it.key.text }, refused, waitingWatches)
    }

    /** Adds [host] to the host list, or replaces the entry with the same id. */
    public fun putHost(host: ListedHostMessage) {
        val now = clock.now()
        state.update { before ->
            before.withHosts(now) { hosts -> hosts.removeAll { it.id == host.id }.add(host) }
        }
    }

    public fun removeHost(id: String) {
        val now = clock.now()
        state.update { before ->
            before.withHosts(now) { hosts -> hosts.removeAll { it.id == id } }
        }
    }

    private fun Routing.valueRoutes() {
        get("/v1/values/{key...}") {
            val path = call.parameters.getAll("key").orEmpty()
            if (path.lastOrNull() == "watch") {
                val key = path.dropLast(1).joinToString("/")
                serve(call, PlatformCall.WATCH) { call.respondValue(awaitChange(call, key)) }
            } else {
                serve(call, PlatformCall.READ) {
                    call.respondValue(state.value.value(path.joinToString("/")))
                }
            }
        }
        put("/v1/values/{key...}") {
            serve(call, PlatformCall.WRITE) {
                val key = call.parameters.getAll("key").orEmpty().joinToString("/")
                val expected = call.parameters["expected"]?.toLong() ?: 0
                val text = call.readText(MAXIMUM_VALUE_BYTES)
                call.respondReply(state.decide { it.onWrite(key, expected, text) }.single())
            }
        }
    }

    private suspend fun awaitChange(call: ApplicationCall, key: String): ValueMessage {
        val after = call.parameters["after"]?.toLong() ?: 0
        val wait = (call.parameters["waitMillis"]?.toLong() ?: 0).milliseconds
        state.update { it.copy(waitingWatches = it.waitingWatches + 1) }
        try {
            val changed =
                withTimeoutOrNull(wait) { state.first { it.value(key).revision > after } }
            return (changed ?: state.value).value(key)
        } finally {
            state.update { it.copy(waitingWatches = it.waitingWatches - 1) }
        }
    }

    private fun Routing.leaseRoutes() {
        post(LEASE_PATH) {
            changeLease(call) { name, request, now -> onAcquire(name, request, now) }
        }
        put(LEASE_PATH) { changeLease(call) { name, request, now -> onRenew(name, request, now) } }
        delete(LEASE_PATH) {
            changeLease(call) { name, request, now -> onRelease(name, request, now) }
        }
    }

    private suspend fun changeLease(call: ApplicationCall, transition: LeaseTransition) {
        serve(call, PlatformCall.LEASE) {
            val name = call.parameters.getAll("name").orEmpty().joinToString("/")
            val request =
                PlatformJson.decodeFromString<LeaseRequestMessage>(
                    call.readText(MAXIMUM_VALUE_BYTES)
                )
            val now = clock.now()
            call.respondReply(state.decide { it.transition(name, request, now) }.single())
        }
    }

    private fun Routing.hostAndWeightRoutes() {
        get("/v1/hosts") {
            serve(call, PlatformCall.HOSTS) {
                val hosts = HostListMessage(state.value.visibleHosts(clock.now()))
                call.respondJson(PlatformJson.encodeToString(hosts))
            }
        }
        get("/v1/weights/{model}") {
            serve(call, PlatformCall.WEIGHTS) {
                val weights = WeightMessage(call.parameters["model"].orEmpty(), WEIGHT_BYTES)
                call.respondJson(PlatformJson.encodeToString(weights))
            }
        }
    }

    private fun Routing.adminRoutes() {
        post("/admin/faults") {
            answer(call) {
                setFaults(PlatformJson.decodeFromString(call.readText(MAXIMUM_VALUE_BYTES)))
                call.respondJson("{}")
            }
        }
        get("/admin/calls") {
            answer(call) { call.respondJson(PlatformJson.encodeToString(counts())) }
        }
        post("/admin/hosts") {
            answer(call) {
                putHost(PlatformJson.decodeFromString(call.readText(MAXIMUM_VALUE_BYTES)))
                call.respondJson("{}")
            }
        }
        delete("/admin/hosts/{id}") {
            answer(call) {
                removeHost(call.parameters["id"].orEmpty())
                call.respondJson("{}")
            }
        }
    }

    /** Counts the call, applies faults and rate limits, and handles the call if they allow it. */
    private suspend fun serve(
        call: ApplicationCall,
        kind: PlatformCall,
        handle: suspend () -> Unit
    ) {
        answer(call) {
            val now = clock.now()
            val reply = state.decide { it.onCall(kind, now) }.single()
            val faults = state.value.faults
            delay(faults.slowMillis)
            when {
                faults.silent -> delay(HANG_DURATION)

                faults.outage -> call.respondJson("{}", HttpStatusCode.ServiceUnavailable)

                reply == PlatformReply.Throttled ->
                    call.respondJson("{}", HttpStatusCode.TooManyRequests)

                else -> handle()
            }
        }
    }

    private suspend fun ApplicationCall.respondReply(reply: PlatformReply) {
        if (state.decide { it.onReply() }.single() == PlatformReply.LoseReply) {
            delay(HANG_DURATION)
            return
        }
        when (reply) {
            is PlatformReply.Written ->
                respondJson(PlatformJson.encodeToString(RevisionMessage(reply.revision)))

            is PlatformReply.Conflict -> {
                val message = RevisionMessage(reply.revision)
                respondJson(PlatformJson.encodeToString(message), HttpStatusCode.Conflict)
            }

            is PlatformReply.LeaseHeld ->
                respondJson(PlatformJson.encodeToString(reply.lease))

            is PlatformReply.LeaseRefused ->
                respondJson(PlatformJson.encodeToString(reply.lease), HttpStatusCode.Conflict)

            else -> error("unexpected reply to a write or lease call: $reply")
        }
    }

    private suspend fun ApplicationCall.respondValue(value: ValueMessage) {
        respondJson(PlatformJson.encodeToString(value))
    }

    private companion object {
        const val MAXIMUM_VALUE_BYTES = 1_048_576
        const val WEIGHT_BYTES = 1_000_000L
        const val LEASE_PATH = "/v1/leases/{name...}"

        /** How long a call that gets no answer stays open; longer than any client waits. */
        val HANG_DURATION = 2.minutes
    }
}
