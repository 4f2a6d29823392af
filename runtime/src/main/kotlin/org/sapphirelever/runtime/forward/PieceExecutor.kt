/*
 * Interface to execute pieces of stage work, on this host or on another one.
 */
package org.sapphirelever.runtime.forward

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.HostId
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.forwarding.TargetRecord
import org.sapphirelever.decisions.forwarding.AnnouncedWork
import org.sapphirelever.decisions.forwarding.WaitEstimate

/**
 * A result of a stage and the target that produced and holds it.
 *
 * @property accountingHost host that accounts for the target's result capacity; null for this host
 */
public data class StageResult(
    public val handle: String,
    public val producer: TargetRecord,
    public val bytes: Long,
    public val accountingHost: HostId? = null
)

/** A stage of a request could not be completed, so the request itself is not sent. */
public class StageFailedException(public val reason: String) : java.io.IOException(reason)

/**
 * The pieces of one stage of one request.
 *
 * @property resultBytes approximate size of one result
 * @property deadline time after which the results are of no use
 * @property softDeadline time until which the response to the request meets its objective
 * @property inputs bytes of results that the pieces consume, by data centre
 * @property origin data centre of the host that received the request
 * @property later pieces of the request that follow at other services
 * @property laterWork time that later stages and the target of the request need
 */
public data class StagePieces(
    public val service: ServiceName,
    public val resultBytes: Long,
    public val rank: Int,
    public val deadline: MonotonicTime,
    public val softDeadline: MonotonicTime,
    public val inputs: PersistentMap<DataCentre, Long>,
    public val origin: DataCentre,
    public val orders: List<PieceOrder>,
    public val later: PersistentMap<ServiceName, Int> = persistentMapOf(),
    public val laterWork: Duration = Duration.ZERO
)

/** Executes pieces and accounts for their results. */
public interface PieceExecutor {
    /**
     * Executes [pieces] and returns the results in the order of the pieces. Throws
     * [StageFailedException] if one is missing.
     */
    public suspend fun execute(pieces: StagePieces): List<StageResult>

    /** Releases [results], which occupy result capacity at their producers. */
    public fun release(results: List<StageResult>)

    /** Expected waiting time of new pieces of [service], or null if none are queued. */
    public fun waitEstimate(service: ServiceName): WaitEstimate?

    /** Work on its way to later stages, as each host that executes pieces reported it. */
    public fun announcedWork(): List<AnnouncedWork>
}

/** Bytes of these results by the data centre that holds them. */
internal fun List<StageResult>.bytesByDataCentre(): Map<DataCentre, Long> =
    groupBy { it.producer.dataCentre }.mapValues { (_, results) -> results.sumOf { it.bytes } }
