/*
 * Settings that change while a host runs, with or without a signal.
 */
package org.sapphirelever.runtime.forward

import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import org.sapphirelever.core.SapphireleverException
import org.sapphirelever.core.forwarding.HostProfile
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.runtime.log.logWarning

/** Where the settings of a host come from. */
public fun interface ProfileSource {
    /** The settings now; throws [SapphireleverException] if they are not valid. */
    public fun read(): HostProfile
}

/** Keeps the bounds in [state] as [source] has them. */
public class SettingsWatch(private val source: ProfileSource, private val state: ForwardingState) {
    private val signals = Channel<Unit>(Channel.CONFLATED)
    private var last = state.profile

    /** Reads the settings now. Called on SIGHUP, from any thread. */
    public fun reload() {
        signals.trySend(Unit)
    }

    /** Reads the settings on each signal and from time to time, until cancelled. */
    public suspend fun follow() {
        while (true) {
            val signalled = withTimeoutOrNull(PERIOD) { signals.receive() } != null
            try {
                adopt(source.read(), signalled)
            } catch (invalid: SapphireleverException) {
                logWarning("settings-not-reloaded") {
                    "findings" to invalid.findings.joinToString()
                }
            }
        }
    }

    private fun adopt(read: HostProfile, signalled: Boolean) {
        val changed = read != last
        last = read
        if (changed) state.reload(read)
        if (!changed && !signalled) return
        logEvent("settings-reloaded") {
            "changed" to changed
            "restart-needed" to (state.profile != read)
        }
    }

    private companion object {
        /** Settings change seldom; a file without a signal takes effect within this time. */
        val PERIOD = 5.seconds
    }
}
