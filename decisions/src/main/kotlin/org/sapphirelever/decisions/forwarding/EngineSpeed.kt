/*
 * Speed of an engine, measured by the time until its first events. The slowness that an engine
 * reports for the moment is kept apart from its usual speed.
 */
package org.sapphirelever.decisions.forwarding

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/**
 * One measured first token.
 *
 * @property ratio time until the first event, relative to the time that an engine of standard speed
 *   needs, divided by [slowness]
 * @property slowness slowness that the engine reported at that moment, where 1 is normal
 */
public data class SpeedSample(public val ratio: Double, public val slowness: Double)

/**
 * The newest [samples] of one engine, and what follows from them: its usual time per unit of work
 * and its usual slowness, both relative to an engine of standard speed.
 */
public data class EngineSpeed(
    public val samples: PersistentList<SpeedSample> = persistentListOf(),
    public val ratio: Double = 1.0,
    public val slowness: Double = 1.0
) {
    public fun with(sample: SpeedSample): EngineSpeed {
        val newest = (samples + sample).takeLast(MAXIMUM_SAMPLES).toPersistentList()
        return EngineSpeed(
            samples = newest,
            ratio = newest.map { it.ratio }.median(),
            slowness = newest.map { it.slowness }.median()
        )
    }

    /** This speed, drawn towards that of its [peers] as long as it has few samples. */
    internal fun shrunkTo(peers: EngineSpeed): EngineSpeed {
        val weight = samples.size / (samples.size + PEER_SAMPLES)
        return EngineSpeed(
            ratio = peers.ratio + (ratio - peers.ratio) * weight,
            slowness = peers.slowness + (slowness - peers.slowness) * weight
        )
    }

    private companion object {
        const val MAXIMUM_SAMPLES = 8

        /** Weight of the peers of an engine, in samples. */
        const val PEER_SAMPLES = 2.0
    }
}

/** The median speed of engines that have been measured; standard speed if none has. */
internal fun medianSpeed(views: Collection<TargetView>): EngineSpeed {
    val measured = views.map { it.speed }.filter { it.samples.isNotEmpty() }
    if (measured.isEmpty()) return EngineSpeed()
    return EngineSpeed(
        ratio = measured.map { it.ratio }.median(),
        slowness = measured.map { it.slowness }.median()
    )
}

/**
 * The sample of a first event after [elapsedMillis], where an engine of standard speed needs
 * [standardMillis]; null if it measures a queue or nothing.
 */
public fun speedSample(
    elapsedMillis: Double,
    standardMillis: Double,
    report: LoadReport?
): SpeedSample? {
    if (standardMillis <= 0 || (report != null && report.waiting > 0)) return null
    val slowness = report?.slowness ?: 1.0
    val ratio = elapsedMillis / (standardMillis * slowness)
    return SpeedSample(ratio.coerceIn(RATIOS), slowness)
}

private fun List<Double>.median(): Double {
    val ordered = sorted()
    val middle = size / 2
    return if (size % 2 == 1) ordered[middle] else (ordered[middle - 1] + ordered[middle]) / 2
}

/** A single ratio beyond these bounds measures a fault and not a speed. */
private val RATIOS = 0.1..10.0
