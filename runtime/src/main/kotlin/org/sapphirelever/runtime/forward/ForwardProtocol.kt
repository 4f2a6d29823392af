/*
 * What the forwarding front end needs to know about the messages of callers and targets. The
 * fields and their spelling are an implementation's matter.
 */
package org.sapphirelever.runtime.forward

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.sapphirelever.core.OrganisationName
import org.sapphirelever.core.TargetId
import org.sapphirelever.decisions.forwarding.PromptShape
import org.sapphirelever.decisions.forwarding.RequestIdentity
import org.sapphirelever.runtime.transport.RequestHead
import org.sapphirelever.runtime.transport.ResponseHead

/**
 * The head of a caller's request, decoded.
 *
 * @property patience time that the caller waits, from the arrival of the request
 * @property pieceCounts number of pieces of each stage of the route
 * @property pieceKey input of the stages that follow no other
 * @property lastEvent identity of the last event of a stream that the caller goes on with
 */
public data class CallerRequest(
    public val head: RequestHead,
    public val identity: RequestIdentity,
    public val patience: Duration?,
    public val prompt: PromptShape?,
    public val pieceCounts: PersistentList<Int> = persistentListOf(),
    public val pieceKey: String? = null,
    public val lastEvent: String? = null
) {
    public val id: String get() = identity.request
}

/**
 * Terms of one call to a target.
 *
 * @property remaining time after which the target stops work
 * @property rank urgency at a model engine, where 0 is the most urgent
 * @property inputs handles of the stage results that a model engine reads
 */
public data class ForwardTerms(
    public val target: TargetId,
    public val organisation: OrganisationName?,
    public val remaining: Duration,
    public val rank: Int?,
    public val inputs: PersistentList<String>,
    public val lastEvent: String?
)

/** Load that a target reports with a response. */
public data class ReportedLoad(
    public val running: Int,
    public val waiting: Int,
    public val slots: Int,
    public val slownessPercent: Int
)

/**
 * The head of a target's response, decoded.
 *
 * @property request identity of the request that it answers, if it names one
 * @property notRun whether the target states that it did not run the request
 * @property sealed whether the response carries the target's signature
 * @property idleLimit time for which the target keeps the connection open
 */
public data class TargetReply(
    public val status: Int,
    public val request: String?,
    public val notRun: Boolean,
    public val sealed: Boolean,
    public val encoded: Boolean,
    public val load: ReportedLoad?,
    public val idleLimit: Duration?
) {
    public val isSuccess: Boolean get() = status in SUCCESS

    private companion object {
        val SUCCESS = 200..299
    }
}

/**
 * One piece of stage work for a target. [inputs] are the results that it takes; a piece of a stage
 * that follows no other takes [key] instead.
 */
public data class PieceOrder(
    public val request: String,
    public val stage: Int,
    public val piece: Int,
    public val remaining: Duration,
    public val key: String?,
    public val inputs: PersistentList<String>
)

/** What a target made of a piece. */
public sealed interface PieceResult {
    public data class Made(public val handle: String) : PieceResult

    /** The target did not make the piece in time. */
    public data object Late : PieceResult

    /** An input no longer exists. */
    public data object InputGone : PieceResult

    /** The target had no room for the result; it did no work. */
    public data object NoRoom : PieceResult

    /** The piece may be tried again; [sent] tells whether a call reached the target. */
    public data class Failed(public val reason: String, public val sent: Boolean = true) :
        PieceResult
}

/** A request to a target with its body. */
public class TargetRequest(public val head: RequestHead, public val body: ByteArray)

/** Decodes and encodes the messages of callers and targets. */
public interface ForwardProtocol {
    /** Decodes a caller's request; throws `IllegalArgumentException` if a field is invalid. */
    public fun decode(head: RequestHead): CallerRequest

    /** The head of [request] as a target receives it. */
    public fun forwarded(request: CallerRequest, terms: ForwardTerms): RequestHead

    public fun decode(head: ResponseHead): TargetReply

    /** A target's response as the caller receives it, without fields that frame its body. */
    public fun answered(head: ResponseHead): ResponseHead

    /** A response of this host's own. [retryAfter] tells when to come back. */
    public fun refusal(request: String?, status: Int, retryAfter: Duration?): ResponseHead

    public fun stageCall(target: TargetId, pieces: List<PieceOrder>): TargetRequest

    /** Results in the order of the pieces, or null if the body is not such a list. */
    public fun stageResults(body: ByteArray, count: Int): List<PieceResult>?

    /** Tells a target that these results are no longer needed. */
    public fun release(target: TargetId, handles: List<String>): TargetRequest
}
