/*
 * Values that several tables of cases use.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.OrganisationName
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.BatchLimits
import org.sapphirelever.core.forwarding.CallerLimits
import org.sapphirelever.core.forwarding.ForwardingConfiguration
import org.sapphirelever.core.forwarding.KeyedOrganisation
import org.sapphirelever.core.forwarding.Repetition
import org.sapphirelever.core.forwarding.Route
import org.sapphirelever.core.forwarding.RouteName
import org.sapphirelever.core.forwarding.TargetRecord
import org.sapphirelever.core.forwarding.WeightedService

internal val SERVICE = ServiceName("koder")
internal val KRAKOW = DataCentre("krakow-a")
internal val TARNOW = DataCentre("tarnow")

internal fun at(millis: Long): MonotonicTime = MonotonicTime.ZERO + millis.milliseconds

internal fun clockReading(monotonic: Long, wall: Long = monotonic): ClockReading =
    ClockReading(at(monotonic), wall)

/** Position of a store without eras, unless [era] is given. */
internal fun position(revision: Long, era: Long = 0): StorePosition = StorePosition(era, revision)

internal fun target(
    id: String,
    dataCentre: DataCentre = KRAKOW,
    leaving: Boolean = false,
    startedAt: Long? = null
): TargetRecord = TargetRecord(
    TargetId(id),
    SERVICE,
    Endpoint("127.0.0.1", 1),
    dataCentre,
    1,
    leaving,
    startedAt
)

internal fun route(
    name: String,
    host: String = "a.example",
    prefix: String = "/",
    anonymous: Boolean = false
): Route = Route(
    name = RouteName(name),
    host = host,
    prefix = prefix,
    repetition = Repetition.IDEMPOTENT,
    timeout = 2.seconds,
    objective = 300.milliseconds,
    rank = 2,
    services = persistentListOf(WeightedService(SERVICE, 1)),
    maximumAttempts = 2,
    anonymous = anonymous
)

internal fun configuration(version: Long, vararg routes: Route): ForwardingConfiguration =
    ForwardingConfiguration(
        version = version,
        routes = persistentListOf(*routes),
        services = persistentListOf(),
        limits = CallerLimits(1_000, 1_000, 1.seconds, 1.seconds),
        organisations =
            persistentListOf(
                KeyedOrganisation(OrganisationName("krakow"), persistentListOf("key"), rank = 1)
            )
    )

internal val LIMITS =
    BatchLimits(
        slots = 1,
        queue = 2,
        batch = 3,
        baseCallTime = 200.milliseconds,
        pieceTime = 20.milliseconds,
        resultCapacityBytes = 1_000,
        resultLifetime = 4.seconds
    )
