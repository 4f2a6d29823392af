/*
 * Differences between a configuration and the one in force, in the order in which an operator reads
 * them: what callers lose first, what is added last.
 */
package org.sapphirelever.decisions.forwarding.check

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.sapphirelever.core.CheckCode
import org.sapphirelever.core.Finding
import org.sapphirelever.core.FindingCollector
import org.sapphirelever.core.Place
import org.sapphirelever.core.collectFindings
import org.sapphirelever.core.forwarding.ForwardedService
import org.sapphirelever.core.forwarding.ForwardingConfiguration
import org.sapphirelever.core.forwarding.KeyedOrganisation
import org.sapphirelever.core.forwarding.Route

/**
 * Differences of [after] from [before]. What [after] lacks has the place [removedFrom]; a version
 * that hosts would ignore is a finding of the group of errors.
 */
public fun compareConfigurations(
    before: ForwardingConfiguration,
    after: ForwardingConfiguration,
    places: FieldPlaces,
    removedFrom: Place
): PersistentList<Finding> = collectFindings {
    val comparison = Comparison(this, places, removedFrom)
    comparison.version(before.version, after.version)
    comparison.routes(before.routes, after.routes)
    comparison.organisations(before.organisations, after.organisations)
    comparison.services(before.services, after.services)
    comparison.callerLimits(before, after)
}.sortedBy { it.code }.toPersistentList()

private class Comparison(
    private val collector: FindingCollector,
    private val places: FieldPlaces,
    private val removedFrom: Place
) {
    fun version(before: Long, after: Long) {
        if (after > before) return
        val finding =
            Finding(
                places.of("version"),
                "version $after does not exceed $before, which is in force",
                CheckCode.VERSION_NOT_NEWER,
                "raise the version"
            )
        collector.report(finding)
    }

    fun routes(before: List<Route>, after: List<Route>) {
        val known = before.associateBy { it.name }
        val kept = after.mapTo(mutableSetOf()) { it.name }
        before.filterNot { it.name in kept }.forEach {
            removed(CheckCode.ROUTE_REMOVED, "route '${it.name}' (${it.host}${it.prefix})")
        }
        after.forEachIndexed { index, route ->
            val field = "routes[$index]"
            val earlier = known[route.name]
            if (earlier == null) {
                report(CheckCode.ENTRY_ADDED, field, "route '${route.name}'")
            } else if (earlier != route) {
                route(field, earlier, route)
            }
        }
    }

    private fun route(field: String, before: Route, after: Route) {
        val subject = "route '${after.name}'"
        if (before.host != after.host || before.prefix != after.prefix) {
            val from = "${before.host}${before.prefix}"
            report(CheckCode.ROUTE_REMOVED, "$field.prefix", "$subject leaves $from")
        }
        if (before.anonymous && !after.anonymous) {
            report(CheckCode.KEY_REQUIRED, "$field.anonymous", "$subject now needs a key")
        }
        if (before.services != after.services) {
            val text = "$subject goes to ${after.split()}, before to ${before.split()}"
            report(CheckCode.SERVICES_CHANGED, "$field.services", text)
        }
        changed(
            CheckCode.REPETITION_CHANGED,
            "$field.repetition",
            subject,
            before.repetition,
            after.repetition
        )
        lowered(CheckCode.TIME_SHORTENED, "$field.timeout", subject, before.timeout, after.timeout)
        lowered(
            CheckCode.TIME_SHORTENED,
            "$field.objective",
            subject,
            before.objective,
            after.objective
        )
        lowered(
            CheckCode.LIMIT_LOWERED,
            "$field.maximumAttempts",
            subject,
            before.maximumAttempts,
            after.maximumAttempts
        )
        changed(CheckCode.RANK_CHANGED, "$field.rank", subject, before.rank, after.rank)
        if (before.stages != after.stages) {
            report(CheckCode.STAGES_CHANGED, "$field.stages", "$subject has other stages")
        }
        if (before.sticky != after.sticky || (after.anonymous && !before.anonymous)) {
            report(CheckCode.OTHER_CHANGE, field, "$subject changes in other fields")
        }
    }

    fun organisations(before: List<KeyedOrganisation>, after: List<KeyedOrganisation>) {
        val known = before.associateBy { it.name }
        val kept = after.mapTo(mutableSetOf()) { it.name }
        before.filterNot { it.name in kept }.forEach {
            removed(CheckCode.ORGANISATION_REMOVED, "organisation '${it.name}'")
        }
        after.forEachIndexed { index, organisation ->
            val field = "organisations[$index]"
            val subject = "organisation '${organisation.name}'"
            val earlier = known[organisation.name]
            if (earlier == null) {
                report(CheckCode.ENTRY_ADDED, field, subject)
                return@forEachIndexed
            }
            val lost = (earlier.keys.toSet() - organisation.keys.toSet()).size
            if (lost > 0) report(CheckCode.KEYS_REMOVED, "$field.keys", "$subject loses $lost keys")
            val added = (organisation.keys.toSet() - earlier.keys.toSet()).size
            if (added > 0) report(CheckCode.ENTRY_ADDED, "$field.keys", "$subject gets $added keys")
            changed(CheckCode.RANK_CHANGED, "$field.rank", subject, earlier.rank, organisation.rank)
        }
    }

    fun services(before: List<ForwardedService>, after: List<ForwardedService>) {
        val known = before.associateBy { it.name }
        val kept = after.mapTo(mutableSetOf()) { it.name }
        before.filterNot { it.name in kept }.forEach {
            removed(CheckCode.SERVICE_REMOVED, "service '${it.name}'")
        }
        after.forEachIndexed { index, service ->
            val field = "services[$index]"
            val earlier = known[service.name]
            val subject = "service '${service.name}'"
            when {
                earlier == null -> report(CheckCode.ENTRY_ADDED, field, subject)

                service.maximumConnections < earlier.maximumConnections ->
                    lowered(
                        CheckCode.LIMIT_LOWERED,
                        "$field.maximumConnections",
                        subject,
                        earlier.maximumConnections,
                        service.maximumConnections
                    )

                earlier != service ->
                    report(CheckCode.OTHER_CHANGE, field, "$subject has other limits")
            }
        }
    }

    fun callerLimits(before: ForwardingConfiguration, after: ForwardingConfiguration) {
        val limits = after.limits
        val subject = "callers"
        val code = CheckCode.LIMIT_LOWERED
        lowered(code, "limits.headerBytes", subject, before.limits.headerBytes, limits.headerBytes)
        lowered(code, "limits.bodyBytes", subject, before.limits.bodyBytes, limits.bodyBytes)
        lowered(
            code,
            "limits.headerTimeout",
            subject,
            before.limits.headerTimeout,
            limits.headerTimeout
        )
        lowered(code, "limits.idleTimeout", subject, before.limits.idleTimeout, limits.idleTimeout)
    }

    private fun removed(code: CheckCode, subject: String) {
        collector.report(Finding(removedFrom, "$subject is removed", code))
    }

    private fun report(code: CheckCode, field: String, message: String) {
        val text = if (code == CheckCode.ENTRY_ADDED) "$message is added" else message
        collector.report(Finding(places.of(field), text, code))
    }

    private fun <V> changed(code: CheckCode, field: String, subject: String, before: V, after: V) {
        if (before != after) report(code, field, "$subject: ${before.shown()} to ${after.shown()}")
    }

    /** Reports [code] if the value becomes lower, and another change if it becomes higher. */
    private fun <V : Comparable<V>> lowered(
        code: CheckCode,
        field: String,
        subject: String,
        before: V,
        after: V
    ) {
        changed(if (after < before) code else CheckCode.OTHER_CHANGE, field, subject, before, after)
    }

    private fun Any?.shown(): String = this?.toString() ?: "none"

    private fun Route.split(): String = services.joinToString { "${it.service} (${it.weight})" }
}
