/*
 * Types of settings. A type parses the text of a flag or variable and defines the permitted values.
 */
package org.sapphirelever.core.settings

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.resource.ResourceLimits

/** Parser and formatter of the values of a setting. */
public interface SettingType<T : Any> {
    /** Description of the permitted values, with unit and range, for help texts and findings. */
    public val expected: String

    /** Whether the flag takes no value and its presence means `true`. */
    public val isSwitch: Boolean get() = false

    /** Parses [text]; returns null if it is not a permitted value. */
    public fun parse(text: String): T?

    public fun format(value: T): String = value.toString()
}

/** Any text that is not blank. */
public object TextType : SettingType<String> {
    override val expected: String get() = "text"

    override fun parse(text: String): String? = text.ifBlank { null }
}

/** Name of a resource, host or data centre. */
public object NameType : SettingType<String> {
    override val expected: String get() = "lower-case letters, digits and hyphens, at most 63"

    override fun parse(text: String): String? = text.takeIf { ResourceLimits.NAME.matches(it) }
}

/** An integer in [range]; [unit] is only shown to users. */
public data class NumberType(public val range: LongRange, public val unit: String) :
    SettingType<Long> {
    override val expected: String get() = "$unit, ${range.first} to ${range.last}"

    override fun parse(text: String): Long? = text.toLongOrNull()?.takeIf { it in range }
}

/** A duration as a number of milliseconds in [range]. */
public data class MillisecondsType(public val range: LongRange) : SettingType<Duration> {
    override val expected: String get() = "milliseconds, ${range.first} to ${range.last}"

    override fun parse(text: String): Duration? =
        text.toLongOrNull()?.takeIf { it in range }?.milliseconds

    override fun format(value: Duration): String = value.inWholeMilliseconds.toString()
}

/** A decimal number in [range]; [unit] is only shown to users. */
public data class DecimalType(
    public val range: ClosedFloatingPointRange<Double>,
    public val unit: String
) : SettingType<Double> {
    override val expected: String get() = "$unit, ${range.start} to ${range.endInclusive}"

    override fun parse(text: String): Double? = text.toDoubleOrNull()?.takeIf { it in range }
}

/** One of [choices]. */
public data class ChoiceType(public val choices: List<String>) : SettingType<String> {
    override val expected: String get() = "one of ${choices.joinToString()}"

    override fun parse(text: String): String? = text.takeIf { it in choices }
}

/** A flag without a value. Its environment variable takes `true` or `false`. */
public object SwitchType : SettingType<Boolean> {
    override val expected: String get() = "true or false"
    override val isSwitch: Boolean get() = true

    override fun parse(text: String): Boolean? = text.toBooleanStrictOrNull()
}

/** An IPv4 address and a port, such as `127.0.0.1:8080`. Host names are not resolved. */
public object EndpointType : SettingType<Endpoint> {
    private const val OCTET = "(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])"
    private val ADDRESS = Regex("$OCTET\\.$OCTET\\.$OCTET\\.$OCTET")

    override val expected: String get() = "IPv4 address and port, for example 127.0.0.1:8080"

    override fun parse(text: String): Endpoint? {
        val address = text.substringBeforeLast(':', "")
        val port = text.substringAfterLast(':').toIntOrNull() ?: return null
        if (!ADDRESS.matches(address) || port !in PORT_RANGE) return null
        return Endpoint(address, port)
    }
}

/** An IPv4 address of this machine to listen on. */
public object AddressType : SettingType<String> {
    override val expected: String get() = "IPv4 address"

    override fun parse(text: String): String? = text.takeIf { EndpointType.parse("$it:1") != null }
}

/** A comma-separated list of values of type [element]. */
public data class ListType<T : Any>(public val element: SettingType<T>) : SettingType<List<T>> {
    override val expected: String get() = "comma-separated list: ${element.expected}"

    override fun parse(text: String): List<T>? {
        val parsed = text.split(',').filter { it.isNotBlank() }.map { element.parse(it.trim()) }
        return parsed.filterNotNull().takeIf { it.size == parsed.size }
    }

    override fun format(value: List<T>): String =
        if (value.isEmpty()) "none" else value.joinToString(",") { element.format(it) }
}

/** Port numbers that a process can be configured to use; 0 is not among them. */
public val PORT_RANGE: IntRange = 1..65_535

public val PortType: NumberType =
    NumberType(PORT_RANGE.first.toLong()..PORT_RANGE.last.toLong(), "port")
