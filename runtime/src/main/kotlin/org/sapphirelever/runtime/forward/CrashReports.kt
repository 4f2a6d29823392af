/*
 * Conversion of crash evidence between the times of this host and the ages that hosts exchange.
 */
package org.sapphirelever.runtime.forward

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.toPersistentMap
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.TargetIncarnation
import org.sapphirelever.decisions.forwarding.ClockReading
import org.sapphirelever.decisions.keys.Fingerprint
import org.sapphirelever.decisions.suspicion.HostEvidence
import org.sapphirelever.decisions.suspicion.ObservedCrash
import org.sapphirelever.wire.CrashMessage
import org.sapphirelever.wire.CrashReportMessage

/** This evidence as published at [now]. */
internal fun HostEvidence.toMessage(now: ClockReading): CrashReportMessage = CrashReportMessage(
    publishedAt = now.wallMillis,
    crashes =
        crashes.map { (target, crash) ->
            CrashMessage(
                target = target.target.value,
                startedAt = target.startedAt,
                ageMillis = (now.monotonic - crash.at).inWholeMilliseconds,
                traits = crash.traits.mapKeys { it.key.value }
            )
        },
    survivals =
        survivals.entries.associate { (trait, at) ->
            trait.value to (now.monotonic - at).inWholeMilliseconds
        }
)

/** The evidence of this report, which was published [elapsed] before [now]. */
internal fun CrashReportMessage.toEvidence(now: ClockReading, elapsed: Duration): HostEvidence {
    val publishedAt = now.monotonic - elapsed
    return HostEvidence(
        crashes =
            crashes.associate { message ->
                TargetIncarnation(TargetId(message.target), message.startedAt) to
                    ObservedCrash(
                        publishedAt - message.ageMillis.milliseconds,
                        message.traits.mapKeys { Fingerprint(it.key) }.toPersistentMap()
                    )
            }.toPersistentMap(),
        survivals =
            survivals.entries
                .associate { Fingerprint(it.key) to publishedAt - it.value.milliseconds }
                .toPersistentMap()
    )
}
