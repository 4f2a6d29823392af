/*
 * Status of a forwarding host as text, which its readiness endpoint returns.
 */
package org.sapphirelever.runtime.forward

import org.sapphirelever.core.forwarding.TargetRecord

/** One line for each belief: the configuration, the store, and targets that get no requests. */
internal fun hostStatus(state: ForwardingState): String = buildString {
    val configuration = state.configuration.value
    val directory = state.directory.value
    val age = configuration.age(state.readClock())?.inWholeMilliseconds
    appendLine("configuration version=${configuration.version} age-ms=$age")
    val era = state.recovery.value.era
    appendLine("store available=${!directory.storeUnavailable} era=$era")
    appendLine("targets known=${directory.targets.size}")
    val now = state.clock.now()
    directory.leaving().forEach { (target, statedAt) ->
        val statementAge = statedAt?.let { (now - it).inWholeMilliseconds }
        appendLine("leaving ${target.text} stated-ms-ago=$statementAge listed=${target.leaving}")
    }
    directory.evacuations.emptied.forEach { (dataCentre, evacuation) ->
        val age = (now - evacuation.since).inWholeMilliseconds
        val targets = state.evacuations.targetsIn(dataCentre).size
        val running = state.evacuations.running(dataCentre)
        appendLine(
            "emptied data-centre=$dataCentre for-ms=$age " +
                "revision=${evacuation.position.revision} targets=$targets running=$running"
        )
    }
    directory.targets.values.map { it.record }.forEach { target ->
        val remaining = state.shares.coldFor(target)
        if (remaining.isPositive()) {
            appendLine("cold ${target.text} remaining-ms=${remaining.inWholeMilliseconds}")
        }
    }
    state.notices.currentPauses.forEach { (target, pause) ->
        val remaining = (pause.end - now).inWholeMilliseconds
        val askedAge = (now - pause.askedAt).inWholeMilliseconds
        appendLine("paused target=${target.target} asked-ms-ago=$askedAge remaining-ms=$remaining")
    }
}

private val TargetRecord.text: String get() = "target=$id service=$service"
