/*
 * Conversion of request limits between the times of this host and the ages that hosts exchange.
 */
package org.sapphirelever.runtime.forward

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.toPersistentMap
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.TargetIncarnation
import org.sapphirelever.decisions.forwarding.ClockReading
import org.sapphirelever.decisions.forwarding.LimitStatement
import org.sapphirelever.decisions.forwarding.LimitStatements
import org.sapphirelever.wire.LimitMessage
import org.sapphirelever.wire.LimitReportMessage

/** These statements as published at [now]. */
internal fun LimitStatements.toMessage(now: ClockReading): LimitReportMessage = LimitReportMessage(
    publishedAt = now.wallMillis,
    limits =
        map { (target, statement) ->
            LimitMessage(
                target = target.target.value,
                startedAt = target.startedAt,
                ageMillis = (now.monotonic - statement.heardAt).inWholeMilliseconds,
                rate = statement.rate
            )
        }
)

/** The statements of this report, which was published [elapsed] before [now]. */
internal fun LimitReportMessage.toStatements(
    now: ClockReading,
    elapsed: Duration
): LimitStatements = limits.associate { message ->
    TargetIncarnation(TargetId(message.target), message.startedAt) to
        LimitStatement(message.rate, now.monotonic - elapsed - message.ageMillis.milliseconds)
}.toPersistentMap()
