/*
 * Messages between entry hosts and targets, as JSON. docs/targets.md describes the protocol.
 */
package org.sapphirelever.wire

import kotlinx.serialization.Serializable

/** Requests that a target runs one attempt at one stage. */
@Serializable
public data class RunMessage(
    public val request: String,
    public val stage: String,
    public val attempt: Int,
    public val deadlineMillis: Long,
    public val priority: String,
    public val input: String,
    public val maximumTokens: Int = 0,
    public val key: String? = null
)

/** Load of a target, measured [ageMillis] before the message was sent. */
@Serializable
public data class LoadMessage(
    public val running: Int,
    public val queued: Int,
    public val slots: Int,
    public val ageMillis: Long
)

/** Answer of a target to a [RunMessage]. */
@Serializable
public data class RunAnswerMessage(
    public val request: String,
    public val stage: String,
    public val attempt: Int,
    public val incarnation: String,
    public val output: String,
    public val tokens: Int = 0,
    public val load: LoadMessage? = null
)

/** Reply with status 503 of a target that did not run the request; [refused] is the reason. */
@Serializable
public data class RefusalMessage(
    public val refused: String,
    public val incarnation: String,
    public val load: LoadMessage? = null
)

/** Last event of a stream. [tokens] counts all tokens of the answer. */
@Serializable
public data class StreamDoneMessage(
    public val tokens: Int,
    public val request: String,
    public val stage: String,
    public val attempt: Int,
    public val incarnation: String,
    public val load: LoadMessage? = null
)

/** State of an engine, either desired or actual. */
@Serializable
public data class EngineState(
    public val model: String,
    public val adapter: String = "",
    public val version: String = "",
    public val role: String = ""
)

/** Order to an engine to take on the [desired] state; [fencing] is the number of the lease. */
@Serializable
public data class OrderMessage(public val fencing: Long, public val desired: EngineState)

/** State of an engine, as it reports it. */
@Serializable
public data class EngineStateMessage(
    public val fencing: Long,
    public val desired: EngineState,
    public val actual: EngineState,
    public val loading: Boolean
)

/** One change of the prefix cache of an engine: an insertion if [cached], or an eviction. */
@Serializable
public data class CacheEventMessage(
    public val sequence: Long,
    public val prefix: String,
    public val cached: Boolean
)
