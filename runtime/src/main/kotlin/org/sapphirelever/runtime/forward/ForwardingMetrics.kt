/*
 * Metrics of the forwarding front end in the Prometheus text format.
 */
package org.sapphirelever.runtime.forward

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Counts requests in a registry of its own. */
public class ForwardingMetrics(state: ForwardingState) {
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
            state.belief.value.version.toDouble()
        }
        gauge("sapphirelever_configuration_age_seconds", "Time since the store confirmed it") {
            state.belief.value.age(state.moment())?.toDouble(DurationUnit.SECONDS) ?: -1.0
        }
    }

    /** Notes the end of a request; null means that its caller left. */
    public fun finished(outcome: ForwardOutcome?, took: Duration) {
        // Causes carry details after a colon, which would make too many series.
        val cause = outcome?.cause?.substringBefore(':') ?: "caller-left"
        requests.labelValues((outcome?.status ?: 0).toString(), cause).inc()
        seconds.observe(took.toDouble(DurationUnit.SECONDS))
    }

    /** All metrics as text. */
    public fun scrape(): ByteArray {
        val body = ByteArrayOutputStream()
        PrometheusTextFormatWriter.builder().build().write(body, registry.scrape())
        return body.toByteArray()
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
        /** From the added time of a host to the longest deadline of a chat. */
        val BOUNDS_SECONDS =
            doubleArrayOf(0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 8.0, 20.0)
    }
}
