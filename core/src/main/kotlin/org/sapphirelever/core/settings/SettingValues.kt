/*
 * Reading of settings from flags and environment variables. All findings are reported together,
 * each with its flag or variable, before the command starts.
 */
package org.sapphirelever.core.settings

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.Finding
import org.sapphirelever.core.FindingCollector
import org.sapphirelever.core.Place
import org.sapphirelever.core.SapphireleverException
import org.sapphirelever.core.collectFindings

/** Unparsed values of settings, by flag (with the leading hyphens) and by environment variable. */
public data class SettingSources(
    public val flags: PersistentMap<String, String> = persistentMapOf(),
    public val environment: PersistentMap<String, String> = persistentMapOf()
)

/** Parsed values of a [SettingGroup]. */
public class SettingValues internal constructor(private val values: PersistentMap<String, Any>) {
    /** Value of [setting], which is required or has a default. */
    public operator fun <T : Any> get(setting: Setting<T>): T = checkNotNull(find(setting)) {
        "setting ${setting.name} has no value"
    }

    /** Value of [setting], or null if it was not given and has no default. */
    @Suppress("UNCHECKED_CAST")
    public fun <T : Any> find(setting: Setting<T>): T? =
        (values[setting.name] ?: setting.default) as T?
}

/** Result of [readSettings]; [values] may be incomplete if there are [findings]. */
public data class SettingsResult(
    public val values: SettingValues,
    public val findings: PersistentList<Finding>
) {
    /**
     * Returns the values if there are no findings. [crossChecks] validate combinations of settings
     * and run only if every setting is valid by itself.
     *
     * @throws SapphireleverException with [ErrorCode.INVALID_SETTING] and all findings
     */
    public fun validOrThrow(
        crossChecks: FindingCollector.(SettingValues) -> Unit = {}
    ): SettingValues {
        val all = if (findings.isEmpty()) collectFindings { crossChecks(values) } else findings
        if (all.isEmpty()) return values
        throw SapphireleverException(ErrorCode.INVALID_SETTING, findings = all)
    }
}

/**
 * Reads [group] from [sources]. [knownVariables] are the environment variables of all commands;
 * any other variable with [ENVIRONMENT_PREFIX] is a finding, since it is probably misspelt.
 */
public fun readSettings(
    group: SettingGroup,
    sources: SettingSources,
    knownVariables: Set<String> = emptySet()
): SettingsResult {
    val values = mutableMapOf<String, Any>()
    val findings =
        collectFindings {
            group.settings.forEach { setting ->
                read(setting, sources)?.let { values[setting.name] = it }
            }
            reportUnknown(sources, knownVariables + group.settings.map { it.environment })
        }
    return SettingsResult(SettingValues(values.toPersistentMap()), findings)
}

/** Location of the value of [setting] in these sources, or its flag if it is not given. */
public fun SettingSources.placeOf(setting: Setting<*>): Place =
    if (setting.flag !in flags && setting.environment in environment) {
        Place("environment", field = setting.environment)
    } else {
        Place("flag", field = setting.flag)
    }

private fun FindingCollector.read(setting: Setting<*>, sources: SettingSources): Any? {
    val place = sources.placeOf(setting)
    val text = sources.flags[setting.flag] ?: sources.environment[setting.environment]
    if (text == null) {
        require(!setting.required, place) { "missing; expected ${setting.type.expected}" }
        return null
    }
    val value = setting.type.parse(text)
    require(value != null, place) { "'$text' is not valid; expected ${setting.type.expected}" }
    return value
}

private fun FindingCollector.reportUnknown(sources: SettingSources, known: Set<String>) {
    sources.environment.keys
        .filter { it.startsWith(ENVIRONMENT_PREFIX) && it !in known }
        .sorted()
        .forEach { report(Place("environment", field = it), "no setting has this variable") }
}
