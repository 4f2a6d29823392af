/*
 * Signals of the operating system. They are recorded from the start of the process until a command
 * handles them, since the default action of the JVM ends the process.
 */
package org.sapphirelever.runtime.host

import sun.misc.Signal
import sun.misc.SignalHandler

/**
 * Signals that this process receives. Recording them needs classes of the JDK only: reading others
 * from the jar delays it by tens of milliseconds.
 */
public class ProcessSignals : SignalHandler {
    private val lock = Any()

    /** What the process did on each signal before it was recorded, by the name of the signal. */
    private val defaults = HashMap<String, SignalHandler>()
    private val actions = HashMap<String, () -> Unit>()

    /** Signals that arrived without an action, in their order. */
    private val pending = ArrayList<Signal>()

    /** Whether a signal to stop has arrived that no action has followed. */
    public val isStopPending: Boolean
        get() = synchronized(lock) { pending.any { it.name != RELOAD } }

    /** Records each signal from now on, until it has an action. */
    public fun record() {
        record(RELOAD)
        record(TERMINATE)
        record(INTERRUPT)
    }

    private fun record(name: String) {
        if (defaults[name] == null) defaults[name] = Signal.handle(Signal(name), this)
    }

    /**
     * Calls [stop] on each SIGTERM and SIGINT and [reload] on each SIGHUP, those that were recorded
     * included. Without [reload], SIGHUP ends the process.
     */
    public fun handle(stop: () -> Unit, reload: (() -> Unit)? = null) {
        record()
        act(TERMINATE, stop)
        act(INTERRUPT, stop)
        if (reload != null) act(RELOAD, reload) else restoreDefaults()
    }

    /** Restores the default of each signal without an action, which recorded ones take as well. */
    public fun restoreDefaults() {
        defaults.filterKeys { it !in actions }.forEach { (name, default) ->
            Signal.handle(Signal(name), default)
            // The JVM cannot call the handler of a signal that its parent ignores.
            act(name) { if (default != SignalHandler.SIG_IGN) default.handle(Signal(name)) }
        }
    }

    private fun act(name: String, action: () -> Unit) {
        val missed =
            synchronized(lock) {
                actions[name] = action
                val due = pending.filter { it.name == name }
                pending.removeAll(due.toSet())
                due
            }
        missed.forEach { _ -> action() }
    }

    /** Called by the JVM on each signal, on a thread of its own. */
    override fun handle(signal: Signal) {
        val action =
            synchronized(lock) {
                val known = actions[signal.name]
                if (known == null) pending.add(signal)
                known
            }
        action?.invoke()
    }

    private companion object {
        const val TERMINATE = "TERM"
        const val INTERRUPT = "INT"
        const val RELOAD = "HUP"
    }
}
