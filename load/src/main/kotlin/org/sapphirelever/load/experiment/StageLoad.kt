/*
 * Load of requests with stages: kinds of requests, the services of their stages, and what the
 * callers got.
 */
package org.sapphirelever.load.experiment

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.forwarding.BatchLimits
import org.sapphirelever.core.forwarding.RouteStage

/**
 * A kind of request.
 *
 * @property rate arrivals a second
 * @property pieces mean number of pieces of each stage
 * @property worth worth of an answer within the objective; [lateWorth] of a later one
 */
public data class RequestKind(
    public val name: String,
    public val rank: Int,
    public val rate: Double,
    public val objective: Duration,
    public val deadline: Duration,
    public val stages: PersistentList<RouteStage>,
    public val pieces: PersistentList<Double>,
    public val promptTokens: Int,
    public val worth: Double,
    public val lateWorth: Double
) {
    /** Time that an engine of standard speed takes until its first token. */
    internal val firstTokenTime: Duration
        get() = FIRST_TOKEN_OVERHEAD + (promptTokens / PROMPT_TOKENS_PER_MILLI).milliseconds

    private companion object {
        val FIRST_TOKEN_OVERHEAD = 150.milliseconds
        const val PROMPT_TOKENS_PER_MILLI = 40.0
    }
}

/** A burst: arrivals of [kind] are multiplied by [factor] for [duration] from [from] on. */
public data class Burst(
    public val kind: String,
    public val factor: Double,
    public val from: Duration,
    public val duration: Duration
)

/** A service of stages with this number of [targets]. */
public data class StageService(public val limits: BatchLimits, public val targets: Int)

/**
 * Input of a run.
 *
 * @property hosts hosts that receive requests
 * @property retries times that a refused caller comes back
 */
public data class StageLoad(
    public val kinds: PersistentList<RequestKind>,
    public val services: PersistentMap<ServiceName, StageService>,
    public val bursts: PersistentList<Burst>,
    public val hosts: Int = 20,
    public val retries: Int = 1,
    public val duration: Duration = 20.seconds
)

/**
 * What the callers of one kind of request got.
 *
 * @property refused requests whose last attempt was refused; [refusedAgain] of these came back
 *   before
 * @property failedLate requests that were admitted and then refused at the end of their time
 * @property unusedWork work of targets for requests that were not served
 */
public data class KindFigures(
    public val requests: Int = 0,
    public val inTime: Int = 0,
    public val late: Int = 0,
    public val refused: Int = 0,
    public val refusedAgain: Int = 0,
    public val failedLate: Int = 0,
    public val unusedWork: Duration = Duration.ZERO
) {
    public val inTimeShare: Double get() = inTime.toDouble() / requests.coerceAtLeast(1)

    public val refusedShare: Double get() = refused.toDouble() / requests.coerceAtLeast(1)

    public operator fun plus(other: KindFigures): KindFigures = KindFigures(
        requests + other.requests,
        inTime + other.inTime,
        late + other.late,
        refused + other.refused,
        refusedAgain + other.refusedAgain,
        failedLate + other.failedLate,
        unusedWork + other.unusedWork
    )
}

/** Loads of the deployments that the experiments cover. */
public object StageLoads {
    private val first = ServiceName("first")
    private val second = ServiceName("second")
    private val third = ServiceName("third")

    private fun limits(batch: Int, pieceMillis: Double, megabytes: Double): BatchLimits =
        BatchLimits(
            slots = 1,
            queue = 2,
            batch = batch,
            baseCallTime = 200.milliseconds,
            pieceTime = pieceMillis.milliseconds,
            resultCapacityBytes = (megabytes * BYTES_PER_MEGABYTE).toLong(),
            resultLifetime = 4.seconds
        )

    private fun chain(vararg bytes: Long): PersistentList<RouteStage> = persistentListOf(
        RouteStage(first, persistentListOf(), bytes[0]),
        RouteStage(second, persistentListOf(0), bytes[1]),
        RouteStage(third, persistentListOf(1), bytes[2])
    )

    private val services =
        persistentMapOf(
            first to StageService(limits(10, 17.0, 22.0), 11),
            second to StageService(limits(32, 5.3, 4.3), 11),
            third to StageService(limits(47, 3.7, 0.63), 13)
        )

    private val summary =
        RequestKind(
            "summary",
            rank = 0,
            rate = 29.0,
            objective = 1_000.milliseconds,
            deadline = 6.seconds,
            stages = persistentListOf(RouteStage(first, persistentListOf(), 1_500_000)),
            pieces = persistentListOf(1.8),
            promptTokens = 4_000,
            worth = 6.0,
            lateWorth = 0.36
        )
    private val chat =
        RequestKind(
            "chat",
            rank = 1,
            rate = 29.0,
            objective = 1_500.milliseconds,
            deadline = 20.seconds,
            stages = chain(8_000, 60_000, 6_000),
            pieces = persistentListOf(1.0, 6.0, 10.0),
            promptTokens = 600,
            worth = 0.47,
            lateWorth = 0.07
        )
    private val letter =
        RequestKind(
            "letter",
            rank = 2,
            rate = 59.0,
            objective = 4_000.milliseconds,
            deadline = 6.seconds,
            stages = chain(8_000, 60_000, 6_000),
            pieces = persistentListOf(1.0, 6.0, 10.0),
            promptTokens = 2_000,
            worth = 0.87,
            lateWorth = 0.2
        )
    private val kinds = persistentListOf(summary, chat, letter)

    private fun burst(kind: String, factor: Double): PersistentList<Burst> =
        persistentListOf(Burst(kind, factor, 5.seconds, 6.seconds))

    /** The loads by name: one kind at a time comes two to three times as often as usual. */
    public val all: PersistentMap<String, StageLoad> =
        persistentMapOf(
            "calm" to StageLoad(kinds, services, persistentListOf()),
            "many summaries" to StageLoad(kinds, services, burst("summary", 2.5)),
            "many letters" to StageLoad(kinds, services, burst("letter", 2.5)),
            "many chats" to StageLoad(kinds, services, burst("chat", 3.0)),
            "many of all" to
                StageLoad(
                    kinds,
                    services,
                    kinds.flatMap { burst(it.name, 2.5) }.toPersistentList()
                )
        )

    private const val BYTES_PER_MEGABYTE = 1_000_000
}
