/*
 * Entry point of the sapphirelever program. Its class has nothing to initialise, so that signals
 * are recorded before the commands are loaded.
 */
package org.sapphirelever.cli

import kotlin.system.exitProcess
import org.sapphirelever.runtime.host.ProcessSignals

public fun main(arguments: Array<String>) {
    val signals = ProcessSignals()
    signals.record()
    val program = Program(System.getenv(), System.out, System.err, signals = signals)
    exitProcess(program.run(arguments.toList()).number)
}
