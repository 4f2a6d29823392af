/*
 * Protocol of a configuration write: compare-and-swap with a change identity. The decision says
 * what to do after each reply of the platform; the runtime only carries it out.
 */
package org.sapphirelever.decisions.configuration

import kotlinx.collections.immutable.toPersistentList
import org.sapphirelever.core.Revision
import org.sapphirelever.core.resource.ChangeRecord
import org.sapphirelever.core.resource.Configuration

/**
 * State of one write.
 *
 * @property change identity of the write, the same across all tries and across retries of the
 *   operator
 * @property expected revision that the operator saw, or null to apply to whatever is in force
 * @property possiblyWritten least revision that a write with an unclear reply may have created
 * @property lastUnclear greatest such revision; that try may still take effect until the stored
 *   revision has reached it
 * @property tries compare-and-swaps sent
 */
public data class WriteState(
    public val change: String,
    public val expected: Revision? = null,
    public val possiblyWritten: Revision? = null,
    public val lastUnclear: Revision? = null,
    public val tries: Int = 0
)

/** Reply of the platform. */
public sealed interface WriteEvent {
    public data class ReadBack(public val stored: Configuration) : WriteEvent

    public data object ReadFailed : WriteEvent

    /** The compare-and-swap of revision [revision] took effect. */
    public data class Written(public val revision: Revision) : WriteEvent

    /** Another revision is stored; nothing was written by this try. */
    public data object Refused : WriteEvent

    /** No reply came to the try that would create [revision]. */
    public data class Unclear(public val revision: Revision) : WriteEvent

    /** The platform refused the call; nothing was written by this try. */
    public data object Unavailable : WriteEvent
}

/** Next step of a write, or its result. */
public sealed interface WriteStep {
    public data object Read : WriteStep

    /** Send a compare-and-swap from [base] to the revision after it. */
    public data class Swap(public val base: Configuration) : WriteStep

    /** The change was accepted as [revision]. */
    public data class Accepted(public val revision: Revision) : WriteStep

    /** The change was not accepted; [winner] is the change that won, if it is still listed. */
    public data class Conflict(public val revision: Revision, public val winner: String?) :
        WriteStep

    /** Nothing was written. */
    public data object PlatformUnavailable : WriteStep

    /** It cannot be determined whether the change was accepted. */
    public data object Unknown : WriteStep
}

public data class WriteDecision(public val state: WriteState, public val step: WriteStep)

public fun WriteState.on(event: WriteEvent): WriteDecision = when (event) {
    is WriteEvent.ReadBack -> onReadBack(event.stored)

    WriteEvent.ReadFailed, WriteEvent.Unavailable -> WriteDecision(this, stepWithoutReadBack())

    is WriteEvent.Written -> WriteDecision(this, WriteStep.Accepted(event.revision))

    WriteEvent.Refused -> WriteDecision(this, WriteStep.Read)

    is WriteEvent.Unclear ->
        WriteDecision(
            copy(
                possiblyWritten = possiblyWritten ?: event.revision,
                lastUnclear = event.revision
            ),
            WriteStep.Read
        )
}

/** Without a read-back, the result of a write with an unclear reply is unknown. */
private fun WriteState.stepWithoutReadBack(): WriteStep =
    if (possiblyWritten == null) WriteStep.PlatformUnavailable else WriteStep.Unknown

private fun WriteState.onReadBack(stored: Configuration): WriteDecision {
    val own = stored.recentChanges.firstOrNull { it.change == change }
    val wanted = expected
    val step = when {
        own != null -> WriteStep.Accepted(own.revision)
        exceedsRecentChanges(stored) -> WriteStep.Unknown
        wanted != null && stored.revision != wanted -> conflict(stored, wanted)
        tries >= MAXIMUM_TRIES -> stepAfterLastTry(stored)
        else -> WriteStep.Swap(stored)
    }
    val sent = if (step is WriteStep.Swap) tries + 1 else tries
    return WriteDecision(copy(tries = sent), step)
}

/** Whether the list of recent changes no longer holds a revision that this write may have made. */
private fun WriteState.exceedsRecentChanges(stored: Configuration): Boolean {
    val least = possiblyWritten ?: expected?.let { Revision(it.value + 1) } ?: return false
    val oldest = stored.recentChanges.firstOrNull()?.revision ?: return false
    return stored.revision >= least && oldest > least
}

/** The change that was accepted next after the expected revision is the winner. */
private fun conflict(stored: Configuration, expected: Revision): WriteStep {
    val winner = stored.recentChanges.firstOrNull { it.revision > expected }
    return WriteStep.Conflict(winner?.revision ?: stored.revision, winner?.change)
}

/** A conflict is certain only once no try can still take effect. */
private fun WriteState.stepAfterLastTry(stored: Configuration): WriteStep {
    val pending = lastUnclear
    if (pending != null && stored.revision < pending) return WriteStep.Unknown
    return WriteStep.Conflict(stored.revision, stored.recentChanges.lastOrNull()?.change)
}

/** [base] after a change of its resources to [changed], under the identity of this write. */
public fun WriteState.next(base: Configuration, changed: Configuration): Configuration {
    val revision = Revision(base.revision.value + 1)
    val remembered = base.recentChanges.add(ChangeRecord(change, revision))
    return changed.copy(
        revision = revision,
        recentChanges = remembered.takeLast(REMEMBERED_CHANGES).toPersistentList()
    )
}

/** Compare-and-swaps of one write; each further one follows a race that another operator won. */
private const val MAXIMUM_TRIES = 5
