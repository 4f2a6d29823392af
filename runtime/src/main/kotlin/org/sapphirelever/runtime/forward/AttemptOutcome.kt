/*
 * Outcomes of single calls to targets.
 */
package org.sapphirelever.runtime.forward

import org.sapphirelever.core.TargetId
import org.sapphirelever.runtime.transport.MessageBody

/** Outcome of one call to a target for a request. */
internal sealed interface AttemptOutcome {
    /** The stream was delivered to the caller. */
    data class Delivered(val outcome: ForwardOutcome) : AttemptOutcome

    /** The target answered; its response is to be forwarded. */
    data class Answered(val response: CompleteResponse) : AttemptOutcome

    /** The target did not run the request. */
    data class NotRun(val cause: String, val sent: Boolean) : AttemptOutcome

    /** The target may have run the request, but no complete valid response arrived. */
    data class MayHaveRun(val cause: String) : AttemptOutcome

    /** The target ran the request and failed; its response may be forwarded. */
    data class Failed(val response: CompleteResponse) : AttemptOutcome
}

/** A response of [target] that was read to its end. */
internal class CompleteResponse(
    val source: OpenResponse,
    val body: MessageBody,
    val target: TargetId
)
