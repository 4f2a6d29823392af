/*
 * Cells of the fault matrix: a fault or a pair of faults, a step of a request and a pipeline.
 */
package org.sapphirelever.faults

/**
 * Faults of the fault model, in its order.
 *
 * @property check what a cell of this fault checks besides the invariants of every run
 */
public enum class Fault(public val title: String, public val check: String) {
    F1("entry host killed", "the caller sends again through another host; a key runs once"),
    F2("entry host paused past its lease", "a host that continues late starts no second run"),
    F3("target killed during a request", "an idempotent stage is repeated, any other is not"),
    F4("target slow", "a slow answer reaches its own request or none"),
    F5("target load report late or false", "a false report changes no outcome"),
    F6("connection silent", "the wait is bounded and a call with effects is not repeated"),
    F7("data centres partitioned", "a key is not run on the other side of the partition"),
    F8("data centre cut off from the platform", "requests go on; orders stop before the lease end"),
    F9("platform down", "requests go on; orders stop before the lease end"),
    F10("platform reply lost", "the writer finds its change by reading back, and it counts once"),
    F11("lease lapses while its holder is paused", "a late order is corrected by the new holder"),
    F12("operators race", "one wins, the other learns the winning revision"),
    F13("request crashes its targets", "at most two targets die; other organisations are served"),
    F14("burst", "each request of the burst has its own answer or an accurate refusal"),
    F15("cache events late, with gaps", "cache news changes no outcome"),
    F16("answers crossed, late or duplicated", "an answer with another identity is dropped"),
    F17("host list lags", "dead targets are skipped; a leaving one gets no work after 3 s"),
    F18("old fencing number", "an engine that honours it refuses; others are corrected"),
    F19("weight store throttles", "orders that wait for a load leave requests alone"),
    F20("every host replaced", "planned stops cut nothing off; new hosts learn the revision")
}

/** Steps of a request, in their order. */
public enum class Step(public val title: String) {
    ADMISSION("admission"),
    CHOICE("choice of target"),
    CONNECT("connect"),
    SEND("send"),
    FIRST_BYTE("first byte"),
    MID_STREAM("mid-stream"),
    LAST_BYTE("last byte"),
    HAND_OVER("hand to next stage"),
    REPLY("reply to caller")
}

/** Pipelines of the matrix; the steps from choice to last byte are those of a call of [stage]. */
public enum class PipelineKind(public val title: String, public val stage: String) {
    STREAMING("idempotent streaming", "draft"),
    KEYED("non-idempotent with key", "book")
}

/** One cell; the [faults] occur together, the first time that the request reaches [step]. */
public data class Cell(val faults: List<Fault>, val step: Step, val pipeline: PipelineKind) {
    override fun toString(): String =
        "${faults.joinToString("+")} at ${step.title}, ${pipeline.title}"
}

/** Pairs of faults that the system must survive together. */
public val PAIRS: List<List<Fault>> = listOf(
    listOf(Fault.F1, Fault.F9),
    listOf(Fault.F3, Fault.F6),
    listOf(Fault.F7, Fault.F10),
    listOf(Fault.F2, Fault.F11),
    listOf(Fault.F13, Fault.F1),
    listOf(Fault.F16, Fault.F3),
    listOf(Fault.F12, Fault.F10),
    listOf(Fault.F20, Fault.F17)
)

public val CELLS: List<Cell> = (Fault.entries.map { listOf(it) } + PAIRS).flatMap { faults ->
    Step.entries.flatMap { step -> PipelineKind.entries.map { Cell(faults, step, it) } }
}
