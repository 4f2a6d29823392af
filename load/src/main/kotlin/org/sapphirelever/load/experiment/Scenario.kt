/*
 * Input of a simulation run: a deployment, its demand and its faults.
 */
package org.sapphirelever.load.experiment

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Sizes of one service of a deployment; [meanServiceTime] is that of its short calls. */
public data class ServiceShape(
    public val name: String,
    public val targets: Int,
    public val slots: Int,
    public val meanServiceTime: Duration
)

/**
 * Sizes of a deployment on which experiments run.
 *
 * @property latency one-way latency between data centres
 * @property clientLatency one-way latency between clients and entry hosts
 * @property stages services of the pipeline, in order
 * @property engine name of the engine service, which is the bottleneck
 */
public data class Deployment(
    public val name: String,
    public val dataCentres: List<String>,
    public val entryHosts: Int,
    public val latency: Duration,
    public val clientLatency: Duration,
    public val stages: List<ServiceShape>,
    public val engine: String
) {
    /** Short requests per second that the engine service completes when all its slots are busy. */
    public val capacity: Double
        get() = stages.single { it.name == engine }
            .let { it.targets * it.slots / (it.meanServiceTime / 1.seconds) }
}

/** An organisation and its share of the demand. */
public data class OrganisationDemand(
    public val name: String,
    public val weight: Int,
    public val share: Double
)

/** Period during which a target is [factor] times slower. */
public data class SlowPeriod(
    public val start: Duration,
    public val end: Duration,
    public val factor: Double
)

/**
 * Demand and faults of one run.
 *
 * @property load demand before the surge, as a share of capacity
 * @property surge factor by which demand rises linearly from [surgeStart] to [surgeEnd]
 * @property longShare share of requests that take [longFactor] times longer
 * @property slowTarget index of the slow engine target, or null
 * @property prefixes number of distinct prefixes, 0 for none
 * @property failureAt time at which one engine target and one entry host crash, or null
 */
public data class Scenario(
    public val deployment: Deployment,
    public val duration: Duration = 20.seconds,
    public val load: Double = 0.5,
    public val surge: Double = 1.0,
    public val surgeStart: Duration = 3.seconds,
    public val surgeEnd: Duration = 8.seconds,
    public val longShare: Double = 0.0,
    public val longFactor: Double = 30.0,
    public val longDeadline: Duration = 30.seconds,
    public val slowTarget: Int? = null,
    public val slowPeriods: List<SlowPeriod> = emptyList(),
    public val reportDelay: Duration = 50.milliseconds,
    public val prefixes: Int = 0,
    public val failureAt: Duration? = null,
    public val organisations: List<OrganisationDemand> = ORGANISATIONS
) {
    /** Requests per second at [time]. */
    public fun rate(time: Duration): Double {
        val rampProgress = ((time - surgeStart) / (surgeEnd - surgeStart)).coerceIn(0.0, 1.0)
        return deployment.capacity * load * (1 + (surge - 1) * rampProgress)
    }
}

/** Five organisations, of which two are large. */
public val ORGANISATIONS: List<OrganisationDemand> = listOf(
    OrganisationDemand("large-1", 8, 0.55),
    OrganisationDemand("large-2", 4, 0.25),
    OrganisationDemand("middle", 2, 0.12),
    OrganisationDemand("small-1", 1, 0.05),
    OrganisationDemand("small-2", 1, 0.03)
)

/** Kennel office: four data centres, an engine service of 6 targets. */
public val KENNEL_OFFICE: Deployment = Deployment(
    name = "kennel-office",
    dataCentres = listOf("krakow-a", "krakow-b", "tarnow", "nowy-sacz"),
    entryHosts = 6,
    latency = 1.5.milliseconds,
    clientLatency = 1.milliseconds,
    stages = listOf(
        ServiceShape("rejestr-chip", 4, 8, 10.milliseconds),
        ServiceShape("asystent", 6, 16, 100.milliseconds),
        ServiceShape("komunikaty", 4, 8, 5.milliseconds)
    ),
    engine = "asystent"
)

/** Strap menders: three data centres, an engine service of 8 targets. */
public val STRAP_MENDERS: Deployment = Deployment(
    name = "strap-menders",
    dataCentres = listOf("cairo-a", "cairo-b", "cairo-c"),
    entryHosts = 8,
    latency = 1.milliseconds,
    clientLatency = 3.milliseconds,
    stages = listOf(
        ServiceShape("leather-stock", 4, 8, 10.milliseconds),
        ServiceShape("sapphire-models", 8, 16, 100.milliseconds),
        ServiceShape("orders-desk", 3, 8, 5.milliseconds)
    ),
    engine = "sapphire-models"
)
