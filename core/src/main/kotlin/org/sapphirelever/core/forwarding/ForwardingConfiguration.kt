/*
 * Configuration of request forwarding: the routes by host and path, which requests may run more
 * than once, the limits of services and callers, and the keys of organisations.
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

/** Whether the requests of a route may run more than once. */
public enum class Repetition {
    /** A request may run any number of times. */
    IDEMPOTENT,

    /** A request runs at most once. */
    AT_MOST_ONCE,

    /** A stream of events that another target may resume after the last delivered event. */
    RESUMABLE_STREAM,

    /** A stream of events that runs at most once. */
    STREAM_ONCE;

    public val isStream: Boolean get() = this == RESUMABLE_STREAM || this == STREAM_ONCE
    public val mayRepeat: Boolean get() = this == IDEMPOTENT || this == RESUMABLE_STREAM
}

/** A service of a route; it receives a share of the requests in proportion to [weight]. */
public data class WeightedService(public val service: ServiceName, public val weight: Int)

/**
 * A stage: work whose results a request needs before it can run.
 *
 * @property after indices of the stages whose results are the inputs of this one
 * @property resultBytes approximate size of one result
 */
public data class RouteStage(
    public val service: ServiceName,
    public val after: PersistentList<Int> = persistentListOf(),
    public val resultBytes: Long = 0
)

/**
 * A route from a host name and a path prefix to services.
 *
 * @property prefix path prefix; starts and ends with a slash
 * @property timeout longest time that a caller waits for the answer
 * @property objective latency objective of an answer, or of the first event of a stream
 * @property rank scheduling priority, where 0 is the most urgent
 * @property maximumAttempts greatest number of targets on which one request may run
 * @property anonymous whether requests need no key of an organisation
 */
public data class Route(
    public val name: RouteName,
    public val host: String,
    public val prefix: String,
    public val repetition: Repetition,
    public val timeout: Duration,
    public val objective: Duration,
    public val rank: Int,
    public val services: PersistentList<WeightedService>,
    public val maximumAttempts: Int,
    public val stages: PersistentList<RouteStage> = persistentListOf(),
    public val anonymous: Boolean = false,
    public val sticky: Boolean = false
)

/**
 * Limits of one model engine.
 *
 * @property slots requests that one engine runs concurrently
 * @property cacheTokens capacity of the KV cache of one engine, in tokens
 */
public data class EngineLimits(public val slots: Int, public val cacheTokens: Long)

/**
 * Limits of one target that runs stage work in batches.
 *
 * @property slots calls that run concurrently
 * @property queue greatest number of calls that wait for a slot
 * @property batch greatest number of pieces in one call
 * @property baseCallTime fixed part of the duration of a call
 * @property pieceTime approximate time that each piece adds to a call
 * @property resultCapacityBytes memory of the target for results
 * @property resultLifetime time after which the target drops a result
 */
public data class BatchLimits(
    public val slots: Int,
    public val queue: Int,
    public val batch: Int,
    public val baseCallTime: Duration,
    public val pieceTime: Duration,
    public val resultCapacityBytes: Long,
    public val resultLifetime: Duration
)

/**
 * What a cold target takes.
 *
 * @property period time for which a target is cold after its start
 * @property requestsPerSecond requests that it takes from all hosts together while it is cold
 */
public data class WarmUp(public val period: Duration, public val requestsPerSecond: Double)

/**
 * A service whose targets answer the requests of routes or run their stages.
 *
 * @property maximumConnections greatest number of connections of all hosts to one target
 * @property engine limits of its targets if they are model engines
 * @property batching limits of its targets if they run stages
 * @property warmUp limit of its targets while they are cold, if there is one
 */
public data class ForwardedService(
    public val name: ServiceName,
    public val healthPath: String,
    public val maximumConnections: Int,
    public val engine: EngineLimits? = null,
    public val batching: BatchLimits? = null,
    public val warmUp: WarmUp? = null
)

/**
 * Limits of the connections of callers.
 *
 * @property headerTimeout timeout for receiving the header of a request after its first byte
 * @property idleTimeout timeout for the start of the next request and for receiving a whole body
 */
public data class CallerLimits(
    public val headerBytes: Int,
    public val bodyBytes: Int,
    public val headerTimeout: Duration,
    public val idleTimeout: Duration
)

/** An organisation and the API keys of its callers. A [rank] overrides the one of the route. */
public data class KeyedOrganisation(
    public val name: OrganisationName,
    public val keys: PersistentList<String>,
    public val rank: Int? = null
)

/** Configuration of all forwarding hosts, at one accepted [version]. */
public data class ForwardingConfiguration(
    public val version: Long,
    public val routes: PersistentList<Route>,
    public val services: PersistentList<ForwardedService>,
    public val limits: CallerLimits,
    public val organisations: PersistentList<KeyedOrganisation>
)
