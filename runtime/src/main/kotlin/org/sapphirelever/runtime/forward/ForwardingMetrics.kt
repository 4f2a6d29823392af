/*
 * Metrics of a forwarding host in the Prometheus text format.
 */
package org.sapphirelever.runtime.forward

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.DurationUnit
import org.sapphirelever.decisions.forwarding.ReaderFailure
import org.sapphirelever.runtime.transport.CallerRegistry

/** Metrics in a registry of their own, so that hosts in one process do not share counts. */
public class ForwardingMetrics(state: ForwardingState, reads: StoreReads) {
    private val registry = PrometheusRegistry()
    private val requests =
        Counter
            .builder()
            .name("sapphirelever_forwarded_requests_total")
            .help("Forwarded requests by status and cause")
            .labelNames("status", "cause")
            .register(registry)
    private val seconds =
        Histogram
            .builder()
            .name("sapphirelever_forwarded_request_seconds")
            .help("Time from arrival to the end of the answer")
            .classicUpperBounds(*BOUNDS_SECONDS)
            .classicOnly()
            .register(registry)

    init {
        gauge("sapphirelever_configuration_version", "Configuration in force on this host") {
            state.configuration.value.version.toDouble()
        }
        gauge(
            "sapphirelever_configuration_age_seconds",
            "Time since the store confirmed it"
        ) {
            state.configuration.value.age(state.readClock())?.toDouble(DurationUnit.SECONDS) ?: -1.0
        }
        gauge("sapphirelever_targets_leaving", "Targets that leave, by their record or answers") {
            state.directory.value.leaving().size.toDouble()
        }
        gauge("sapphirelever_targets_paused", "Targets that want a pause") {
            state.notices.currentPauses.size.toDouble()
        }
        count("sapphirelever_target_departures_total", "Targets that stated that they leave") {
            state.notices.departures.get()
        }
        count("sapphirelever_target_pause_requests_total", "Refusals that ask for a pause") {
            state.notices.pauseRequests.get()
        }
        gauge("sapphirelever_data_centres_emptied", "Data centres whose targets get nothing") {
            state.directory.value.evacuations.emptied.size.toDouble()
        }
        gauge("sapphirelever_emptied_running_calls", "Calls that run in emptied data centres") {
            val emptied = state.directory.value.evacuations.emptied.keys
            emptied.sumOf { state.evacuations.running(it) }.toDouble()
        }
        count(
            "sapphirelever_evacuation_prevented_calls_total",
            "Calls not sent because their data centre was emptied meanwhile"
        ) {
            state.evacuations.preventedCalls.get()
        }
        gauge("sapphirelever_targets_cold", "Targets that get a limited rate while they are cold") {
            val targets = state.directory.value.targets.values.map { it.record }
            targets.count { state.shares.coldFor(it).isPositive() }.toDouble()
        }
        count("sapphirelever_prompt_tokens_kept_total", "Tokens that engines probably had cached") {
            state.prompts.keptTokens
        }
        count("sapphirelever_prompt_tokens_read_total", "Tokens that engines probably read") {
            state.prompts.readTokens
        }
        gauge("sapphirelever_store_era", "Latest known era of the store; -1 if it states none") {
            state.recovery.value.era?.toDouble() ?: -1.0
        }
        count("sapphirelever_store_returns_total", "Known returns of the store from a copy") {
            state.storeReturns.get()
        }
        count("sapphirelever_store_calls_total", "Answered calls for changes to the store") {
            reads.storeCalls.get()
        }
        count("sapphirelever_store_listings_total", "Listings of the store by this host") {
            reads.listings.get()
        }
        count("sapphirelever_store_relayed_total", "Answers about the store from another host") {
            reads.relayed.get()
        }
        count("sapphirelever_store_replies_total", "Answers about the store to other hosts") {
            reads.replies.get()
        }
        CounterWithCallback
            .builder()
            .name("sapphirelever_store_fallbacks_total")
            .help("Calls to the store that replace the answer of another host, by cause")
            .labelNames("cause")
            .callback { counter ->
                ReaderFailure.entries.forEach {
                    counter.call(reads.fallbacks(it).toDouble(), it.label)
                }
            }.register(registry)
        gauge("sapphirelever_message_memory_held_bytes", "Memory that messages hold") {
            state.memory.heldBytes.toDouble()
        }
        callers(state.callers)
    }

    private fun callers(registry: CallerRegistry) {
        gauge("sapphirelever_caller_connections", "Connections of callers") {
            registry.size.toDouble()
        }
        val counts = registry.counts
        count("sapphirelever_callers_refused_total", "Connections closed when none had room") {
            counts.refused.get()
        }
        count("sapphirelever_callers_evicted_total", "Connections closed to make room") {
            counts.evicted.get()
        }
        count("sapphirelever_callers_stalled_total", "Senders and readers without progress") {
            counts.stalled.get()
        }
        count("sapphirelever_callers_oversized_total", "Requests beyond a limit of size") {
            counts.oversized.get()
        }
    }

    /** Records the end of a request; [outcome] is null if its caller closed the connection. */
    public fun recordFinished(outcome: ForwardOutcome?, took: Duration) {
        // Causes carry details after a colon, which would create too many time series.
        val cause = outcome?.cause?.substringBefore(':') ?: "caller-left"
        requests.labelValues((outcome?.status ?: 0).toString(), cause).inc()
        seconds.observe(took.toDouble(DurationUnit.SECONDS))
    }

    /** All metrics in the text exposition format. */
    public fun scrape(): ByteArray {
        val body = ByteArrayOutputStream()
        PrometheusTextFormatWriter.builder().build().write(body, registry.scrape())
        return body.toByteArray()
    }

    private fun count(name: String, help: String, read: () -> Long) {
        CounterWithCallback
            .builder()
            .name(name)
            .help(help)
            .callback { it.call(read().toDouble()) }
            .register(registry)
    }

    private fun gauge(name: String, help: String, read: () -> Double) {
        GaugeWithCallback
            .builder()
            .name(name)
            .help(help)
            .callback { it.call(read()) }
            .register(registry)
    }

    private companion object {
        /** From the latency that a host adds up to the longest deadline of a chat request. */
        val BOUNDS_SECONDS =
            doubleArrayOf(0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 8.0, 20.0)
    }
}
