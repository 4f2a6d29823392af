/*
 * Prediction of the size of a stage call before it runs, from the declared tokens and the input.
 */
package org.sapphirelever.decisions.prediction

/** Size class of a call; long calls may occupy only a share of the slots of a service. */
public enum class SizeClass { SHORT, LONG }

/**
 * Parameters of the prediction.
 *
 * @property longTokens number of predicted tokens from which a call is long
 * @property charactersPerToken input characters that cost as much as one generated token
 */
public data class SizePrediction(
    public val longTokens: Int = 256,
    public val charactersPerToken: Int = 40
) {
    /** Size class of a call; [declaredTokens] is limited by [maximumTokens] if that is positive. */
    public fun classify(declaredTokens: Int?, maximumTokens: Int, inputLength: Int): SizeClass {
        val bound = if (maximumTokens > 0) maximumTokens else Int.MAX_VALUE
        val generated = (declaredTokens ?: maximumTokens).coerceIn(0, bound)
        val total = generated.toLong() + inputLength / charactersPerToken
        return if (total >= longTokens) SizeClass.LONG else SizeClass.SHORT
    }
}
