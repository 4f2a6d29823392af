/*
 * Order of the tokens of one stream across all its connections. A resumed stream may repeat tokens
 * or leave a gap; each token is delivered exactly once and in order.
 */
package org.sapphirelever.decisions.attempt

import org.sapphirelever.decisions.Decision
import org.sapphirelever.decisions.decide

/** Handling of a received token. */
public enum class TokenAction {
    DELIVER,
    DROP_DUPLICATE,

    /** Tokens before this one were lost; the stream has to be resumed. */
    RESUME
}

/** Result of comparing the token count of the last event with the tokens received. */
public enum class StreamEnding { WHOLE, TOKENS_MISSING, TOKENS_IN_EXCESS }

/** Position in a stream; [next] is the index of the next token to deliver. */
public data class StreamProgress(public val next: Int = 0) {
    /** Index of the last delivered token, sent when resuming the stream; -1 before the first. */
    public val last: Int get() = next - 1
}

public fun StreamProgress.onToken(index: Int): Decision<StreamProgress, TokenAction> = when {
    index == next -> copy(next = next + 1).decide(TokenAction.DELIVER)
    index < next -> decide(TokenAction.DROP_DUPLICATE)
    else -> decide(TokenAction.RESUME)
}

/** Compares the count [tokens] of the last event with the tokens received. */
public fun StreamProgress.onDone(tokens: Int): StreamEnding = when {
    tokens == next -> StreamEnding.WHOLE
    tokens > next -> StreamEnding.TOKENS_MISSING
    else -> StreamEnding.TOKENS_IN_EXCESS
}
