/*
 * Detection of requests that crash the targets that run them. When a connection to a target breaks,
 * a probe checks whether the target still accepts connections. If it does not, a crash mark for the
 * request is published to all hosts.
 */
package org.sapphirelever.runtime.forward

import java.io.IOException
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.sapphirelever.core.forwarding.TargetRecord
import org.sapphirelever.decisions.keys.Fingerprint
import org.sapphirelever.decisions.suspicion.CrashMark
import org.sapphirelever.decisions.suspicion.SuspicionState
import org.sapphirelever.decisions.suspicion.marked
import org.sapphirelever.decisions.suspicion.suspects
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.runtime.log.logWarning
import org.sapphirelever.runtime.transport.Sockets

/** Records crash marks and publishes them in [store]; probes run in [scope]. */
public class CrashSuspicion(
    private val scope: CoroutineScope,
    private val sockets: Sockets,
    private val store: ForwardingStore,
    private val state: ForwardingState
) {
    /** Whether several targets crashed while they ran requests with [fingerprint]. */
    public fun isSuspected(fingerprint: Fingerprint): Boolean =
        state.suspicion.value.suspects(fingerprint, state.clock.now())

    /** Probes [target] after its connection broke during a request with [fingerprint]. */
    public fun checkForCrash(request: String, fingerprint: Fingerprint, target: TargetRecord) {
        scope.launch {
            if (isAlive(target)) return@launch
            state.suspicion.update { it.marked(fingerprint, target.id, state.clock.now()) }
            logEvent("crash-marked") {
                "request" to request
                "target" to target.id
                "fingerprint" to fingerprint.value
            }
            publish(CrashMark(fingerprint, target.id, SuspicionState.VALIDITY))
        }
    }

    private suspend fun isAlive(target: TargetRecord): Boolean = try {
        sockets.connectSocket(target.endpoint, PROBE_TIMEOUT).close()
        true
    } catch (_: IOException) {
        // A failed connection shows that the target is down; the resulting mark is logged.
        false
    }

    private suspend fun publish(mark: CrashMark) {
        try {
            store.publish(mark)
        } catch (failure: IOException) {
            logWarning("crash-mark-unpublished") {
                "target" to mark.target
                "failure" to failure.message
            }
        }
    }

    private companion object {
        /** A few times the duration of a handshake between data centres. */
        val PROBE_TIMEOUT = 300.milliseconds
    }
}
