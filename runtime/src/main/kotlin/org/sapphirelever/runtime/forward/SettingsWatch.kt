/*
 * Reload of settings while a host runs, on a signal and periodically.
 */
package org.sapphirelever.runtime.forward

import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import org.sapphirelever.core.SapphireleverException
import org.sapphirelever.core.forwarding.HostProfile
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.runtime.log.logWarning

/** Source of the settings of a host. */
public fun interface ProfileSource {
    /** Reads the current settings; throws [SapphireleverException] if they are invalid. */
    public fun read(): HostProfile
}

/** Applies changes of the settings in [source] to [state]. */
public class SettingsWatch(private val source: ProfileSource, private val state: ForwardingState) {
    private val signals = Channel<Unit>(Channel.CONFLATED)
    private var lastRead = state.profile

    /** Triggers a reload, on SIGHUP. Thread-safe. */
    public fun reload() {
        signals.trySend(Unit)
    }

    /** Reloads the settings on each signal and once per [PERIOD], until cancelled. */
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

    private fun adopt(profile: HostProfile, signalled: Boolean) {
        val changed = profile != lastRead
        lastRead = profile
        if (changed) state.reload(profile)
        if (!changed && !signalled) return
        logEvent("settings-reloaded") {
            "changed" to changed
            "restart-needed" to (state.profile != profile)
        }
    }

    private companion object {
        /** Settings change rarely; a change without a signal takes effect within this time. */
        val PERIOD = 5.seconds
    }
}
