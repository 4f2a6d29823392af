/*
 * Measures how the traffic and the delays of membership and of configuration propagation grow
 * with the number of hosts.
 */
package org.sapphirelever.load.slope

import kotlin.math.log2
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import org.sapphirelever.core.OrganisationName
import org.sapphirelever.core.Revision
import org.sapphirelever.core.resource.Configuration
import org.sapphirelever.core.resource.Organisation
import org.sapphirelever.decisions.configuration.ConfigurationEvent
import org.sapphirelever.decisions.configuration.on

/**
 * Measurements for one number of hosts.
 *
 * @property bytesPerSecond traffic sent by each host once membership has converged
 * @property adoptionTime time from adoption of a revision by one host until it is in force on all
 * @property startupBytes sent by each host from its start to a minute after convergence
 * @property convergenceTime time from the last start until every host knows all hosts of its data
 *   centre
 */
public data class SlopePoint(
    public val hosts: Int,
    public val bytesPerSecond: Double,
    public val messagesPerSecond: Double,
    public val adoptionTime: Duration,
    public val convergenceTime: Duration,
    public val largestFrameBytes: Int,
    public val startupBytes: Double
)

/** Measures the traffic and the delays of [hosts] hosts in [dataCentres] data centres. */
public fun measurePoint(hosts: Int, dataCentres: Int, seed: Long): SlopePoint {
    val random = Random(seed)
    val network = VirtualNetwork(random)
    repeat(hosts) { number ->
        val delay = MAXIMUM_START_DELAY * random.nextDouble()
        network.add("dc-${number % dataCentres}", delay = if (number == 0) Duration.ZERO else delay)
    }
    network.run(MAXIMUM_START_DELAY)
    val convergenceTime = network.runUntil(CONVERGENCE_CHECK_INTERVAL) {
        network.allDataCentresKnown()
    }
    publishRevision(network, 1)
    network.run(SETTLING_TIME)
    val startupBytes = network.traffic.bytes.toDouble() / hosts
    val before = network.traffic
    network.run(MEASUREMENT_TIME)
    val windowTraffic = network.traffic - before
    publishRevision(network, 2)
    val adoptionTime = network.runUntil(ADOPTION_CHECK_INTERVAL) {
        network.isInForceEverywhere(Revision(2))
    }
    val hostSeconds = hosts * MEASUREMENT_TIME.toDouble(DurationUnit.SECONDS)
    return SlopePoint(
        hosts = hosts,
        bytesPerSecond = windowTraffic.bytes / hostSeconds,
        messagesPerSecond = windowTraffic.messages / hostSeconds,
        adoptionTime = adoptionTime,
        convergenceTime = convergenceTime,
        largestFrameBytes = network.largestFrameBytes,
        startupBytes = startupBytes
    )
}

private fun VirtualNetwork.allDataCentresKnown(): Boolean {
    val hostCounts = all().groupingBy { it.own.dataCentre }.eachCount()
    return all().all { host ->
        val known = host.protocol.state.membership.value.live(host.own.dataCentre)
        known.size == hostCounts[host.own.dataCentre]
    }
}

/**
 * Runs until [done] holds or [MAXIMUM_WAIT] has passed. Evaluates [done] once per [step], because
 * checking all hosts after each message would take quadratic time.
 */
private fun VirtualNetwork.runUntil(step: Duration, done: () -> Boolean): Duration {
    var elapsed = Duration.ZERO
    while (elapsed < MAXIMUM_WAIT && !done()) elapsed += run(step)
    return elapsed
}

private fun publishRevision(network: VirtualNetwork, revision: Long) {
    val organisation = Organisation(OrganisationName("organisation-$revision"))
    val host = network.all().first()
    val protocol = host.protocol
    protocol.state.configuration.decide { it.on(ConfigurationEvent.SourcesAsked) }
    val base = protocol.state.configuration.value.inForce
    val next: Configuration = base.with(organisation).copy(revision = Revision(revision))
    protocol.adopt(next)
    network.sendChanges(host)
}

private fun VirtualNetwork.isInForceEverywhere(revision: Revision): Boolean =
    all().all { it.protocol.state.configuration.value.inForce.revision >= revision }

/** Least-squares line of [y] over [x]: intercept and slope. */
public fun fitLine(x: List<Double>, y: List<Double>): Pair<Double, Double> {
    val meanX = x.average()
    val meanY = y.average()
    val slope = x.zip(y).sumOf { (a, b) -> (a - meanX) * (b - meanY) } /
        x.sumOf { (it - meanX) * (it - meanX) }
    return meanY - slope * meanX to slope
}

/** Prints the measurements and the fit of bytes per second over log2 of the number of hosts. */
public fun main(arguments: Array<String>) {
    val dataCentres = System.getProperty("dataCentres")?.toInt() ?: DEFAULT_DATA_CENTRES
    val hostCounts = arguments.map { it.toInt() }.ifEmpty { DEFAULT_HOST_COUNTS }
    println(
        "hosts  bytes/s/host  messages/s/host  in force ms  converged ms  " +
            "greatest frame B  start B/host"
    )
    val points = hostCounts.map { hosts ->
        measurePoint(hosts, dataCentres, SEED).also { println(it.row()) }
    }
    if (points.size < 2) return
    val (intercept, slope) =
        fitLine(points.map { log2(it.hosts.toDouble()) }, points.map { it.bytesPerSecond })
    println("bytes/s/host = %.1f + %.1f * log2(hosts)".format(intercept, slope))
}

private fun SlopePoint.row(): String = "%5d  %12.1f  %15.2f  %11d  %12d  %16d  %12.0f".format(
    hosts,
    bytesPerSecond,
    messagesPerSecond,
    adoptionTime.inWholeMilliseconds,
    convergenceTime.inWholeMilliseconds,
    largestFrameBytes,
    startupBytes
)

private val DEFAULT_HOST_COUNTS = listOf(8, 32, 128, 512)
private const val DEFAULT_DATA_CENTRES = 4
private const val SEED = 7L
private val MAXIMUM_START_DELAY = 5.seconds
private val SETTLING_TIME = 60.seconds
private val MEASUREMENT_TIME = 60.seconds
private val CONVERGENCE_CHECK_INTERVAL = 100.milliseconds
private val ADOPTION_CHECK_INTERVAL = 1.milliseconds
private val MAXIMUM_WAIT = 10.minutes
