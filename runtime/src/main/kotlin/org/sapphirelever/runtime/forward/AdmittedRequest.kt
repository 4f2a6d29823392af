/*
 * A request of a caller that was granted a route.
 */
package org.sapphirelever.runtime.forward

import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.forwarding.Route
import org.sapphirelever.decisions.forwarding.Admission
import org.sapphirelever.decisions.suspicion.RequestTrait

/** A [request] with its [body] that arrived at [arrivedAt], and the [response] to write. */
internal class AdmittedRequest(
    val request: CallerRequest,
    val body: ByteArray,
    val arrivedAt: MonotonicTime,
    val response: CallerResponse,
    val granted: Admission.Granted,
    val traits: List<RequestTrait>
) {
    val route: Route get() = granted.route

    /** The earlier of the deadline of the caller and the timeout of the route. */
    val deadline: MonotonicTime =
        arrivedAt + minOf(request.timeout ?: route.timeout, route.timeout)
}
