/*
 * Declarations of forwarded requests: which service answers under which host and path, what may be
 * repeated, and how long a caller may be kept waiting.
 */
package org.sapphirelever.core.forwarding

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.Serializable
import org.sapphirelever.core.OrganisationName
import org.sapphirelever.core.ServiceName

/** Name of a route, unique within a configuration. */
@Serializable
@JvmInline
public value class RouteName(public val value: String) {
    override fun toString(): String = value
}

/** What may be repeated of the requests of a route. */
public enum class Repetition {
    /** A request may run any number of times. */
    IDEMPOTENT,

    /** A request runs at most once. */
    AT_MOST_ONCE,

    /** A stream of events that may go on at another target after the last event delivered. */
    RESUMABLE_STREAM,

    /** A stream of events that runs at most once. */
    STREAM_ONCE;

    public val isStream: Boolean get() = this == RESUMABLE_STREAM || this == STREAM_ONCE
    public val mayRepeat: Boolean get() = this == IDEMPOTENT || this == RESUMABLE_STREAM
}

/** A service and its share of the requests of a route. */
public data class WeightedService(public val service: ServiceName, public val weight: Int)

/**
 * Work that is done before a request can run.
 *
 * @property after indices of the stages whose results this one takes
 * @property resultBytes approximate size of one result
 */
public data class RouteStage(
    public val service: ServiceName,
    public val after: PersistentList<Int> = persistentListOf(),
    public val resultBytes: Long = 0
)

/**
 * A route of requests to a service.
 *
 * @property prefix beginning of the path; starts and ends with a slash
 * @property timeLimit longest time that a request is kept waiting
 * @property objective time within which an answer, or the first event of a stream, is on time
 * @property rank urgency, where 0 is the most urgent
 * @property attempts greatest number of targets that one request may run on
 * @property anonymous whether requests carry no key of an organisation
 */
public data class Route(
    public val name: RouteName,
    public val host: String,
    public val prefix: String,
    public val repetition: Repetition,
    public val timeLimit: Duration,
    public val objective: Duration,
    public val rank: Int,
    public val services: PersistentList<WeightedService>,
    public val attempts: Int,
    public val stages: PersistentList<RouteStage> = persistentListOf(),
    public val anonymous: Boolean = false,
    public val sticky: Boolean = false
)

/**
 * Limits of one model engine.
 *
 * @property slots requests that one engine runs at the same time
 * @property cacheTokens tokens that the memory of one engine holds
 */
public data class EngineLimits(public val slots: Int, public val cacheTokens: Long)

/**
 * Limits of one target that runs stage work in batches.
 *
 * @property slots calls that run at the same time
 * @property queue calls that may wait
 * @property batch pieces in one call, at most
 * @property callTime time of a call without its pieces
 * @property pieceTime approximate time of one piece
 * @property roomBytes room for results
 * @property resultLifetime time after which a result is dropped
 */
public data class BatchLimits(
    public val slots: Int,
    public val queue: Int,
    public val batch: Int,
    public val callTime: Duration,
    public val pieceTime: Duration,
    public val roomBytes: Long,
    public val resultLifetime: Duration
)

/** A service whose targets answer the requests of routes or run their stages. */
public data class ForwardedService(
    public val name: ServiceName,
    public val healthPath: String,
    public val connections: Int,
    public val engine: EngineLimits? = null,
    public val batching: BatchLimits? = null
)

/** What a caller may send, and how long it may take or stay idle. */
public data class CallerLimits(
    public val headerBytes: Int,
    public val bodyBytes: Int,
    public val headerTime: Duration,
    public val idleTime: Duration
)

/** An organisation, the keys that its callers present, and its rank if it overrides the route's. */
public data class KeyedOrganisation(
    public val name: OrganisationName,
    public val keys: PersistentList<String>,
    public val rank: Int? = null
)

/** Everything that operators declare about forwarded requests, in one accepted [version]. */
public data class ForwardingConfiguration(
    public val version: Long,
    public val routes: PersistentList<Route>,
    public val services: PersistentList<ForwardedService>,
    public val limits: CallerLimits,
    public val organisations: PersistentList<KeyedOrganisation>
)
