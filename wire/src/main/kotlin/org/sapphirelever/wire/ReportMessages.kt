/*
 * Burn data of one entry host, as JSON. Times are minutes before the reply, so that reports of
 * hosts whose clocks differ can be summed.
 */
package org.sapphirelever.wire

import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.Serializable
import org.sapphirelever.decisions.burn.BurnCause
import org.sapphirelever.decisions.burn.BurnHistory
import org.sapphirelever.decisions.burn.MinuteCounts
import org.sapphirelever.decisions.burn.RecordedDecision

@Serializable
public data class MissedMessage(
    public val stage: String,
    public val code: String,
    public val count: Long
)

@Serializable
public data class MinuteMessage(
    public val minutesAgo: Long,
    public val total: Long,
    public val missed: List<MissedMessage> = emptyList()
)

@Serializable
public data class DecisionMessage(public val minutesAgo: Long, public val what: String)

/** Reply to `GET /v1/report`. [objective] is the share of requests that should complete in time. */
@Serializable
public data class ReportMessage(
    public val host: String,
    public val objective: Double,
    public val minutes: List<MinuteMessage>,
    public val decisions: List<DecisionMessage>
)

/** This history at minute [now] as a message of [host]. */
public fun BurnHistory.toMessage(host: String, objective: Double, now: Long): ReportMessage =
    ReportMessage(
        host = host,
        objective = objective,
        minutes = minutes.map { it.toMessage(now) },
        decisions = decisions.map { DecisionMessage(now - it.minute, it.what) }
    )

private fun MinuteCounts.toMessage(now: Long): MinuteMessage = MinuteMessage(
    now - minute,
    total,
    missed.map { (cause, count) -> MissedMessage(cause.stage, cause.code, count) }
)

/** The history in this message; the minute of the reply is minute 0, earlier ones are negative. */
public fun ReportMessage.toHistory(): BurnHistory = BurnHistory(
    minutes.map { it.toCounts() }.toPersistentList(),
    decisions.map { RecordedDecision(-it.minutesAgo, host, it.what) }.toPersistentList()
)

private fun MinuteMessage.toCounts(): MinuteCounts = MinuteCounts(
    -minutesAgo,
    total,
    missed.associate { BurnCause(it.stage, it.code) to it.count }.toPersistentMap()
)
