/*
 * Invariants R1 to R8 over the records of one run. They see no state of the system.
 */
package org.sapphirelever.faults

import kotlin.time.Duration.Companion.seconds

/** Stages of the pipelines of the matrix, in order, with whether a caller may repeat them. */
internal val STAGES: Map<PipelineKind, List<String>> = mapOf(
    PipelineKind.STREAMING to listOf("encode", "rank", "draft"),
    PipelineKind.KEYED to listOf("encode", "book", "notify")
)

/** The answer that the targets give to [input]. */
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

private fun rule(name: String, broken: Iterable<Any?>): List<String> = broken.map { "$name: $it" }

/** R1: each attempt reaches one target once, and no answer belongs to another request. */
private fun RunRecord.ownResults(): List<String> {
    val repeated = runs.filter { it.ran }
        .groupBy { Triple(it.request, it.stage, it.attempt) }
        .filterValues { it.size > 1 }
    val foreign = replies.mapNotNull { reply ->
        reply.outcome?.answer?.takeIf { reply.input !in it }
    }
    return rule("R1", repeated.keys) + rule("R1", foreign)
}

/** R2: a complete answer is whole and its stream equals it; the bystander has its answer. */
private fun RunRecord.completeAnswers(): List<String> {
    val complete = replies.filter { it.outcome?.outcome == COMPLETE }
    val wrong = complete.filter { it.outcome?.answer != expectedAnswer(cell.pipeline, it.input) }
    val torn = complete.filter {
        it.streamed && it.tokens.joinToString("") != it.outcome?.answer
    }
    val unserved = listOfNotNull(final.bystander).filter { it.outcome != COMPLETE }
    val crashes = listOf(final.crashedTargets).filter { it > CRASHES_BEFORE_SUSPICION }
    return rule("R2", wrong) + rule("R2", torn) + rule("R2 other organisation", unserved) +
        rule("R2 targets crashed", crashes)
}

/** R3: a request reported as not run had no run, nor had its key before that reply. */
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

/** R4: a key reaches the service with effects at most once, and no call lacks its key. */
private fun RunRecord.atMostOnce(): List<String> {
    val effects = runs.filter { it.ran && it.stage == PipelineKind.KEYED.stage }
    return rule("R4", effects.groupBy { it.key }.filterValues { it.size > 1 }.values) +
        rule("R4 without key", effects.filter { it.key == null })
}

/** R5: no call reaches a leaving target 3 s after it began to leave. */
private fun RunRecord.leavingTargets(): List<String> = rule(
    "R5",
    runs.filter { run -> run.leavingSince?.let { run.at - it > LEAVING_LIMIT } ?: false }
)

/** R6: a planned stop breaks no connection and ends with code 0. */
private fun RunRecord.plannedStops(): List<String> =
    rule("R6", replies.filter { it.stoppedGracefully && it.outcome == null }) +
        rule("R6 exit code", final.exitCodes.filter { it != 0 })

/** R7: revisions never go back, all hosts reach the last one, each accepted change counts once. */
private fun RunRecord.configuration(): List<String> {
    val reverted = adopted.groupBy { it.host }.values.flatMap { log ->
        log.zipWithNext().filter { (before, after) -> after.revision <= before.revision }
    }
    val behind = final.revisions.filterValues { it != final.documentRevision }
    val accepted = writes.filter { it.revision != null }.map { it.change }
    val miscounted = accepted.filter { change -> final.changes.count { it == change } != 1 }
    val unnamed = writes.filter { it.code == "revision-conflict" && "revision" !in it.message }
    val refused = writes.filter { it.code == "revision-conflict" }
        .filter { it.change in final.changes }
    return rule("R7 reverted", reverted) + rule("R7 behind", behind.entries) +
        rule("R7 change", miscounted) + rule("R7 conflict", unnamed + refused)
}

/** R8: no order after the bound of the lease; engines end in the state that the plan wants. */
private fun RunRecord.orders(): List<String> {
    val late = sent.filter { it.leaseEnd == null || it.at > it.leaseEnd - ORDER_MARGIN }
    val lowered = taken.filter { it.honours && it.after < it.before }
    return rule("R8 late order", late) + rule("R8 fencing", lowered) +
        rule("R8 role", final.roles.filter { it != "serving" })
}

private const val COMPLETE = "complete"
private const val CRASHES_BEFORE_SUSPICION = 2
private val LEAVING_LIMIT = 3.seconds
private val ORDER_MARGIN = 5.seconds
