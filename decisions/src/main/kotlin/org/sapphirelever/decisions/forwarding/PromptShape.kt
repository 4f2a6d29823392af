/*
 * Sizes of prompts in tokens, and what a host knows about the prompts of a service.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * One part of a prompt, which several requests may share. An engine reuses a cached part only if it
 * has cached all parts before it.
 */
public data class PromptPart(public val id: String, public val tokens: Int)

/** Sizes of a prompt; [shared] are its leading parts, which other requests have as well. */
public data class PromptShape(
    public val shared: PersistentList<PromptPart> = persistentListOf(),
    public val ownTokens: Int = 0,
    public val outputTokens: Int = 0
) {
    public val tokens: Int get() = ownTokens + shared.sumOf { it.tokens }

    /** Memory, in tokens, that an engine needs until the end of the request. */
    public val heldTokens: Int get() = tokens + outputTokens
}

/**
 * Prompts that engines of one service read for this host since it started.
 *
 * @property requests number of prompts
 * @property readTokens tokens that engines probably read
 * @property keptTokens tokens that engines probably had cached
 * @property heldTokens memory that the requests took
 * @property residence mean time from the first event of a request to its end
 */
public data class PromptTotals(
    public val requests: Long = 0,
    public val readTokens: Long = 0,
    public val keptTokens: Long = 0,
    public val heldTokens: Long = 0,
    public val residence: Duration = ASSUMED_RESIDENCE
) {
    /** Tokens that were added to the memory of engines: what they read and what they generated. */
    public val loadedTokens: Long get() = heldTokens - keptTokens

    internal val meanReadTokens: Double get() = readTokens.toDouble() / requests.coerceAtLeast(1)
    internal val meanHeldTokens: Double get() = heldTokens.toDouble() / requests.coerceAtLeast(1)

    /** Counts a prompt of which an engine probably read [readTokens]. */
    public fun withPrompt(prompt: PromptShape, readTokens: Int): PromptTotals = copy(
        requests = requests + 1,
        readTokens = this.readTokens + readTokens,
        keptTokens = keptTokens + (prompt.tokens - readTokens),
        heldTokens = heldTokens + prompt.heldTokens
    )

    /** Records that a request ended [duration] after its first event. */
    public fun withResidence(duration: Duration): PromptTotals =
        copy(residence = residence + (duration - residence) * RESIDENCE_SMOOTHING)

    private companion object {
        /** Assumed until requests have ended. */
        val ASSUMED_RESIDENCE = 700.milliseconds

        /** Weight of the newest duration in the mean. */
        const val RESIDENCE_SMOOTHING = 0.05
    }
}
