/*
 * Check of a forwarding configuration before it is sent: errors, entries that can never match, and
 * limits that contradict each other. Each rule is linear in the number of entries, since a
 * configuration may have tens of thousands of routes.
 */
package org.sapphirelever.decisions.forwarding.check

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.sapphirelever.core.CheckCode
import org.sapphirelever.core.Finding
import org.sapphirelever.core.FindingCollector
import org.sapphirelever.core.Place
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.collectFindings
import org.sapphirelever.core.forwarding.ForwardingConfiguration

/**
 * Maps a field of a configuration, such as `routes[2].timeout` in the names of the product, to its
 * location in the source of the configuration.
 */
public fun interface FieldPlaces {
    public fun of(field: String): Place
}

/**
 * What the check knows besides the configuration.
 *
 * @property messageBytes memory of a host for the messages of callers and targets
 * @property servedServices services with targets at the moment, or null if they are not known
 */
public data class CheckSurroundings(
    public val messageBytes: Long,
    public val servedServices: Set<ServiceName>? = null
)

/** All findings of [configuration], grouped by kind and in the order of its entries. */
public fun checkConfiguration(
    configuration: ForwardingConfiguration,
    surroundings: CheckSurroundings,
    places: FieldPlaces
): PersistentList<Finding> = collectFindings {
    val check = CheckScope(this, places)
    val services = configuration.services.associateBy { it.name }
    check.callerLimits(configuration.limits, surroundings.messageBytes)
    check.services(configuration)
    check.organisations(configuration.organisations)
    check.names("routes", configuration.routes.map { it.name.value })
    check.shadowedRoutes(configuration.routes)
    configuration.routes.forEachIndexed { index, route ->
        RouteCheck(check, "routes[$index]", route, services, surroundings.servedServices).run()
    }
}.sortedBy { it.code?.group }.toPersistentList()

/** Records findings at the places of fields. */
internal class CheckScope(
    private val collector: FindingCollector,
    private val places: FieldPlaces
) {
    fun report(code: CheckCode, field: String, message: String, suggestion: String) {
        collector.report(Finding(places.of(field), message, code, suggestion))
    }

    fun requirePositive(field: String, value: Long) {
        if (value > 0) return
        report(
            CheckCode.VALUE_OUT_OF_RANGE,
            field,
            "$value is not above 0",
            "set a value above 0"
        )
    }

    fun requirePositive(field: String, value: Duration) {
        if (value.isPositive() && value.isFinite()) return
        report(
            CheckCode.VALUE_OUT_OF_RANGE,
            field,
            "$value is no positive time",
            "set a time above 0"
        )
    }

    /** Reports the entries of [list] whose name occurred before. */
    fun names(list: String, names: List<String>) {
        val seen = mutableSetOf<String>()
        names.forEachIndexed { index, name ->
            if (seen.add(name)) return@forEachIndexed
            report(
                CheckCode.NAME_REPEATED,
                "$list[$index].name",
                "'$name' is declared before",
                "rename or remove one of them"
            )
        }
    }
}
