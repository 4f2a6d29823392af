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

/** The crash of [target] while it ran a request, as peers exchange it. */
public data class CrashMark(
    public val fingerprint: Fingerprint,
    public val target: TargetId,
    public val validFor: Duration
)

/** A mark as this host holds it. [offers] counts the heartbeats that still carry it to peers. */
public data class HeldMark(public val expiresAt: MonotonicTime, public val offers: Int)

/** Marks by fingerprint and target; the eldest fingerprint is dropped for room. */
public data class SuspicionState(
    public val marks: PersistentMap<Fingerprint, PersistentMap<TargetId, HeldMark>> =
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

        /** Twice the 10 links of a host, so that a lost heartbeat does not lose a mark. */
        public const val OFFERS: Int = 20
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
    val before = known[mark.target]
    val later = before?.expiresAt?.takeIf { it > expiresAt } ?: expiresAt
    // A mark that is already known is not offered again, or peers would pass it on for ever.
    val held = HeldMark(later, before?.offers ?: SuspicionState.OFFERS)
    if (mark.target !in known && known.size >= SuspicionState.MAXIMUM_TARGETS) return this
    val full = mark.fingerprint !in marks && marks.size >= maximumFingerprints
    val room = if (full) marks.remove(marks.keys.first()) else marks
    return copy(marks = room.put(mark.fingerprint, known.put(mark.target, held)))
}

/** Whether crashes of enough different targets followed requests with [fingerprint]. */
public fun SuspicionState.suspects(fingerprint: Fingerprint, now: MonotonicTime): Boolean =
    (marks[fingerprint] ?: persistentMapOf()).live(now).size >=
        SuspicionState.TARGETS_FOR_SUSPICION

/** Marks that have not expired, for peers. */
public fun SuspicionState.liveMarks(now: MonotonicTime): List<CrashMark> =
    marks.flatMap { (fingerprint, targets) ->
        targets.live(now).map { (target, held) ->
            CrashMark(fingerprint, target, held.expiresAt - now)
        }
    }

/** Marks for one heartbeat: at most [limit], those first that were offered least. */
public fun SuspicionState.offer(
    limit: Int,
    now: MonotonicTime
): Decision<SuspicionState, CrashMark> {
    val open = liveMarks(now).filter { held(it).offers > 0 }
    val offered = open.sortedByDescending { held(it).offers }.take(limit)
    val state =
        offered.fold(this) { state, mark ->
            val held = state.held(mark)
            val targets = state.marks.getValue(mark.fingerprint)
            val counted = targets.put(mark.target, held.copy(offers = held.offers - 1))
            state.copy(marks = state.marks.put(mark.fingerprint, counted))
        }
    return Decision(state, offered.toPersistentList())
}

private fun SuspicionState.held(mark: CrashMark): HeldMark =
    marks.getValue(mark.fingerprint).getValue(mark.target)

private fun PersistentMap<TargetId, HeldMark>.live(
    now: MonotonicTime
): PersistentMap<TargetId, HeldMark> = entries
    .filter { it.value.expiresAt <= now }
    .fold(this) { kept, expired -> kept.remove(expired.key) }
