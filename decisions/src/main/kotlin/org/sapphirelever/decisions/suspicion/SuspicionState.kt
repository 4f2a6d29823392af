/*
 * Suspicion that a request crashes the targets that run it. Marks are kept by fingerprint, which
 * includes the organisation, so that no organisation can block the requests of another.
 */
package org.sapphirelever.decisions.suspicion

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.OrganisationName
import org.sapphirelever.core.PipelineName
import org.sapphirelever.core.StageName
import org.sapphirelever.core.TargetId
import org.sapphirelever.decisions.Decision
import org.sapphirelever.decisions.keys.Fingerprint

/** Crash of [target] while it ran the request with [fingerprint], as sent to peers. */
public data class CrashMark(
    public val fingerprint: Fingerprint,
    public val target: TargetId,
    public val validFor: Duration
)

/** A stored mark; [transmissionsLeft] heartbeats still carry it to peers. */
public data class MarkEntry(public val expiresAt: MonotonicTime, public val transmissionsLeft: Int)

/** Marks by fingerprint and target; if it is full, the oldest fingerprint is evicted. */
public data class SuspicionState(
    public val marks: PersistentMap<Fingerprint, PersistentMap<TargetId, MarkEntry>> =
        persistentMapOf(),
    public val maximumFingerprints: Int = MAXIMUM_FINGERPRINTS
) {
    public companion object {
        public val VALIDITY: Duration = 10.minutes

        /** Number of different targets whose crashes make a request suspected. */
        public const val TARGETS_FOR_SUSPICION: Int = 2
        public const val MAXIMUM_FINGERPRINTS: Int = 10_000

        /** More targets than suspicion needs, so that enough remain when some marks expire. */
        internal const val MAXIMUM_TARGETS = 4

        /** Twice the 10 links of a host, so that a lost heartbeat does not lose a mark. */
        public const val MARK_TRANSMISSIONS: Int = 20
    }
}

/** Fingerprint of a stage and its input, by which crashes of targets are counted. */
public fun stageFingerprint(
    organisation: OrganisationName,
    pipeline: PipelineName,
    stage: StageName,
    input: String
): Fingerprint = Fingerprint.of(organisation.value, pipeline.value, stage.value, input)

public fun SuspicionState.marked(
    fingerprint: Fingerprint,
    target: TargetId,
    now: MonotonicTime
): SuspicionState = merged(listOf(CrashMark(fingerprint, target, SuspicionState.VALIDITY)), now)

/** Adds the marks of a peer. A mark that is known keeps the later of both expiries. */
public fun SuspicionState.merged(received: List<CrashMark>, now: MonotonicTime): SuspicionState =
    received.filter { it.validFor.isPositive() }.fold(this) { state, mark ->
        state.withMark(mark, now)
    }

private fun SuspicionState.withMark(mark: CrashMark, now: MonotonicTime): SuspicionState {
    val known = (marks[mark.fingerprint] ?: persistentMapOf()).live(now)
    val expiresAt = now + minOf(mark.validFor, SuspicionState.VALIDITY)
    val before = known[mark.target]
    val later = before?.expiresAt?.takeIf { it > expiresAt } ?: expiresAt
    // A known mark gets no new transmissions, or peers would resend it to each other for ever.
    val entry = MarkEntry(later, before?.transmissionsLeft ?: SuspicionState.MARK_TRANSMISSIONS)
    if (mark.target !in known && known.size >= SuspicionState.MAXIMUM_TARGETS) return this
    val full = mark.fingerprint !in marks && marks.size >= maximumFingerprints
    val remaining = if (full) marks.remove(marks.keys.first()) else marks
    return copy(marks = remaining.put(mark.fingerprint, known.put(mark.target, entry)))
}

/** Whether crashes of enough different targets followed requests with [fingerprint]. */
public fun SuspicionState.suspects(fingerprint: Fingerprint, now: MonotonicTime): Boolean =
    (marks[fingerprint] ?: persistentMapOf()).live(now).size >=
        SuspicionState.TARGETS_FOR_SUSPICION

/** Marks that have not expired, with the time for which they are still valid. */
public fun SuspicionState.liveMarks(now: MonotonicTime): List<CrashMark> =
    marks.flatMap { (fingerprint, targets) ->
        targets.live(now).map { (target, entry) ->
            CrashMark(fingerprint, target, entry.expiresAt - now)
        }
    }

/** Marks for one heartbeat: at most [limit], those with the most transmissions left first. */
public fun SuspicionState.composeMarks(
    limit: Int,
    now: MonotonicTime
): Decision<SuspicionState, CrashMark> {
    val open = liveMarks(now).filter { entry(it).transmissionsLeft > 0 }
    val chosen = open.sortedByDescending { entry(it).transmissionsLeft }.take(limit)
    val state =
        chosen.fold(this) { state, mark ->
            val entry = state.entry(mark)
            val targets = state.marks.getValue(mark.fingerprint)
            val counted = targets.put(
                mark.target,
                entry.copy(transmissionsLeft = entry.transmissionsLeft - 1)
            )
            state.copy(marks = state.marks.put(mark.fingerprint, counted))
        }
    return Decision(state, chosen.toPersistentList())
}

private fun SuspicionState.entry(mark: CrashMark): MarkEntry =
    marks.getValue(mark.fingerprint).getValue(mark.target)

private fun PersistentMap<TargetId, MarkEntry>.live(
    now: MonotonicTime
): PersistentMap<TargetId, MarkEntry> = entries
    .filter { it.value.expiresAt <= now }
    .fold(this) { kept, expired -> kept.remove(expired.key) }
