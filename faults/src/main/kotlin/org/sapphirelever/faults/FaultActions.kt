/*
 * Actions of the faults on the simulation. They start when the request reaches the step of the
 * cell.
 */
package org.sapphirelever.faults

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.sapphirelever.core.OrganisationName
import org.sapphirelever.core.Revision
import org.sapphirelever.core.SapphireleverException
import org.sapphirelever.core.resource.Organisation
import org.sapphirelever.decisions.routing.onCacheEvent
import org.sapphirelever.decisions.routing.onCacheGap
import org.sapphirelever.runtime.feed.Change
import org.sapphirelever.standins.PlatformFaults

internal class FaultActions(private val simulation: Simulation) {
    private val actions: Map<Fault, (SimulatedHost, SimulatedTarget) -> Unit> = mapOf(
        Fault.F1 to { host, _ -> killAndReplace(host) },
        Fault.F2 to { host, _ -> host.pause(LEASE_PAUSE) },
        Fault.F3 to { _, target -> kill(target) },
        Fault.F4 to { _, target -> slowDown(target) },
        Fault.F5 to { _, _ -> stageTargets().forEach { it.reportsFalseLoad = true } },
        Fault.F6 to { _, target -> target.silencesConnection = true },
        Fault.F7 to { _, _ -> partition() },
        Fault.F8 to { host, _ -> cutFromPlatform(host) },
        Fault.F9 to { _, _ -> platformDown() },
        Fault.F10 to { host, _ -> loseReply(host) },
        Fault.F11 to { host, _ -> pauseLeaseHolder(host) },
        Fault.F12 to { _, _ -> writeFromAllHosts() },
        Fault.F13 to { _, _ -> poisonInput() },
        Fault.F14 to { host, _ -> repeat(BURST_SIZE) { Callers(simulation).sendAsync(host, it) } },
        Fault.F15 to { host, _ -> applyCacheEvents(host) },
        Fault.F16 to { _, target -> target.crossesAnswers = true },
        Fault.F17 to { _, target -> delayHostList(target) },
        Fault.F18 to { _, _ -> simulation.engines.orderWithOldFencing() },
        Fault.F19 to { _, _ -> slowModelLoads() },
        Fault.F20 to { _, _ -> replaceAllHosts() }
    )

    fun apply(fault: Fault, host: SimulatedHost, target: SimulatedTarget) {
        if (fault in IMMEDIATE_FAULTS) simulation.effectiveFaults.add(fault)
        actions.getValue(fault)(host, target)
    }

    private fun stageTargets(): List<SimulatedTarget> =
        simulation.targetsOf(simulation.cell.pipeline.stage)

    private fun partition() {
        applyFor(PARTITION_DURATION, { simulation.isPartitioned = true }) {
            simulation.isPartitioned = false
        }
    }

    private fun applyFor(duration: Duration, begin: () -> Unit, end: () -> Unit) {
        begin()
        simulation.scope.launch {
            delay(duration)
            end()
        }
    }

    private fun killAndReplace(host: SimulatedHost) {
        applyFor(RESTART_DELAY, { host.kill() }) {
            simulation.startHost(host.name, host.dataCentre)
        }
    }

    private fun kill(target: SimulatedTarget) {
        applyFor(TARGET_DOWNTIME, { target.kill() }) { target.alive = true }
    }

    private fun slowDown(target: SimulatedTarget) {
        applyFor(SLOW_DURATION, { target.slowFactor = SLOW_FACTOR }) { target.slowFactor = 1 }
    }

    private fun cutFromPlatform(host: SimulatedHost) {
        val affected = simulation.hosts.filter { it.dataCentre == host.dataCentre }
        applyFor(OUTAGE_DURATION, { affected.forEach { it.cutFromPlatform = true } }) {
            affected.forEach { it.cutFromPlatform = false }
        }
        forgetRolesFor(OUTAGE_DURATION)
    }

    private fun platformDown() {
        applyFor(OUTAGE_DURATION, { simulation.platform.faults = PlatformFaults(outage = true) }) {
            simulation.platform.faults = PlatformFaults()
        }
        forgetRolesFor(OUTAGE_DURATION)
    }

    /** Clears the engine roles every second, so that the lease holder keeps giving orders. */
    private fun forgetRolesFor(duration: Duration) {
        simulation.scope.launch {
            repeat(duration.inWholeSeconds.toInt()) {
                simulation.engines.forgetRoles()
                delay(1.seconds)
            }
        }
    }

    private fun loseReply(host: SimulatedHost) {
        simulation.platform.loseReplies(1)
        write(host, "lost-reply", null)
    }

    private fun pauseLeaseHolder(host: SimulatedHost) {
        // F2 already pauses this host; F11 then pauses a host of the other data centre.
        val hostPaused = Fault.F2 in simulation.cell.faults
        val holder = simulation.hosts.first { (it.dataCentre == host.dataCentre) != hostPaused }
        simulation.engines.forgetRoles()
        applyFor(LEASE_PAUSE, { simulation.engines.delayedHolder = holder }) {
            simulation.engines.delayedHolder = null
        }
        simulation.scope.launch {
            delay(2.seconds)
            holder.pause(LEASE_PAUSE)
        }
    }

    private fun writeFromAllHosts() {
        val revision = simulation.hosts.last().configuration.value.inForce.revision
        simulation.hosts.filter { it.alive }.forEach { write(it, "race-${it.name}", revision) }
    }

    private fun write(host: SimulatedHost, change: String, expected: Revision?) {
        simulation.scope.launch {
            val edit = Change(change, expected) {
                it.with(Organisation(OrganisationName(change)))
            }
            val record = try {
                WriteRecord(change, host.writer.write(edit).value, null)
            } catch (failed: SapphireleverException) {
                WriteRecord(change, null, failed.code.text, failed.message.orEmpty())
            }
            simulation.recorder.writes.add(record)
        }
    }

    private fun poisonInput() {
        simulation.poisonedInput = Callers.poisonedInput(simulation.cell.pipeline)
    }

    private fun applyCacheEvents(host: SimulatedHost) {
        val now = simulation.clock.now() - CACHE_EVENT_AGE
        val ids = stageTargets().map { it.target.id }
        host.routing.update { state ->
            ids.fold(state) { all, id -> all.onCacheEvent(id, "prefix", cached = true, now) }
                .onCacheGap(ids.first())
        }
    }

    /** Kills some targets and lets others leave; all stay on the host list for [HOST_LIST_LAG]. */
    private fun delayHostList(target: SimulatedTarget) {
        val others = stageTargets().filter { it !== target }
        val gone = others.take(DEAD_TARGET_COUNT) + others.takeLast(LEAVING_TARGET_COUNT)
        others.take(DEAD_TARGET_COUNT).forEach { it.kill() }
        others.takeLast(LEAVING_TARGET_COUNT).forEach {
            it.leavingSince = simulation.clock.now()
            simulation.reportLeaving(it)
        }
        applyFor(HOST_LIST_LAG, {}) { simulation.delist(gone) }
        simulation.scope.launch {
            repeat(2) { round ->
                delay(LATE_REQUEST_INTERVAL)
                val host = simulation.hosts.firstOrNull { it.isReady } ?: return@launch
                repeat(LATE_REQUESTS) {
                    Callers(simulation).sendAsync(host, round * LATE_REQUESTS + it)
                }
            }
        }
    }

    private fun slowModelLoads() {
        simulation.modelLoadTime = OUTAGE_DURATION
        simulation.engines.unloadModels()
    }

    /** Stops the hosts one after the other; each is replaced before the next one stops. */
    private fun replaceAllHosts() {
        val old = simulation.hosts
        simulation.scope.launch {
            for (host in old) {
                host.signal()
                delay(REPLACEMENT_DELAY)
                simulation.startHost(host.name, host.dataCentre)
                delay(Simulation.HEARTBEAT * 2)
            }
        }
    }

    private companion object {
        /** Faults that always have an effect: the hosts use the changed state in each run. */
        val IMMEDIATE_FAULTS = setOf(
            Fault.F1,
            Fault.F7,
            Fault.F8,
            Fault.F9,
            Fault.F10,
            Fault.F12,
            Fault.F14,
            Fault.F15,
            Fault.F18,
            Fault.F20
        )
        val RESTART_DELAY = 1.seconds
        val TARGET_DOWNTIME = 3.seconds
        val SLOW_DURATION = 2.seconds
        val PARTITION_DURATION = 5.seconds
        val OUTAGE_DURATION = 60.seconds
        val REPLACEMENT_DELAY = 10.seconds
        val CACHE_EVENT_AGE = 500.milliseconds
        val HOST_LIST_LAG = 30.seconds

        /**
         * A little more than half of the 3 s after which a leaving target gets no calls (R5), so
         * that the second round of requests is sent just after these 3 s.
         */
        val LATE_REQUEST_INTERVAL = 1600.milliseconds
        const val LATE_REQUESTS = 12
        const val DEAD_TARGET_COUNT = 2
        const val LEAVING_TARGET_COUNT = 2
        const val SLOW_FACTOR = 10
        const val BURST_SIZE = 60
    }
}
