/*
 * What each fault does to the world, at the moment the planned step is reached.
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

internal class FaultActions(private val world: World) {
    private val actions: Map<Fault, (WorldHost, WorldTarget) -> Unit> = mapOf(
        Fault.F1 to { host, _ -> killAndReplace(host) },
        Fault.F2 to { host, _ -> host.pause(LEASE_PAUSE) },
        Fault.F3 to { _, target -> kill(target) },
        Fault.F4 to { _, target -> slow(target) },
        Fault.F5 to { _, _ -> stageTargets().forEach { it.liesAboutLoad = true } },
        Fault.F6 to { _, target -> target.silent = true },
        Fault.F7 to { _, _ -> partition() },
        Fault.F8 to { host, _ -> cutFromPlatform(host) },
        Fault.F9 to { _, _ -> platformDown() },
        Fault.F10 to { host, _ -> loseReply(host) },
        Fault.F11 to { host, _ -> pauseHolder(host) },
        Fault.F12 to { _, _ -> race() },
        Fault.F13 to { _, _ -> poison() },
        Fault.F14 to { host, _ -> repeat(BURST) { Callers(world).burst(host, it) } },
        Fault.F15 to { host, _ -> cacheNews(host) },
        Fault.F16 to { _, target -> target.crossed = true },
        Fault.F17 to { _, target -> listLags(target) },
        Fault.F18 to { _, _ -> world.engines.orderWithOldFencing() },
        Fault.F19 to { _, _ -> slowLoads() },
        Fault.F20 to { _, _ -> replaceAll() }
    )

    fun apply(fault: Fault, host: WorldHost, target: WorldTarget) {
        if (fault in CERTAIN) world.effects.add(fault)
        actions.getValue(fault)(host, target)
    }

    private fun stageTargets(): List<WorldTarget> = world.targetsOf(world.cell.pipeline.stage)

    private fun partition() {
        forTime(PARTITION, { world.partitioned = true }) { world.partitioned = false }
    }

    private fun forTime(time: Duration, begin: () -> Unit, end: () -> Unit) {
        begin()
        world.network.launch {
            delay(time)
            end()
        }
    }

    private fun killAndReplace(host: WorldHost) {
        forTime(RESTART, { host.kill() }) { world.start(host.name, host.dataCentre) }
    }

    private fun kill(target: WorldTarget) {
        forTime(REVIVAL, { target.kill() }) { target.alive = true }
    }

    private fun slow(target: WorldTarget) {
        forTime(SLOW, { target.slow = SLOW_FACTOR }) { target.slow = 1 }
    }

    private fun cutFromPlatform(host: WorldHost) {
        val cut = world.hosts.filter { it.dataCentre == host.dataCentre }
        forTime(OUTAGE, { cut.forEach { it.cutFromPlatform = true } }) {
            cut.forEach { it.cutFromPlatform = false }
        }
        driftDuring(OUTAGE)
    }

    private fun platformDown() {
        forTime(OUTAGE, { world.platform.faults = PlatformFaults(outage = true) }) {
            world.platform.faults = PlatformFaults()
        }
        driftDuring(OUTAGE)
    }

    /** Engines that forget their role make the holder want to give orders all the time. */
    private fun driftDuring(time: Duration) {
        world.network.launch {
            repeat(time.inWholeSeconds.toInt()) {
                world.engines.drift()
                delay(1.seconds)
            }
        }
    }

    private fun loseReply(host: WorldHost) {
        world.platform.loseReplies(1)
        write(host, "lost-reply", null)
    }

    private fun pauseHolder(host: WorldHost) {
        // With F2 the host itself stands still, so the holder is that of the other data centre.
        val paused = Fault.F2 in world.cell.faults
        val holder = world.hosts.first { (it.dataCentre == host.dataCentre) != paused }
        world.engines.drift()
        forTime(LEASE_PAUSE, { world.engines.delayedHolder = holder }) {
            world.engines.delayedHolder = null
        }
        world.network.launch {
            delay(2.seconds)
            holder.pause(LEASE_PAUSE)
        }
    }

    private fun race() {
        val revision = world.hosts.last().configuration.value.inForce.revision
        world.hosts.filter { it.alive }.forEach { write(it, "race-${it.name}", revision) }
    }

    private fun write(host: WorldHost, change: String, expected: Revision?) {
        world.network.launch {
            val edit = Change(change, expected) {
                it.with(Organisation(OrganisationName(change)))
            }
            val record = try {
                WriteRecord(change, host.writer.write(edit).value, null)
            } catch (failed: SapphireleverException) {
                WriteRecord(change, null, failed.code.text, failed.message.orEmpty())
            }
            world.recorder.writes.add(record)
        }
    }

    private fun poison() {
        world.poison = Callers.poisonedInput(world.cell.pipeline)
    }

    private fun cacheNews(host: WorldHost) {
        val now = world.clock.now() - CACHE_AGE
        val ids = stageTargets().map { it.target.id }
        host.routing.update { state ->
            ids.fold(state) { all, id -> all.onCacheEvent(id, "prefix", cached = true, now) }
                .onCacheGap(ids.first())
        }
    }

    /** The list keeps dead and leaving targets until it has caught up. */
    private fun listLags(target: WorldTarget) {
        val others = stageTargets().filter { it !== target }
        val gone = others.take(LISTED_DEAD) + others.takeLast(LISTED_LEAVING)
        others.take(LISTED_DEAD).forEach { it.kill() }
        others.takeLast(LISTED_LEAVING).forEach {
            it.leavingSince = world.clock.now()
            world.learnLeaving(it)
        }
        forTime(LIST_LAG, {}) { world.delist(gone) }
        world.network.launch {
            repeat(2) { round ->
                delay(AFTER_LEAVING)
                val host = world.hosts.firstOrNull { it.ready } ?: return@launch
                repeat(LATE_REQUESTS) { Callers(world).burst(host, round * LATE_REQUESTS + it) }
            }
        }
    }

    private fun slowLoads() {
        world.loadTime = OUTAGE
        world.engines.unload()
    }

    /** Planned stops, one host after the other; a new process starts before the next stop. */
    private fun replaceAll() {
        val old = world.hosts
        world.network.launch {
            for (host in old) {
                host.signal()
                delay(REPLACEMENT)
                world.start(host.name, host.dataCentre)
                delay(World.HEARTBEAT * 2)
            }
        }
    }

    private companion object {
        /** Faults that act at once on state that hosts read in each run. */
        val CERTAIN = setOf(
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
        val RESTART = 1.seconds
        val REVIVAL = 3.seconds
        val SLOW = 2.seconds
        val PARTITION = 5.seconds
        val OUTAGE = 60.seconds
        val REPLACEMENT = 10.seconds
        val CACHE_AGE = 500.milliseconds
        val LIST_LAG = 30.seconds

        /** Half of the time in which a leaving target must disappear, and a margin. */
        val AFTER_LEAVING = 1600.milliseconds
        const val LATE_REQUESTS = 12
        const val LISTED_DEAD = 2
        const val LISTED_LEAVING = 2
        const val SLOW_FACTOR = 10
        const val BURST = 60
    }
}
