/*
 * Claims of keys in one process. A request with a key runs only in the incarnation that minted the
 * key, and there at most once.
 */
package org.sapphirelever.decisions.keys

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.Incarnation
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.decisions.Decision
import org.sapphirelever.decisions.decide

/** Status of the request that claimed a key. */
public sealed interface ClaimStatus<out O> {
    public data object Running : ClaimStatus<Nothing>

    public data class Finished<O>(public val outcome: O) : ClaimStatus<O>

    /** The request may have run and its outcome is not known here. */
    public data object Unknown : ClaimStatus<Nothing>
}

/** One use of a key. */
public data class Claim<out O>(
    public val fingerprint: Fingerprint,
    public val expiresAt: MonotonicTime,
    public val status: ClaimStatus<O>
)

/** What to do with a request that carries a key. */
public sealed interface KeyAction<out O> {
    /** The claim is recorded; the request runs now. */
    public data object Run : KeyAction<Nothing>

    /** An earlier use is running; this use gets the same outcome. */
    public data object Attach : KeyAction<Nothing>

    public data class Replay<O>(public val outcome: O) : KeyAction<O>

    /** This use was refused and can never run. */
    public data class RefuseNotRun(public val code: ErrorCode) : KeyAction<Nothing>

    public data class RefuseUnknown(public val code: ErrorCode) : KeyAction<Nothing>

    /** Only the process that minted the key can answer. */
    public data object Forward : KeyAction<Nothing>
}

/** Memory limits of [KeyState]; [maximumRetainedCharacters] bounds the sum of kept outcomes. */
public data class KeyLimits(
    public val maximumClaims: Int = DEFAULT_MAXIMUM_CLAIMS,
    public val maximumRetainedCharacters: Long = DEFAULT_MAXIMUM_RETAINED_CHARACTERS
) {
    private companion object {
        // At 80 keyed requests a second, the ten minutes of validity hold 48,000 claims.
        const val DEFAULT_MAXIMUM_CLAIMS = 50_000

        // 16 Mi characters fit well within the 128 MB of memory of an entry host.
        const val DEFAULT_MAXIMUM_RETAINED_CHARACTERS = 16L * 1024 * 1024
    }
}

/**
 * Claims of the keys that [incarnation] minted or took over.
 *
 * @property handedOver whether the claims were offered to a successor; no further key runs
 * @property retainedCharacters characters of all kept outcomes
 * @property sweptAt time of the last removal of expired claims
 * @property sizeOf number of characters of an outcome
 */
public data class KeyState<O>(
    public val incarnation: Incarnation,
    public val limits: KeyLimits = KeyLimits(),
    public val claims: PersistentMap<RequestKey, Claim<O>> = persistentMapOf(),
    public val handedOver: Boolean = false,
    public val retainedCharacters: Long = 0,
    public val sweptAt: MonotonicTime? = null,
    public val sizeOf: (O) -> Int = { 0 }
)

/** Decides on a use of [key] by a request with [fingerprint]. */
public fun <O> KeyState<O>.use(
    key: RequestKey,
    fingerprint: Fingerprint,
    now: MonotonicTime
): Decision<KeyState<O>, KeyAction<O>> {
    val claim = claims[key]
    return when {
        claim != null && claim.fingerprint != fingerprint ->
            decide(KeyAction.RefuseNotRun(ErrorCode.KEY_MISMATCH))

        claim != null && now < claim.expiresAt -> decide(claim.actionForRepeat())

        claim != null -> decide(KeyAction.RefuseUnknown(ErrorCode.KEY_EXPIRED))

        key.incarnation != incarnation -> decide(KeyAction.Forward)

        // A key that was issued later than now on this clock was not minted here.
        key.issuedAt > now -> decide(KeyAction.RefuseNotRun(ErrorCode.KEY_MALFORMED))

        now >= key.expiresAt -> decide(KeyAction.RefuseUnknown(ErrorCode.KEY_EXPIRED))

        handedOver -> decide(KeyAction.RefuseNotRun(ErrorCode.STOPPING))

        else -> swept(now).claim(key, fingerprint)
    }
}

private fun <O> Claim<O>.actionForRepeat(): KeyAction<O> = when (status) {
    ClaimStatus.Running -> KeyAction.Attach
    is ClaimStatus.Finished -> KeyAction.Replay(status.outcome)
    ClaimStatus.Unknown -> KeyAction.RefuseUnknown(ErrorCode.KEY_OWNER_GONE)
}

/** Claims are never evicted before they expire, since the key could then run again. */
private fun <O> KeyState<O>.claim(
    key: RequestKey,
    fingerprint: Fingerprint
): Decision<KeyState<O>, KeyAction<O>> {
    if (claims.size >= limits.maximumClaims) {
        return decide(KeyAction.RefuseNotRun(ErrorCode.OVERLOADED))
    }
    val claim = Claim<O>(fingerprint, key.expiresAt, ClaimStatus.Running)
    return copy(claims = claims.put(key, claim)).decide(KeyAction.Run)
}

/** Records the [outcome] of the request that claimed [key], or null if it is not known. */
public fun <O> KeyState<O>.finish(key: RequestKey, outcome: O?): KeyState<O> {
    val claim = claims[key]?.takeIf { it.status == ClaimStatus.Running } ?: return this
    val size = outcome?.let(sizeOf) ?: 0
    val fits = outcome != null && retainedCharacters + size <= limits.maximumRetainedCharacters
    if (outcome == null || !fits) {
        return copy(claims = claims.put(key, claim.copy(status = ClaimStatus.Unknown)))
    }
    val finished = claim.copy(status = ClaimStatus.Finished(outcome))
    return copy(claims = claims.put(key, finished), retainedCharacters = retainedCharacters + size)
}

/** Drops the claim of [key], whose request is proven not to have run; the key may be used again. */
public fun <O> KeyState<O>.release(key: RequestKey): KeyState<O> =
    if (claims[key]?.status == ClaimStatus.Running) copy(claims = claims.remove(key)) else this

/** Lets no further key run; the claims of the returned state are sent to a successor. */
public fun <O> KeyState<O>.handOver(): KeyState<O> = copy(handedOver = true)

/**
 * Takes over [offered] claims of another incarnation. A claim without an outcome is answered as
 * outcome unknown. Unclaimed keys of that incarnation do not run here: their age on its clock is
 * not known, so an expired claim could not be told from an unused key.
 */
public fun <O> KeyState<O>.takeOver(offered: Map<RequestKey, Claim<O>>): KeyState<O> {
    val freeClaims = (limits.maximumClaims - claims.size).coerceAtLeast(0)
    return offered.entries
        .filter { it.key.incarnation != incarnation && it.key !in claims }
        .take(freeClaims)
        .fold(this) { state, (key, claim) ->
            val running = claim.copy(status = ClaimStatus.Running)
            val outcome = (claim.status as? ClaimStatus.Finished)?.outcome
            state.copy(claims = state.claims.put(key, running)).finish(key, outcome)
        }
}

/** Drops expired claims, at most once in [SWEEP_INTERVAL] unless the state is full. */
public fun <O> KeyState<O>.swept(now: MonotonicTime): KeyState<O> {
    val last = sweptAt
    val due = last == null || now - last >= SWEEP_INTERVAL || claims.size >= limits.maximumClaims
    if (!due) return this
    val kept = claims.filterValues { now < it.expiresAt || it.status == ClaimStatus.Running }
    val size = kept.values.sumOf { claim ->
        (claim.status as? ClaimStatus.Finished)?.let { sizeOf(it.outcome).toLong() } ?: 0L
    }
    return copy(claims = kept.toPersistentMap(), retainedCharacters = size, sweptAt = now)
}

private val SWEEP_INTERVAL: Duration = 10.seconds
