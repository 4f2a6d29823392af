/*
 * Measures what membership and the spread of configurations cost as the number of hosts grows.
 */
package org.sapphirelever.load.slope

import kotlin.math.log2
import kotlin.random.Random
import kotlin.time.Duration
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
 * Figures of one number of hosts.
 *
 * @property bytesPerSecond sent by each host, with all tables equal
 * @property inForce time until a new revision, known to one host, is in force on all
 * @property converged time until every host knows all others after the last one started
 */
public data class SlopePoint(
    public val hosts: Int,
    public val bytesPerSecond: Double,
    public val messagesPerSecond: Double,
    public val inForce: Duration,
    public val converged: Duration,
    public val greatestFrame: Int
)

/** Runs [hosts] hosts in [dataCentres] data centres. */
public fun measureSlope(hosts: Int, dataCentres: Int, seed: Long): SlopePoint {
    val random = Random(seed)
    val network = VirtualNetwork(random)
    repeat(hosts) { number ->
        val delay = START_SPREAD * random.nextDouble()
        network.add("dc-${number % dataCentres}", delay = if (number == 0) Duration.ZERO else delay)
    }
    network.run(START_SPREAD)
    val converged = network.run(LIMIT) {
        network.all().all { it.protocol.state.membership.value.members.size == hosts }
    }
    publish(network, 1)
    network.run(SETTLE)
    val before = network.traffic
    network.run(WINDOW)
    val spent = network.traffic - before
    publish(network, 2)
    val inForce = network.run(LIMIT) { network.inForceEverywhere(Revision(2)) }
    val hostSeconds = hosts * WINDOW.toDouble(DurationUnit.SECONDS)
    return SlopePoint(
        hosts = hosts,
        bytesPerSecond = spent.bytes / hostSeconds,
        messagesPerSecond = spent.messages / hostSeconds,
        inForce = inForce,
        converged = converged,
        greatestFrame = network.greatestFrame
    )
}

private fun publish(network: VirtualNetwork, revision: Long) {
    val organisation = Organisation(OrganisationName("organisation-$revision"))
    val host = network.all().first()
    val protocol = host.protocol
    protocol.state.configuration.decide { it.on(ConfigurationEvent.SourcesAsked) }
    val base = protocol.state.configuration.value.inForce
    val next: Configuration = base.with(organisation).copy(revision = Revision(revision))
    protocol.adopt(next)
    network.tellNews(host)
}

private fun VirtualNetwork.inForceEverywhere(revision: Revision): Boolean =
    all().all { it.protocol.state.configuration.value.inForce.revision >= revision }

/** Least-squares line of [y] over [x]: intercept and slope. */
public fun fitLine(x: List<Double>, y: List<Double>): Pair<Double, Double> {
    val meanX = x.average()
    val meanY = y.average()
    val slope = x.zip(y).sumOf { (a, b) -> (a - meanX) * (b - meanY) } /
        x.sumOf { (it - meanX) * (it - meanX) }
    return meanY - slope * meanX to slope
}

/** Prints the table and the fit of bytes a second over the logarithm of the number of hosts. */
public fun main(arguments: Array<String>) {
    val sizes = arguments.map { it.toInt() }.ifEmpty { SIZES }
    println("hosts  bytes/s/host  messages/s/host  in force ms  converged ms  greatest frame B")
    val points = sizes.map { size ->
        measureSlope(size, DATA_CENTRES, SEED).also { println(it.row()) }
    }
    if (points.size < 2) return
    val (start, slope) =
        fitLine(points.map { log2(it.hosts.toDouble()) }, points.map { it.bytesPerSecond })
    println("bytes/s/host = %.1f + %.1f * log2(hosts)".format(start, slope))
}

private fun SlopePoint.row(): String = "%5d  %12.1f  %15.2f  %11d  %12d  %16d".format(
    hosts,
    bytesPerSecond,
    messagesPerSecond,
    inForce.inWholeMilliseconds,
    converged.inWholeMilliseconds,
    greatestFrame
)

private val SIZES = listOf(8, 32, 128, 512)
private const val DATA_CENTRES = 4
private const val SEED = 7L
private val START_SPREAD = 5.seconds
private val SETTLE = 60.seconds
private val WINDOW = 60.seconds
private val LIMIT = 10.minutes
