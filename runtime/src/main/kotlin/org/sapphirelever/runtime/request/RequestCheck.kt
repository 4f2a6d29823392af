/*
 * Checks of a request before it is accepted: names, deadline, key and priority.
 */
package org.sapphirelever.runtime.request

import kotlin.time.Duration.Companion.milliseconds
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.OrganisationName
import org.sapphirelever.core.PipelineName
import org.sapphirelever.core.Priority
import org.sapphirelever.core.RequestId
import org.sapphirelever.core.SapphireleverException
import org.sapphirelever.core.resource.Configuration
import org.sapphirelever.core.resource.Pipeline
import org.sapphirelever.wire.RequestMessage

/**
 * Checks [message], received at [now]. The deadline of the request is that of the message or of its
 * pipeline, whichever is earlier.
 *
 * @throws SapphireleverException with the code of the first check that fails
 */
public fun accept(
    message: RequestMessage,
    id: RequestId,
    configuration: Configuration,
    now: MonotonicTime
): AcceptedRequest {
    val pipeline =
        configuration.pipelines[PipelineName(message.pipeline)]
            ?: throw SapphireleverException(ErrorCode.UNKNOWN_PIPELINE)
    val organisation =
        configuration.organisations[OrganisationName(message.organisation)]
            ?: throw SapphireleverException(ErrorCode.UNKNOWN_ORGANISATION)
    if (message.deadlineMillis <= 0) throw SapphireleverException(ErrorCode.DEADLINE_PASSED)
    if (message.key == null && pipeline.needsKey(configuration)) {
        throw SapphireleverException(ErrorCode.KEY_REQUIRED)
    }
    val limit = minOf(message.deadlineMillis.milliseconds, pipeline.deadline)
    return AcceptedRequest(
        id = id,
        pipeline = pipeline,
        organisation = organisation.name,
        priority = priorityOf(message) ?: organisation.priority,
        deadline = now + limit,
        input = message.input,
        key = message.key,
        declaredTokens = message.declaredTokens,
        stream = message.stream
    )
}

/** Whether a stage is not idempotent, so that requests need a key that prevents a second run. */
internal fun Pipeline.needsKey(configuration: Configuration): Boolean =
    stages.any { configuration.services[it.service]?.idempotent == false }

private fun priorityOf(message: RequestMessage): Priority? {
    val text = message.priority ?: return null
    return Priority.fromText(text)
        ?: throw SapphireleverException(ErrorCode.MALFORMED_REQUEST, "unknown priority '$text'")
}
