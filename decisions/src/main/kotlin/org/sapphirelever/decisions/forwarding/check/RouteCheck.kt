/*
 * Rules of the check for one route and its stages.
 */
package org.sapphirelever.decisions.forwarding.check

import kotlin.time.Duration
import org.sapphirelever.core.CheckCode
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.forwarding.ForwardedService
import org.sapphirelever.core.forwarding.Route
import org.sapphirelever.core.forwarding.RouteStage
import org.sapphirelever.decisions.forwarding.callDuration
import org.sapphirelever.decisions.forwarding.expectedStageTime

/** Checks [route], which stands at [field], against the declared [services]. */
internal class RouteCheck(
    private val check: CheckScope,
    private val field: String,
    private val route: Route,
    private val services: Map<ServiceName, ForwardedService>,
    private val servedServices: Set<ServiceName>?
) {
    fun run() {
        values()
        splits()
        route.stages.forEachIndexed { index, stage -> stage(index, stage) }
        if (route.stages.isNotEmpty() && areStagesUsable()) stageTimes()
    }

    private fun values() {
        check.requirePositive("$field.timeout", route.timeout)
        check.requirePositive("$field.objective", route.objective)
        check.requirePositive("$field.maximumAttempts", route.maximumAttempts.toLong())
        if (!route.prefix.startsWith('/') || !route.prefix.endsWith('/')) {
            check.report(
                CheckCode.PREFIX_MALFORMED,
                "$field.prefix",
                "'${route.prefix}' does not begin and end with a slash",
                "write it as /path/"
            )
        }
        if (route.timeout < route.objective) {
            check.report(
                CheckCode.TIMEOUT_BELOW_OBJECTIVE,
                "$field.timeout",
                "${route.timeout} ends before the objective of ${route.objective}",
                "raise the timeout, or lower the objective"
            )
        }
    }

    private fun splits() {
        route.services.forEachIndexed { index, weighted ->
            val place = "$field.services[$index]"
            declared("$place.service", weighted.service)
            if (weighted.weight > 0) return@forEachIndexed
            check.report(
                CheckCode.SPLIT_WITHOUT_WEIGHT,
                "$place.weight",
                "'${weighted.service}' has the weight ${weighted.weight} and gets no requests",
                "set a weight above 0, or remove the service from the split"
            )
        }
    }

    private fun stage(index: Int, stage: RouteStage) {
        val place = "$field.stages[$index]"
        val service = declared("$place.service", stage.service)
        val limits = service?.batching
        if (service != null && limits == null) {
            check.report(
                CheckCode.STAGE_NOT_BATCHED,
                "$place.service",
                "'${stage.service}' states no limits for stage work",
                "declare them, or use another service"
            )
        }
        if (limits != null && stage.resultBytes > limits.resultCapacityBytes) {
            check.report(
                CheckCode.RESULT_TOO_LARGE,
                "$place.resultBytes",
                "one result has ${stage.resultBytes} bytes, a target keeps " +
                    "${limits.resultCapacityBytes}",
                "use a service with more capacity for results"
            )
        }
        if (stage.after.all { it in 0 until index }) return
        check.report(
            CheckCode.STAGE_ORDER,
            "$place.after",
            "stage $index waits for ${stage.after.joinToString()}",
            "name only stages that stand before it"
        )
    }

    private fun declared(place: String, name: ServiceName): ForwardedService? {
        val service = services[name]
        if (service == null) {
            check.report(
                CheckCode.SERVICE_UNKNOWN,
                place,
                "the service '$name' is not declared",
                "declare it, or correct its name"
            )
        } else if (servedServices != null && name !in servedServices) {
            check.report(
                CheckCode.TARGETS_MISSING,
                place,
                "the service '$name' has no targets at the moment",
                "start targets before the configuration is sent"
            )
        }
        return service
    }

    private fun areStagesUsable(): Boolean = route.stages.withIndex().all { (index, stage) ->
        services[stage.service]?.batching != null && stage.after.all { it in 0 until index }
    }

    private fun stageTimes() {
        val shortest = shortestTime(route.stages)
        when {
            route.timeout < shortest ->
                times(CheckCode.TIMEOUT_BELOW_STAGES, "timeout", route.timeout, shortest)

            route.objective < shortest ->
                times(CheckCode.OBJECTIVE_BELOW_STAGES, "objective", route.objective, shortest)

            // The stages are run again for an attempt that follows one which used their results.
            route.timeout < shortest * route.maximumAttempts ->
                check.report(
                    CheckCode.ATTEMPTS_BEYOND_TIMEOUT,
                    "$field.maximumAttempts",
                    "${route.maximumAttempts} attempts take ${shortest * route.maximumAttempts} " +
                        "for their stages alone, the timeout is ${route.timeout}",
                    "permit fewer attempts, or raise the timeout"
                )
        }
        route.stages.forEachIndexed { index, stage -> resultLifetime(index, stage) }
    }

    private fun times(code: CheckCode, name: String, stated: Duration, shortest: Duration) {
        check.report(
            code,
            "$field.$name",
            "$stated is shorter than the $shortest that the stages take without waiting",
            "raise it, or use faster stages"
        )
    }

    private fun resultLifetime(index: Int, stage: RouteStage) {
        val lifetime = services[stage.service]?.batching?.resultLifetime ?: return
        val taken = route.stages.filter { index in it.after }.mapNotNull { services[it.service] }
        val longest = taken.mapNotNull { it.batching?.callDuration(1) }.maxOrNull() ?: return
        if (lifetime >= longest) return
        check.report(
            CheckCode.RESULT_EXPIRES,
            "$field.stages[$index].service",
            "'${stage.service}' keeps results for $lifetime, the next stage takes $longest",
            "use a service that keeps results for longer"
        )
    }

    private fun shortestTime(stages: List<RouteStage>): Duration = expectedStageTime(
        stages,
        stages.map { 1 },
        { services[it]?.batching },
        { Duration.ZERO }
    )
}
