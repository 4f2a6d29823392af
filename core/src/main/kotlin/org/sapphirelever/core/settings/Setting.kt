/*
 * Declarations of settings. A setting is given by a flag or an environment variable; the flag
 * takes precedence over the variable, and the variable over the default.
 */
package org.sapphirelever.core.settings

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** Prefix of the environment variables of all settings. */
public const val ENVIRONMENT_PREFIX: String = "SAPPHIRELEVER_"

@DslMarker
public annotation class SettingsDsl

/**
 * Declaration of one setting.
 *
 * @property name lower-case words joined by hyphens; the flag and the variable are derived from it
 * @property description what the setting does, for the help text
 * @property default value if neither flag nor variable is given; null if there is no default
 * @property required whether the flag or the variable must be given
 */
public data class Setting<T : Any>(
    public val name: String,
    public val type: SettingType<T>,
    public val description: String,
    public val default: T? = null,
    public val required: Boolean = default == null
) {
    public val flag: String get() = "--$name"
    public val environment: String
        get() = ENVIRONMENT_PREFIX + name.uppercase().replace('-', '_')

    /** Help text: description, type, unit, range, default and environment variable. */
    public val help: String
        get() = buildString {
            append(description).append("; ").append(type.expected)
            if (default != null) append(", default ").append(type.format(default))
            if (required) append(", required")
            append(" [").append(environment).append("]")
        }
}

/** Settings of one command, in the order of the help text. */
public data class SettingGroup(public val settings: PersistentList<Setting<*>>) {
    public operator fun plus(other: SettingGroup): SettingGroup =
        SettingGroup(settings.addAll(other.settings))
}

/** Declares the settings of one command. */
public fun settings(declare: SettingGroupBuilder.() -> Unit): SettingGroup =
    SettingGroupBuilder().apply(declare).build()

/** Receiver of the lambda of [settings]; unary plus adds a setting. */
@SettingsDsl
public class SettingGroupBuilder internal constructor() {
    private var declared: PersistentList<Setting<*>> = persistentListOf()

    public operator fun Setting<*>.unaryPlus() {
        declared = declared.add(this)
    }

    internal fun build(): SettingGroup = SettingGroup(declared)
}

/** Declares a setting that must be given. */
public fun <T : Any> required(name: String, type: SettingType<T>, description: String): Setting<T> =
    Setting(name, type, description)

/** Declares a setting with a [default]. */
public fun <T : Any> defaulted(
    name: String,
    type: SettingType<T>,
    default: T,
    description: String
): Setting<T> = Setting(name, type, description, default)

/** Declares a setting that may be omitted and has no default. */
public fun <T : Any> optional(name: String, type: SettingType<T>, description: String): Setting<T> =
    Setting(name, type, description, required = false)
