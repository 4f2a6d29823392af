/*
 * Order of the tokens of one stream, over all its connections. A resumed stream may repeat tokens
 * or leave a gap; each token is delivered once and in order.
 */
package org.sapphirelever.decisions.attempt

import org.sapphirelever.decisions.Decision
import org.sapphirelever.decisions.decide

/** What to do with a token. */
public enum class TokenAction {
    DELIVER,
    DROP_DUPLICATE,

    /** Tokens before this one were lost; the stream has to be resumed. */
    RESUME
}

/** Whether the count of the last event matches the tokens seen. */
public enum class StreamEnding { WHOLE, TOKENS_MISSING, TOKENS_IN_EXCESS }

/** Tokens delivered so far; the next has the index [next]. */
public data class StreamProgress(public val next: Int = 0) {
    /** Index of the last token seen, as a resume names it; -1 before the first. */
    public val last: Int get() = next - 1
}

public fun StreamProgress.onToken(index: Int): Decision<StreamProgress, TokenAction> = when {
    index == next -> copy(next = next + 1).decide(TokenAction.DELIVER)
    index < next -> decide(TokenAction.DROP_DUPLICATE)
    else -> decide(TokenAction.RESUME)
}

/** Judges the last event, which counts [tokens]. */
public fun StreamProgress.onDone(tokens: Int): StreamEnding = when {
    tokens == next -> StreamEnding.WHOLE
    tokens > next -> StreamEnding.TOKENS_MISSING
    else -> StreamEnding.TOKENS_IN_EXCESS
}
