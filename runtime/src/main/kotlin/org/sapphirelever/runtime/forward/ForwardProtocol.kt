/*
 * Decoded messages of callers and targets, independent of their encoding. An implementation of
 * [ForwardProtocol] defines the header fields and bodies.
 */
package org.sapphirelever.runtime.forward

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.sapphirelever.core.OrganisationName
import org.sapphirelever.core.TargetId
import org.sapphirelever.decisions.forwarding.PromptShape
import org.sapphirelever.decisions.forwarding.RequestIdentity
import org.sapphirelever.runtime.transport.MessageBody
import org.sapphirelever.runtime.transport.RequestHead
import org.sapphirelever.runtime.transport.ResponseHead

/**
 * The decoded head of a caller's request.
 *
 * @property timeout time that the caller waits for the response, from the arrival of the request
 * @property pieceCounts number of pieces of each stage of the route
 * @property pieceKey input of the stages without predecessors
 * @property lastEventId id of the last event that the caller received of a stream that it resumes
 */
public data class CallerRequest(
    public val head: RequestHead,
    public val identity: RequestIdentity,
    public val timeout: Duration?,
    public val prompt: PromptShape?,
    public val pieceCounts: PersistentList<Int> = persistentListOf(),
    public val pieceKey: String? = null,
    public val lastEventId: String? = null
) {
    public val id: String get() = identity.request
}

/**
 * Options of one call to a target.
 *
 * @property remaining time until the deadline, at which the target stops work
 * @property rank priority at a model engine, where 0 is the most urgent
 * @property inputs handles of the stage results that a model engine reads
 * @property lastEventId id of the last event of a stream that the target resumes
 */
public data class TargetCallOptions(
    public val target: TargetId,
    public val organisation: OrganisationName?,
    public val remaining: Duration,
    public val rank: Int?,
    public val inputs: PersistentList<String>,
    public val lastEventId: String?
)

/**
 * Load that a target reports with a response.
 *
 * @property slownessPercent duration of its work relative to the usual one, which is 100
 */
public data class ReportedLoad(
    public val running: Int,
    public val waiting: Int,
    public val slots: Int,
    public val slownessPercent: Int
)

/** What a target states about the requests that it takes from all hosts together. */
public sealed interface RequestLimit {
    public data object None : RequestLimit

    public data class PerSecond(public val rate: Double) : RequestLimit

    public data class Unreadable(public val text: String) : RequestLimit
}

/** Whether a target that refuses a request wants no others for some time. */
public sealed interface PauseRequest {
    public data object None : PauseRequest

    public data class For(public val duration: Duration) : PauseRequest

    public data class Unreadable(public val text: String) : PauseRequest
}

/**
 * The decoded head of a target's response.
 *
 * @property request id of the request that it answers, if stated
 * @property notRun whether the target states that it did not run the request
 * @property isMisdirected whether another process answered at the address of the target
 * @property sealed whether the response carries the target's signature
 * @property hasContentEncoding whether a content encoding is applied to the body
 * @property idleTimeout time for which the target keeps an idle connection open
 * @property target the target that answers, if stated
 * @property isLeaving whether the target states that it leaves
 * @property coldFor time for which the target states that it stays cold
 */
public data class TargetReply(
    public val status: Int,
    public val request: String?,
    public val notRun: Boolean,
    public val sealed: Boolean,
    public val hasContentEncoding: Boolean,
    public val load: ReportedLoad?,
    public val idleTimeout: Duration?,
    public val isMisdirected: Boolean = false,
    public val requestLimit: RequestLimit = RequestLimit.None,
    public val target: TargetId? = null,
    public val isLeaving: Boolean = false,
    public val pause: PauseRequest = PauseRequest.None,
    public val coldFor: Duration = Duration.ZERO
) {
    public val isSuccess: Boolean get() = status in SUCCESS

    private companion object {
        val SUCCESS = 200..299
    }
}

/**
 * One piece of stage work for a target.
 *
 * @property remaining time until the deadline of the piece
 * @property key input of a piece that consumes no results
 * @property inputs handles of the results that the piece consumes
 */
public data class PieceOrder(
    public val request: String,
    public val stage: Int,
    public val piece: Int,
    public val remaining: Duration,
    public val key: String?,
    public val inputs: PersistentList<String>
)

/** Result of one piece at a target. */
public sealed interface PieceResult {
    public data class Made(public val handle: String) : PieceResult

    /** The target did not finish the piece before its deadline. */
    public data object Late : PieceResult

    /** An input no longer exists. */
    public data object InputGone : PieceResult

    /** The target had no room for the result and did no work. */
    public data object NoRoom : PieceResult

    /** The piece may be retried. [sent] is false if the call was never sent to the target. */
    public data class Failed(public val reason: String, public val sent: Boolean = true) :
        PieceResult
}

/** A request to a target, with its body. */
public class TargetRequest(public val head: RequestHead, public val body: MessageBody)

/** Decodes and encodes the messages of callers and targets. */
public interface ForwardProtocol {
    /** Decodes a caller's request; throws [IllegalArgumentException] if a field is invalid. */
    public fun decode(head: RequestHead): CallerRequest

    /** The request head to send to the target. */
    public fun targetHead(request: CallerRequest, options: TargetCallOptions): RequestHead

    public fun decode(head: ResponseHead): TargetReply

    /** The response head to send to the caller, without the fields that frame the body. */
    public fun callerHead(head: ResponseHead): ResponseHead

    /** A response that this host makes itself; the caller may retry after [retryAfter]. */
    public fun refusal(request: String?, status: Int, retryAfter: Duration?): ResponseHead

    public fun stageCall(target: TargetId, pieces: List<PieceOrder>): TargetRequest

    /** Decodes [count] results in the order of the pieces; null if [body] holds anything else. */
    public fun stageResults(body: ByteArray, count: Int): List<PieceResult>?

    /** The request that releases the results with these [handles] at [target]. */
    public fun release(target: TargetId, handles: List<String>): TargetRequest
}
