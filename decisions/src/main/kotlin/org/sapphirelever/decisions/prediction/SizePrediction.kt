/*
 * Prediction of the size of a stage call before it runs, from what the caller declared.
 */
package org.sapphirelever.decisions.prediction

/** Size class of a call; long calls may occupy only a share of the slots of a service. */
public enum class SizeClass { SHORT, LONG }

/**
 * Weights of the prediction.
 *
 * @property longTokens predicted tokens from which a call is long
 * @property charactersForToken input characters that cost as much as one generated token
 */
public data class SizePrediction(
    public val longTokens: Int = 256,
    public val charactersForToken: Int = 40
) {
    /** Size class of a call; [declaredTokens] is bounded by [maximumTokens] where that is set. */
    public fun classify(declaredTokens: Int?, maximumTokens: Int, inputLength: Int): SizeClass {
        val bound = if (maximumTokens > 0) maximumTokens else Int.MAX_VALUE
        val generated = (declaredTokens ?: maximumTokens).coerceIn(0, bound)
        val total = generated.toLong() + inputLength / charactersForToken
        return if (total >= longTokens) SizeClass.LONG else SizeClass.SHORT
    }
}
