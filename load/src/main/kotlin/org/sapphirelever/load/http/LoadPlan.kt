/*
 * Plan of a load run: which request is sent when. It depends only on the settings and the seed.
 */
package org.sapphirelever.load.http

import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** One of several choices; [weight] is its share relative to the others. */
public data class Weighted(public val name: String, public val weight: Int)

/**
 * What a load run sends.
 *
 * @property rate mean arrivals in a second, over all entry hosts
 * @property keyed pipelines whose requests need a key
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

/** One request of the plan; [at] is its intended send time after the start of the run. */
public data class PlannedRequest(
    public val number: Int,
    public val at: Duration,
    public val pipeline: String,
    public val organisation: String,
    public val text: String
)

/** The requests of [settings] with exponential gaps between them, in order of time. */
public fun planLoad(settings: LoadSettings): List<PlannedRequest> {
    val random = Random(settings.seed)
    val requests = mutableListOf<PlannedRequest>()
    var at = gap(settings.rate, random)
    while (at < settings.length) {
        val number = requests.size
        requests +=
            PlannedRequest(
                number = number,
                at = at,
                pipeline = pick(settings.pipelines, random),
                organisation = pick(settings.organisations, random),
                text = "load-${settings.seed}-$number-${random.nextLong().toULong()}"
            )
        at += gap(settings.rate, random)
    }
    return requests
}

private fun gap(rate: Double, random: Random): Duration =
    (-ln(1 - random.nextDouble()) / rate).seconds

private fun pick(choices: List<Weighted>, random: Random): String {
    var rest = random.nextInt(choices.sumOf { it.weight })
    return choices.first { choice ->
        rest -= choice.weight
        rest < 0
    }.name
}
