/*
 * Steps of a planned stop that follow the last request: hand over keys, release leases, leave the
 * membership. Each part of the host adds its own step; they run one after the other.
 */
package org.sapphirelever.runtime.host

/** One step of a planned stop. */
public interface StopStep {
    /** Name for logs. */
    public val name: String

    /** Carries the step out. A failure is logged and does not keep the later steps from running. */
    public suspend fun run()
}

/** A step that runs [action]. */
public fun stopStep(name: String, action: suspend () -> Unit): StopStep = object : StopStep {
    override val name: String = name

    override suspend fun run() {
        action()
    }
}
