/*
 * Suspicion that a request crashes the targets that run it. Marks are kept by fingerprint, which
 * includes the organisation, so that no organisation can block the requests of another.
 */
package org.sapphirelever.decisions.suspicion

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.OrganisationName
import org.sapphirelever.core.PipelineName
import org.sapphirelever.core.StageName
import org.sapphirelever.core.TargetId
import org.sapphirelever.decisions.keys.Fingerprint

/** The crash of [target] while it ran a request, as peers exchange it. */
public data class CrashMark(
    public val fingerprint: Fingerprint,
    public val target: TargetId,
    public val validFor: Duration
)

/** Marks with the time at which each expires; the eldest fingerprint is dropped for room. */
public data class SuspicionState(
    public val marks: PersistentMap<Fingerprint, PersistentMap<TargetId, MonotonicTime>> =
        persistentMapOf(),
    public val maximumFingerprints: Int = MAXIMUM_FINGERPRINTS
) {
    public companion object {
        public val VALIDITY: Duration = 10.minutes

        /** Different targets whose crash makes a request suspected. */
        public const val TARGETS_FOR_SUSPICION: Int = 2
        public const val MAXIMUM_FINGERPRINTS: Int = 10_000

        /** More targets than suspicion needs, so that marks that expire leave others. */
        internal const val MAXIMUM_TARGETS = 4
    }
}

/** Fingerprint of the work that a target is given. */
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
        state.with(mark, now)
    }

private fun SuspicionState.with(mark: CrashMark, now: MonotonicTime): SuspicionState {
    val known = (marks[mark.fingerprint] ?: persistentMapOf()).live(now)
    val expiresAt = now + minOf(mark.validFor, SuspicionState.VALIDITY)
    val later = known[mark.target]?.takeIf { it > expiresAt } ?: expiresAt
    if (mark.target !in known && known.size >= SuspicionState.MAXIMUM_TARGETS) return this
    val full = mark.fingerprint !in marks && marks.size >= maximumFingerprints
    val room = if (full) marks.remove(marks.keys.first()) else marks
    return copy(marks = room.put(mark.fingerprint, known.put(mark.target, later)))
}

/** Whether crashes of enough different targets followed requests with [fingerprint]. */
public fun SuspicionState.suspects(fingerprint: Fingerprint, now: MonotonicTime): Boolean =
    (marks[fingerprint] ?: persistentMapOf()).live(now).size >=
        SuspicionState.TARGETS_FOR_SUSPICION

/** Marks that have not expired, for peers. */
public fun SuspicionState.liveMarks(now: MonotonicTime): List<CrashMark> =
    marks.flatMap { (fingerprint, targets) ->
        targets.live(now).map { (target, expiresAt) ->
            CrashMark(fingerprint, target, expiresAt - now)
        }
    }

private fun PersistentMap<TargetId, MonotonicTime>.live(
    now: MonotonicTime
): PersistentMap<TargetId, MonotonicTime> = entries
    .filter { it.value <= now }
    .fold(this) { kept, expired -> kept.remove(expired.key) }
