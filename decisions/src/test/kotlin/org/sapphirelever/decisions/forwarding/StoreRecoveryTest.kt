/*
 * Decisions after the store returned from an older copy, and beliefs of a host after any order of
 * writes, returns and reads.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.TargetRecord
import org.sapphirelever.decisions.forwarding.AnswerUse.APPLY
import org.sapphirelever.decisions.forwarding.AnswerUse.DROP
import org.sapphirelever.decisions.forwarding.AnswerUse.LIST

class StoreRecoveryTest {
    private val first = StoreRecovery().observed(4, at(0))
    private val second = first.observed(5, at(20_000))

    private data class UseCase(
        val name: String,
        val recovery: StoreRecovery,
        val known: StorePosition?,
        val answer: StorePosition,
        val isListing: Boolean,
        val expected: AnswerUse
    )

    /** Guards against changes that a host misses, and against a late answer that it applies. */
    @Test
    fun `an answer is applied only if it continues what the host knows`() {
        listOf(
            UseCase("the first listing", first, null, position(9, 4), true, APPLY),
            UseCase("changes without a listing", first, null, position(9, 4), false, LIST),
            UseCase("changes", first, position(7, 4), position(9, 4), false, APPLY),
            UseCase("changes of a new era", second, position(7, 4), position(9, 5), false, LIST),
            UseCase("listing of a new era", second, position(7, 4), position(3, 5), true, APPLY),
            UseCase("late changes", second, position(3, 5), position(8, 4), false, DROP),
            UseCase("late listing", second, position(3, 5), position(8, 4), true, DROP),
            UseCase("late, before a listing", second, position(7, 4), position(8, 4), false, DROP),
            UseCase("no eras", StoreRecovery(), position(7), position(8), false, APPLY),
            UseCase("the first era", first, position(7), position(8, 4), false, LIST)
        ).forEach { case ->
            val use = case.recovery.use(case.known, case.answer, case.isListing)
            assertEquals(case.expected, use, case.name)
        }
    }

    private data class TimeCase(
        val name: String,
        val recovery: StoreRecovery,
        val seconds: Int,
        val settling: Boolean,
        val mayMissClaims: Boolean
    )

    /** Guards against hosts that are taken for gone early, and against a claim taken twice. */
    @Test
    fun `writers have time to write again and claims time to end`() {
        listOf(
            TimeCase("no eras", StoreRecovery().observed(0, at(0)), 0, false, false),
            TimeCase("start of this host", first, 7, false, true),
            TimeCase("claims ended since the start", first, 8, false, false),
            TimeCase("same era again", first.observed(4, at(9_000)), 9, false, false),
            TimeCase("returned", second, 20, true, true),
            TimeCase("claims ended since", second, 28, true, false),
            TimeCase("before the last host", second, 32, true, false),
            TimeCase("all wrote again", second, 33, false, false),
            TimeCase("twice in a row", second.observed(6, at(30_000)), 33, true, true),
            TimeCase("an earlier era, late", second.observed(4, at(30_000)), 33, false, false)
        ).forEach { case ->
            val now = at(case.seconds * 1_000L)
            assertEquals(case.settling, case.recovery.isSettling(now, HOSTS), case.name)
            assertEquals(case.mayMissClaims, case.recovery.mayMissClaims(now, CLAIM), case.name)
        }
    }

    private data class TargetCase(
        val name: String,
        val known: TargetDirectory,
        val listed: List<TargetRecord>,
        val usable: Boolean,
        val usableAfter: Boolean
    )

    private val ready = target("a", startedAt = 5).copy(sequence = 4)
    private val leaving = ready.copy(sequence = 6, leaving = true)
    private val other = target("b")
    private val known = TargetDirectory().put(ready, at(0))
    private val gone = known.removed(TargetId("a"), at(0))
    private val left = TargetDirectory().put(leaving, at(0))

    /**
     * Guards against work for a target that had left or ended before the return, and against a live
     * target that the copy does not have and that is taken for gone.
     */
    private val targetCases =
        listOf(
            TargetCase("listed", known, listOf(ready), usable = true, usableAfter = true),
            TargetCase("not in the copy", known, emptyList(), usable = true, usableAfter = false),
            TargetCase("new in the store", TargetDirectory(), listOf(ready), true, true),
            TargetCase("gone, in the copy", gone, listOf(ready), false, true),
            TargetCase(
                "gone, in the copy with a later heartbeat",
                gone,
                listOf(ready.copy(sequence = 5)),
                usable = false,
                usableAfter = true
            ),
            TargetCase("leaving, ready in the copy", left, listOf(ready), false, false),
            TargetCase(
                "leaving without a start time, ready in the copy",
                TargetDirectory().put(leaving.copy(startedAt = null), at(0)),
                listOf(ready.copy(startedAt = null)),
                usable = false,
                usableAfter = false
            ),
            TargetCase(
                "restarted, the earlier run in the copy",
                left.put(ready.copy(startedAt = 9, sequence = 1), at(0)),
                listOf(leaving),
                usable = true,
                usableAfter = true
            )
        )

    @Test
    fun `a copy of the store does not undo what a host knows of targets`() {
        for (case in targetCases) {
            val relisted =
                case.known.put(other, at(0)).relisted(case.listed + other, clockReading(1_000))
            assertEquals(case.usable, relisted.hasTarget(1_500), case.name)
            assertEquals(
                case.usableAfter,
                relisted.settled(at(12_000)).hasTarget(12_000),
                case.name
            )
            val ended = relisted.removed(TargetId("a"), at(5_000)).settled(at(12_000))
            assertEquals(false, ended.hasTarget(12_000), "${case.name}, then removed")
        }
    }

    private fun TargetDirectory.hasTarget(millis: Long): Boolean =
        usable(SERVICE, at(millis)).any { it.id == TargetId("a") }

    /** The store of the model: values by key, with the numbers that its writers give them. */
    private class ModelStore(var content: Map<String, Int> = emptyMap()) {
        var position = StorePosition(1, 1)
        var history = listOf<Pair<Long, Pair<String, Int?>>>()
        private var copies = listOf(Triple(content, position, history))

        fun write(key: String, value: Int?) {
            content = if (value == null) content - key else content + (key to value)
            position = position.copy(revision = position.revision + 1)
            history = history + (position.revision to (key to value))
            copies = copies + Triple(content, position, history)
        }

        /** Returns from one of the last copies; the writers write again what is lost. */
        fun returnFrom(random: Random) {
            val lost = content
            val (before, copied, events) = copies[random.nextInt(copies.size)]
            content = before
            history = events
            position = StorePosition(position.era + 1, copied.revision)
            (before.keys - lost.keys).forEach { write(it, null) }
            lost.filter { (key, value) -> before[key] != value }.forEach { write(it.key, it.value) }
        }
    }

    /** A host that reads the model by the same decisions as the feed. */
    private class ModelHost {
        var configuration = CachedConfiguration()
        var evacuations = Evacuations()
        private var recovery = StoreRecovery()
        private var known: StorePosition? = null
        private var clock = 0L

        fun read(store: ModelStore) {
            clock += 500
            recovery = recovery.observed(store.position.era, at(clock))
            val after = known
            when (recovery.use(after, store.position, isFullListing = after == null)) {
                APPLY -> if (after == null) list(store) else follow(store, after)
                LIST -> list(store)
                DROP -> error("a model answer is never late")
            }
            known = store.position
            evacuations = evacuations.read(store.position)
        }

        fun settle(store: ModelStore) {
            clock += 60_000
            evacuations = evacuations.settled(store.position, at(clock))
        }

        private fun follow(store: ModelStore, after: StorePosition) = store.history
            .filter { (revision, _) -> revision > after.revision }
            .forEach { (revision, change) ->
                apply(change, store.position.copy(revision = revision))
            }

        private fun list(store: ModelStore) {
            val present = store.content.keys.filter { it != VERSION }
                .associate { DataCentre(it) to store.revisionOf(it) }
            evacuations = if (recovery.isSettling(at(clock), HOSTS)) {
                evacuations.relisted(present, store.position, at(clock))
            } else {
                evacuations.listed(present, store.position, at(clock))
            }
            store.content[VERSION]?.let { adopt(it) }
        }

        private fun apply(change: Pair<String, Int?>, position: StorePosition) {
            val (key, value) = change
            if (key == VERSION) {
                value?.let { adopt(it) }
            } else {
                evacuations =
                    evacuations.changed(DataCentre(key), value != null, position, at(clock))
            }
        }

        private fun adopt(version: Int) {
            configuration = configuration.adopted(configuration(version.toLong()))
        }

        private fun ModelStore.revisionOf(key: String): Long =
            history.last { it.second.first == key }.first
    }

    /**
     * Guards against changes that a host never learns of: in any order of writes, returns and reads
     * it ends with what a host without memory reads, and never with an older configuration.
     */
    @Test
    fun `a host ends with what is in the store`() {
        for (seed in 1..SEEDS) {
            val random = Random(seed)
            val store = ModelStore()
            val host = ModelHost()
            var version = 0
            repeat(STEPS) {
                when (random.nextInt(CHOICES)) {
                    0 -> store.write(VERSION, ++version)

                    1, 2 -> store.write(
                        "z-${random.nextInt(2)}",
                        if (random.nextBoolean()) 1 else null
                    )

                    3 -> if (random.nextInt(4) == 0) store.returnFrom(random)

                    else -> host.read(store)
                }
                val before = host.configuration.version
                if (random.nextBoolean()) host.read(store)
                assertEquals(true, host.configuration.version >= before, "seed $seed: older")
            }
            host.read(store)
            host.settle(store)
            val fresh = ModelHost().apply { read(store) }
            assertEquals(version.toLong(), host.configuration.version, "seed $seed: version")
            val emptied = fresh.evacuations.emptied.keys
            assertEquals(emptied, host.evacuations.emptied.keys, "seed $seed: emptied")
        }
    }

    private companion object {
        const val HOSTS = 100
        const val VERSION = "version"
        const val SEEDS = 2_000
        const val STEPS = 40
        const val CHOICES = 6
        val CLAIM = 8.seconds
    }
}
