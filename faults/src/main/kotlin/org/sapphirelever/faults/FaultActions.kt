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
    fun apply(fault: Fault, host: WorldHost, target: WorldTarget) {
        when (fault) {
            Fault.F1 -> killAndReplace(host)
            Fault.F2 -> host.pause(LEASE_PAUSE)
            Fault.F3 -> kill(target)
            Fault.F4 -> slow(target)
            Fault.F5 -> stageTargets().forEach { it.liesAboutLoad = true }
            Fault.F6 -> target.silent = true
            Fault.F7 -> partition()
            Fault.F8 -> cutFromPlatform(host)
            Fault.F9 -> platformDown()
            Fault.F10 -> loseReply(host)
            Fault.F11 -> pauseHolder(host)
            Fault.F12 -> race()
            Fault.F13 -> poison()
            Fault.F14 -> repeat(BURST) { Callers(world).burst(host, it) }
            Fault.F15 -> cacheNews(host)
            Fault.F16 -> target.crossed = true
            Fault.F17 -> listLags(target)
            Fault.F18 -> world.engines.orderWithOldFencing()
            Fault.F19 -> slowLoads()
            Fault.F20 -> replaceAll()
        }
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
        val holder = world.hosts.first { it.dataCentre == host.dataCentre }
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

    /** The list keeps a dead target and a leaving one. */
    private fun listLags(target: WorldTarget) {
        val others = stageTargets().filter { it !== target }
        others.first().kill()
        others.last().leavingSince = world.clock.now()
        world.learnLeaving(others.last())
    }

    private fun slowLoads() {
        world.loadTime = OUTAGE
        world.engines.drift()
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
        val RESTART = 1.seconds
        val REVIVAL = 3.seconds
        val SLOW = 2.seconds
        val PARTITION = 5.seconds
        val OUTAGE = 60.seconds
        val REPLACEMENT = 10.seconds
        val CACHE_AGE = 500.milliseconds
        const val SLOW_FACTOR = 10
        const val BURST = 60
    }
}
