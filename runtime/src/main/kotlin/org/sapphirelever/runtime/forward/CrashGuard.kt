/*
 * Protection of targets from requests that crash them. When a connection to a target breaks, a
 * probe checks whether the target still accepts connections. If it does not, the traits of the
 * request become evidence, which StoreFeed publishes to the other hosts.
 */
package org.sapphirelever.runtime.forward

import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.flow.first
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.forwarding.TargetIncarnation
import org.sapphirelever.core.forwarding.TargetRecord
import org.sapphirelever.decisions.Decision
import org.sapphirelever.decisions.decide
import org.sapphirelever.decisions.keys.Fingerprint
import org.sapphirelever.decisions.suspicion.RequestTrait
import org.sapphirelever.decisions.suspicion.TraitBlock
import org.sapphirelever.runtime.StateCell
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.runtime.log.logWarning
import org.sapphirelever.runtime.transport.Sockets

/** Collects crash evidence and blocks requests; probes run in [scope]. */
public class CrashGuard(
    private val scope: CoroutineScope,
    private val sockets: Sockets,
    private val store: ForwardingStore,
    private val state: ForwardingState
) {
    private val probes = ConcurrentHashMap<TargetIncarnation, Deferred<Boolean>>()
    private val trialChecks =
        StateCell<PersistentMap<Fingerprint, MonotonicTime>>(persistentMapOf())

    /** The block that forbids requests with [traits], or null if they may be sent. */
    public fun blockOf(traits: List<RequestTrait>): TraitBlock? =
        state.crashEvidence.blockOf(traits, state.clock.now())

    /** Time until a request that [block] forbids may be tried again. */
    public fun retryAfter(block: TraitBlock): Duration =
        (block.trialDueAt - state.clock.now()).coerceAtLeast(TRIAL_DURATION)

    /**
     * Whether this host may send one request despite [block], to find out whether it still crashes
     * targets. A claim in the store ensures that a single host does so at a time.
     */
    public suspend fun mayTry(block: TraitBlock): Boolean {
        val now = state.clock.now()
        if (now < block.trialDueAt || state.recovery.value.mayMissClaims(now, TRIAL_DURATION)) {
            return false
        }
        if (!isFirstCheck(block.trait, now)) return false
        return try {
            store.claim("trial-${block.trait.value}", TRIAL_DURATION).also { isClaimed ->
                logEvent("trial-claimed") {
                    "trait" to block.trait.value
                    "claimed" to isClaimed
                    "crashes" to block.crashes
                }
            }
        } catch (failure: IOException) {
            logWarning("trial-unclaimed") { "failure" to failure.message }
            false
        }
    }

    /** Waits until a request with [traits] that a target already has should be cancelled there. */
    public suspend fun awaitCancellingBlock(traits: List<RequestTrait>) {
        state.blocks.first { blocks ->
            // A request whose trait is known to be harmless may still show that it is.
            traits.any { !it.isWholeRequest && blocks[it.fingerprint]?.isProven == false }
        }
    }

    /**
     * Checks whether [target] crashed, after its connection broke while it ran [request], which has
     * [traits]. The check continues if the caller of the request leaves.
     */
    public suspend fun checkForCrash(
        request: String,
        traits: List<RequestTrait>,
        target: TargetRecord
    ) {
        scope.async { check(request, traits, target) }.await()
    }

    private suspend fun check(request: String, traits: List<RequestTrait>, target: TargetRecord) {
        val incarnation = target.incarnation
        val probe = probes.computeIfAbsent(incarnation) { scope.async { isAlive(target) } }
        val isAlive = probe.await()
        probes.remove(incarnation, probe)
        if (isAlive) return
        logEvent("crash-observed") {
            "request" to request
            "target" to target.id
            "traits" to traits.joinToString(",") { it.fingerprint.value }
        }
        state.updateCrashes { it.crashed(incarnation, traits, state.clock.now()) }
        state.crashReportDue.trySend(Unit)
    }

    /** Records that a target answered a request with [traits] and did not crash. */
    public fun survived(traits: List<RequestTrait>) {
        val isDisputed = state.crashEvidence.isSurvivalDisputed(traits)
        state.updateCrashes { it.survived(traits, state.clock.now()) }
        if (isDisputed) state.crashReportDue.trySend(Unit)
    }

    /** Limits the claims of this host for one trait, whether they succeed or not. */
    private fun isFirstCheck(trait: Fingerprint, now: MonotonicTime): Boolean = trialChecks
        .decide { checks ->
            val last = checks[trait]
            if (last != null && now - last < TRIAL_DURATION) return@decide checks.decide()
            val recent = checks.filterValues { now - it < TRIAL_DURATION }
            val kept = persistentMapOf<Fingerprint, MonotonicTime>().putAll(recent)
            Decision(kept.put(trait, now), persistentListOf(Unit))
        }.isNotEmpty()

    private suspend fun isAlive(target: TargetRecord): Boolean = try {
        sockets.connectSocket(target.endpoint, PROBE_TIMEOUT).close()
        true
    } catch (_: IOException) {
        // A failed connection shows that the target is down; the resulting evidence is logged.
        false
    }

    private companion object {
        /** A few times the duration of a handshake between data centres. */
        val PROBE_TIMEOUT = 300.milliseconds

        /** Time in which a trial shows its outcome and all hosts have learnt of it. */
        val TRIAL_DURATION = 8.seconds
    }
}
