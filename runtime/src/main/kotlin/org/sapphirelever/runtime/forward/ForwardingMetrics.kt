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
        count("sapphirelever_store_calls_total", "Answered calls for changes to the store") {
            reads.storeCalls.get()
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
