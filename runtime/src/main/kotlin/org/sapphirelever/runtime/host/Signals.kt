/*
 * Handlers for signals of the operating system.
 */
package org.sapphirelever.runtime.host

import sun.misc.Signal

/** Calls [handle] on each SIGHUP, which would otherwise end the process. */
public fun onReloadSignal(handle: () -> Unit) {
    Signal.handle(Signal("HUP")) { handle() }
}

/** Calls [handle] on each SIGTERM and SIGINT instead of ending the process. */
public fun onStopSignal(handle: () -> Unit) {
    listOf("TERM", "INT").forEach { name -> Signal.handle(Signal(name)) { handle() } }
}
