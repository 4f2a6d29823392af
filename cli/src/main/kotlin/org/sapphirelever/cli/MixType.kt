/*
 * Type of the settings for the mix of pipelines and organisations in a load.
 */
package org.sapphirelever.cli

import org.sapphirelever.core.settings.NameType
import org.sapphirelever.core.settings.SettingType
import org.sapphirelever.load.http.Weighted

/** Names with relative weights, such as `chat=9,booking=1`; a missing weight counts as 1. */
public object MixType : SettingType<List<Weighted>> {
    private const val MAXIMUM_WEIGHT = 1_000_000

    override val expected: String get() = "names with weights, for example chat=9,booking=1"

    override fun parse(text: String): List<Weighted>? {
        val parts = text.split(',')
        val parsed =
            parts.mapNotNull { part ->
                val weight = part.substringAfter('=', "1").toIntOrNull()
                NameType.parse(part.substringBefore('='))?.let { name ->
                    weight?.takeIf { it in 1..MAXIMUM_WEIGHT }?.let { Weighted(name, it) }
                }
            }
        return parsed.takeIf { it.size == parts.size }
    }
}
