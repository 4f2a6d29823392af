/*
 * Making of pieces of stage work, wherever the calls are made from.
 */
package org.sapphirelever.runtime.forward

import kotlinx.collections.immutable.PersistentMap
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.HostId
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.forwarding.TargetRecord
import org.sapphirelever.decisions.forwarding.ServiceOutlook

/**
 * A result of a stage and the target that keeps it.
 *
 * @property account host that keeps account of the room at the target; null if this host does
 */
public data class StageResult(
    public val handle: String,
    public val maker: TargetRecord,
    public val bytes: Long,
    public val account: HostId? = null
)

/** The stages of a request did not end; the request itself has not run. */
public class StageFailedException(public val reason: String) : java.io.IOException(reason)

/**
 * The pieces of one stage of one request.
 *
 * @property resultBytes approximate size of one result
 * @property due moment after which the results are of no use
 * @property aim moment until which the answer to the request is on time
 * @property inputs size of the results that the pieces take, by data centre
 * @property origin data centre of the host that has the request
 */
public data class PieceBatch(
    public val service: ServiceName,
    public val resultBytes: Long,
    public val rank: Int,
    public val due: MonotonicTime,
    public val aim: MonotonicTime,
    public val inputs: PersistentMap<DataCentre, Long>,
    public val origin: DataCentre,
    public val orders: List<PieceOrder>
)

/** Makes pieces and keeps account of their results. */
public interface PieceMaker {
    /** Results in the order of the pieces; throws [StageFailedException] if one is missing. */
    public suspend fun make(batch: PieceBatch): List<StageResult>

    /** Gives up [results], which take room at their makers. */
    public fun release(results: List<StageResult>)

    /** Expected waiting time of pieces of [service], or null if nothing waits there. */
    public fun outlook(service: ServiceName): ServiceOutlook?
}

/** Size of these results by the data centre that keeps them. */
internal fun List<StageResult>.bytesByDataCentre(): Map<DataCentre, Long> =
    groupBy { it.maker.dataCentre }.mapValues { (_, made) -> made.sumOf { it.bytes } }
