/*
 * Checks of the invariants R1 to R8. They read only the records of one run, not the state of the
 * system.
 */
package org.sapphirelever.faults

import kotlin.time.Duration.Companion.seconds

/** Stages of each pipeline of the matrix, in order. */
internal val STAGES: Map<PipelineKind, List<String>> = mapOf(
    PipelineKind.STREAMING to listOf("encode", "rank", "draft"),
    PipelineKind.KEYED to listOf("encode", "book", "notify")
)

/** Answer that the stages of [kind] compute for [input]. */
internal fun expectedAnswer(kind: PipelineKind, input: String): String =
    STAGES.getValue(kind).fold(input) { text, stage -> "$stage($text)" }

/** Violations of the invariants in this run; empty if there are none. */
public fun RunRecord.violations(): List<String> = listOf(
    ownResults(),
    completeAnswers(),
    accurateNotRun(),
    atMostOnce(),
    leavingTargets(),
    plannedStops(),
    configuration(),
    orders()
).flatten()

private fun rule(name: String, violations: Iterable<Any?>): List<String> =
    violations.map { "$name: $it" }

/** R1: each attempt runs at most once, and no reply has the answer to another request. */
private fun RunRecord.ownResults(): List<String> {
    val repeated = runs.filter { it.ran }
        .groupBy { Triple(it.request, it.stage, it.attempt) }
        .filterValues { it.size > 1 }
    val foreign = replies.mapNotNull { reply ->
        reply.outcome?.answer?.takeIf { reply.input !in it }
    }
    return rule("R1", repeated.keys) + rule("R1", foreign)
}

/**
 * R2: a complete reply has the expected answer and its tokens add up to it, another organisation
 * is served, and the victim's input crashes at most two targets.
 */
private fun RunRecord.completeAnswers(): List<String> {
    val complete = replies.filter { it.outcome?.outcome == COMPLETE }
    val wrong = complete.filter { it.outcome?.answer != expectedAnswer(cell.pipeline, it.input) }
    val mismatchedStreams = complete.filter {
        it.streamed && it.tokens.joinToString("") != it.outcome?.answer
    }
    val unserved = listOfNotNull(finalState.bystander).filter { it.outcome != COMPLETE }
    val crashes = listOf(finalState.crashedTargets).filter { it > MAXIMUM_CRASHES }
    return rule("R2", wrong) + rule("R2", mismatchedStreams) +
        rule("R2 other organisation", unserved) +
        rule("R2 targets crashed", crashes)
}

/** R3: a request reported as not run was not run, and neither was its key before that reply. */
private fun RunRecord.accurateNotRun(): List<String> {
    val refused = replies.filter { it.outcome?.outcome == "not-run" }
    return rule(
        "R3",
        refused.filter { reply ->
            runs.any { it.ran && it.request == reply.outcome?.request } ||
                runs.any { it.ran && it.key != null && it.key == reply.key && it.at <= reply.at }
        }
    )
}

/** R4: each key runs at most once at the service with side effects, and no call lacks its key. */
private fun RunRecord.atMostOnce(): List<String> {
    val effectRuns = runs.filter { it.ran && it.stage == PipelineKind.KEYED.stage }
    return rule("R4", effectRuns.groupBy { it.key }.filterValues { it.size > 1 }.values) +
        rule("R4 without key", effectRuns.filter { it.key == null })
}

/** R5: no call reaches a leaving target later than 3 s after it began to leave. */
private fun RunRecord.leavingTargets(): List<String> = rule(
    "R5",
    runs.filter { run -> run.leavingSince?.let { run.at - it > LEAVING_CALL_LIMIT } ?: false }
)

/** R6: a planned stop breaks no connection to a caller, and the process exits with code 0. */
private fun RunRecord.plannedStops(): List<String> =
    rule("R6", replies.filter { it.stoppedGracefully && it.outcome == null }) +
        rule("R6 exit code", finalState.exitCodes.filter { it != 0 })

/**
 * R7: the revision of a host never decreases and all hosts reach the last one. Each accepted change
 * is in the document once, a refused one is not, and a conflict names the winning revision.
 */
private fun RunRecord.configuration(): List<String> {
    val reverted = adoptedRevisions.groupBy { it.host }.values.flatMap { log ->
        log.zipWithNext().filter { (before, after) -> after.revision <= before.revision }
    }
    val behind = finalState.revisions.filterValues { it != finalState.documentRevision }
    val accepted = writes.filter { it.revision != null }.map { it.change }
    val miscounted = accepted.filter { change -> finalState.changes.count { it == change } != 1 }
    val withoutRevision =
        writes.filter { it.code == "revision-conflict" && "revision" !in it.message }
    val refused = writes.filter { it.code == "revision-conflict" }
        .filter { it.change in finalState.changes }
    return rule("R7 reverted", reverted) + rule("R7 behind", behind.entries) +
        rule("R7 change", miscounted) + rule("R7 conflict", withoutRevision + refused)
}

/**
 * R8: no order is sent without a lease or less than 5 s before the lease ends. No engine that
 * honours fencing takes an order with a lower number, and all engines end in the serving role.
 */
private fun RunRecord.orders(): List<String> {
    val lateOrders =
        sentOrders.filter { it.leaseEnd == null || it.at > it.leaseEnd - LEASE_END_MARGIN }
    val lowered = takenOrders.filter { it.honoursFencing && it.after < it.before }
    return rule("R8 late order", lateOrders) + rule("R8 fencing", lowered) +
        rule("R8 role", finalState.roles.filter { it != "serving" })
}

private const val COMPLETE = "complete"
private const val MAXIMUM_CRASHES = 2
private val LEAVING_CALL_LIMIT = 3.seconds
private val LEASE_END_MARGIN = 5.seconds
