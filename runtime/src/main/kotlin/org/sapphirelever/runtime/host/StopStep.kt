/*
 * Steps of a planned stop that run one after the other once the last request has ended: hand over
 * keys, release leases, leave the membership. Each part of the host adds its own step.
 */
package org.sapphirelever.runtime.host

/** One step of a planned stop. */
public interface StopStep {
    /** Name of the step in logs. */
    public val name: String

    /** Performs the step. A failure is logged, and the later steps still run. */
    public suspend fun run()
}

/** Creates a step that runs [action]. */
public fun stopStep(name: String, action: suspend () -> Unit): StopStep = object : StopStep {
    override val name: String = name

    override suspend fun run() {
        action()
    }
}
