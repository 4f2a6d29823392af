/*
 * Plan of a load run: its requests and their send times, determined by settings and seed alone.
 */
package org.sapphirelever.load.http

import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A named choice of a mix; [weight] is its share relative to the other choices. */
public data class Weighted(public val name: String, public val weight: Int)

/**
 * Settings of a load run.
 *
 * @property rate mean requests per second over all entry hosts
 * @property length time during which requests are sent
 * @property keyed pipelines whose requests need a key; the load gets a new key for each such
 *   request
 */
public data class LoadSettings(
    public val rate: Double,
    public val length: Duration,
    public val pipelines: List<Weighted>,
    public val organisations: List<Weighted>,
    public val keyed: Set<String> = emptySet(),
    public val deadline: Duration = 4.seconds,
    public val seed: Long = 1
)

/** One request of the plan; [intendedAt] is its send time after the start of the run. */
public data class PlannedRequest(
    public val number: Int,
    public val intendedAt: Duration,
    public val pipeline: String,
    public val organisation: String,
    public val text: String
)

/** Requests of a Poisson process with the rate of [settings], in order of send time. */
public fun planLoad(settings: LoadSettings): List<PlannedRequest> {
    val random = Random(settings.seed)
    val requests = mutableListOf<PlannedRequest>()
    var intendedAt = interarrivalTime(settings.rate, random)
    while (intendedAt < settings.length) {
        val number = requests.size
        requests +=
            PlannedRequest(
                number = number,
                intendedAt = intendedAt,
                pipeline = pickWeighted(settings.pipelines, random),
                organisation = pickWeighted(settings.organisations, random),
                text = "load-${settings.seed}-$number-${random.nextLong().toULong()}"
            )
        intendedAt += interarrivalTime(settings.rate, random)
    }
    return requests
}

private fun interarrivalTime(rate: Double, random: Random): Duration =
    (-ln(1 - random.nextDouble()) / rate).seconds

private fun pickWeighted(choices: List<Weighted>, random: Random): String {
    var remaining = random.nextInt(choices.sumOf { it.weight })
    return choices.first { choice ->
        remaining -= choice.weight
        remaining < 0
    }.name
}
