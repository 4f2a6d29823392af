/*
 * A request of a caller that was granted a route.
 */
package org.sapphirelever.runtime.forward

import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.forwarding.Route
import org.sapphirelever.decisions.forwarding.Admission
import org.sapphirelever.decisions.suspicion.RequestTrait
import org.sapphirelever.runtime.transport.MemoryClaim
import org.sapphirelever.runtime.transport.MessageBody

/**
 * A [request] with its [body] that arrived at [arrivedAt], and the [response] to write.
 *
 * @property memory claim on the memory for the answer of a target
 */
internal class AdmittedRequest(
    val request: CallerRequest,
    val body: MessageBody,
    val arrivedAt: MonotonicTime,
    val response: CallerResponse,
    val granted: Admission.Granted,
    val traits: List<RequestTrait>,
    val memory: MemoryClaim
) {
    val route: Route get() = granted.route

    /** The earlier of the deadline of the caller and the timeout of the route. */
    val deadline: MonotonicTime =
        arrivedAt + minOf(request.timeout ?: route.timeout, route.timeout)
}
