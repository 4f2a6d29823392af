/*
 * Metrics in the Prometheus text format on `/metrics`. docs/OPERATIONS.md explains them.
 */
package org.sapphirelever.runtime.metrics

import io.ktor.http.ContentType
import io.ktor.server.response.respondBytes
import io.ktor.server.routing.get
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.instrumentation.jvm.JvmMetrics
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import kotlin.time.DurationUnit
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.PipelineName
import org.sapphirelever.core.StageName
import org.sapphirelever.runtime.http.Routes
import org.sapphirelever.runtime.transport.CallerCounts

/** Records metrics in its own registry, so that several hosts can share a process in tests. */
public class PrometheusMetrics(
    revision: () -> Long,
    outstanding: () -> Int,
    callers: CallerCounts = CallerCounts(),
    private val registry: PrometheusRegistry = PrometheusRegistry()
) : RequestMetrics {
    private val requests =
        counter("requests", "Requests by outcome", "pipeline", "organisation", "outcome", "code")
    private val requestSeconds =
        histogram("request_seconds", "Time from arrival to outcome", "pipeline")
    private val stageSeconds =
        histogram("stage_seconds", "Time in a stage with its waiting", "pipeline", "stage")
    private val attempts = stageCounter("attempts", "Calls to targets")
    private val retries = stageCounter("retries", "Calls to targets after the first, not hedges")
    private val hedges = stageCounter("hedges", "Calls to targets started as hedges")
    private val targetSeconds = stageCounter("target_seconds", "Time that targets spent")
    private val tokens = stageCounter("tokens", "Tokens that targets generated")
    private val refusals =
        counter("refusals", "Stages refused before a call", "pipeline", "stage", "code")
    private val dropped = stageCounter("dropped_answers", "Answers that belonged to another call")

    init {
        gauge("configuration_revision", "Revision in force on this host") { revision().toDouble() }
        gauge("outstanding_calls", "Calls without an answer yet") { outstanding().toDouble() }
        callersCounter("refused", "Connections closed when none had room") { callers.refused.get() }
        callersCounter("evicted", "Connections closed to make room") { callers.evicted.get() }
        callersCounter("stalled", "Senders and readers without progress") { callers.stalled.get() }
        callersCounter("oversized", "Requests beyond a limit of size") { callers.oversized.get() }
        JvmMetrics.builder().register(registry)
    }

    public val routes: Routes =
        Routes {
            get("/metrics") {
                val body = ByteArrayOutputStream()
                PrometheusTextFormatWriter.builder().build().write(body, registry.scrape())
                call.respondBytes(body.toByteArray(), ContentType.parse(FORMAT))
            }
        }

    override fun requestFinished(request: FinishedRequest) {
        val outcome = request.outcome
        requests
            .labelValues(
                request.pipeline.value,
                request.organisation.value,
                outcome.text,
                outcome.code.text
            ).inc()
        requestSeconds
            .labelValues(request.pipeline.value)
            .observe(request.took.toDouble(DurationUnit.SECONDS))
    }

    override fun stageFinished(stage: FinishedStage) {
        val pipeline = stage.pipeline.value
        val name = stage.stage.value
        stageSeconds.labelValues(pipeline, name).observe(stage.took.toDouble(DurationUnit.SECONDS))
        attempts.labelValues(pipeline, name).inc(stage.attempts.toLong())
        val retried = (stage.attempts - stage.hedges - 1).coerceAtLeast(0)
        retries.labelValues(pipeline, name).inc(retried.toLong())
        hedges.labelValues(pipeline, name).inc(stage.hedges.toLong())
        targetSeconds
            .labelValues(pipeline, name)
            .inc(stage.targetTime.toDouble(DurationUnit.SECONDS))
        tokens.labelValues(pipeline, name).inc(stage.tokens.toLong())
    }

    override fun refused(pipeline: PipelineName, stage: StageName, code: ErrorCode) {
        refusals.labelValues(pipeline.value, stage.value, code.text).inc()
    }

    override fun answersDropped(pipeline: PipelineName, stage: StageName, count: Int) {
        dropped.labelValues(pipeline.value, stage.value).inc(count.toLong())
    }

    private fun callersCounter(name: String, help: String, read: () -> Long) {
        CounterWithCallback
            .builder()
            .name("${PREFIX}callers_${name}_total")
            .help(help)
            .callback { it.call(read().toDouble()) }
            .register(registry)
    }

    private fun stageCounter(name: String, help: String): Counter =
        counter(name, help, "pipeline", "stage")

    private fun counter(name: String, help: String, vararg labels: String): Counter =
        Counter.builder().name(PREFIX + name).help(help).labelNames(*labels).register(registry)

    private fun histogram(name: String, help: String, vararg labels: String): Histogram = Histogram
        .builder()
        .name(PREFIX + name)
        .help(help)
        .labelNames(*labels)
        .classicUpperBounds(*BOUNDS_SECONDS)
        .classicOnly()
        .register(registry)

    private fun gauge(name: String, help: String, read: () -> Double) {
        GaugeWithCallback
            .builder()
            .name(PREFIX + name)
            .help(help)
            .callback { it.call(read()) }
            .register(registry)
    }

    private companion object {
        const val PREFIX = "sapphirelever_"
        const val FORMAT = "text/plain; version=0.0.4; charset=utf-8"

        /** From the overhead of a host (1 ms) to beyond the longest pipeline deadline (4 s). */
        val BOUNDS_SECONDS =
            doubleArrayOf(0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 4.0, 8.0)
    }
}
