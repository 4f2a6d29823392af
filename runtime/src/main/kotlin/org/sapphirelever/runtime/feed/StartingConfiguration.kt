/*
 * Retrieval of the first configuration of a starting host from its peers and the platform.
 */
package org.sapphirelever.runtime.feed

import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import org.sapphirelever.decisions.configuration.ConfigurationEvent
import org.sapphirelever.decisions.configuration.on
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.runtime.log.logWarning
import org.sapphirelever.runtime.peer.PeerProtocol
import org.sapphirelever.runtime.store.Platform

/** Reads the platform, and waits for a peer with [awaitPeer], until this host is ready. */
public class StartingConfiguration(
    private val platform: Platform,
    private val protocol: PeerProtocol,
    private val awaitPeer: suspend () -> Unit
) {
    private val state = protocol.state.configuration

    public suspend fun run() {
        coroutineScope {
            launch { withTimeoutOrNull(PEER_TIMEOUT) { awaitPeer() } }
            launch { readPlatform() }
        }
        state.decide { it.on(ConfigurationEvent.SourcesAsked) }
        var reason = ""
        while (!state.value.ready) {
            if (state.value.notReadyReason != reason) {
                reason = state.value.notReadyReason
                logWarning("not-ready") { "reason" to reason }
            }
            delay(READ_INTERVAL)
            readPlatform()
        }
        logEvent("ready") { "revision" to state.value.inForce.revision }
    }

    private suspend fun readPlatform() {
        val stored = platform.read(CONFIGURATION_KEY) ?: return
        try {
            protocol.adopt(stored.toConfiguration())
        } catch (failure: SerializationException) {
            logWarning("configuration-unreadable") { "failure" to failure }
        }
    }

    private companion object {
        /** Seeds that do not answer within three heartbeat intervals are considered absent. */
        val PEER_TIMEOUT = 6.seconds
        val READ_INTERVAL = 1.seconds
    }
}
