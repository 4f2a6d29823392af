package org.sapphirelever.decisions.suspicion

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.TargetIncarnation
import org.sapphirelever.decisions.keys.Fingerprint

/** Guards against crashes that go on, and against blocking what requests shared by chance. */
class CrashEvidenceTest {
    /** Crash of a target while it ran [requests], or, if [target] is null, their success. */
    private data class Event(val at: Duration, val target: String?, val requests: List<String>)

    private data class Case(
        val name: String,
        val events: List<Event>,
        val blocked: Set<String>,
        val askedAt: Duration = 20.seconds
    )

    private val cases =
        listOf(
            Case("two crashes", crashes(2) { listOf("common,dead,own$it") }, emptySet()),
            Case("three crashes", crashes(3) { listOf("common,dead,own$it") }, setOf("dead")),
            Case(
                "the part comes first",
                survived("common,a") + crashes(3) { listOf("dead,common,own$it") },
                setOf("dead")
            ),
            Case(
                "others were lost in the same crashes",
                survived("common,a") +
                    crashes(4) { listOf("common,dead,own$it", "common,a,x$it", "common,b,y$it") },
                setOf("dead")
            ),
            Case(
                "requests with the common part succeed in between",
                crashes(6) { listOf("common,dead$it,own$it") } + survived("common,a", 5_500),
                emptySet()
            ),
            Case(
                "a part that requests survived before",
                survived("common,dead") + crashes(4) { listOf("dead,own$it") },
                emptySet()
            ),
            Case(
                "a part that requests survived before crashes many",
                survived("common,dead") + crashes(5) { listOf("dead,own$it") },
                setOf("dead")
            ),
            Case(
                "targets that fail at the same moment",
                crashes(8, 10) { listOf("common,a,own$it") },
                emptySet()
            ),
            Case(
                "a request survives the blocked part",
                crashes(3) { listOf("common,dead,own$it") } + survived("common,dead", 9_000),
                emptySet()
            ),
            Case(
                "two parts",
                survived("common,a") + crashes(3) { listOf("common,dead,own$it") } +
                    crashes(3, 900, "u") { listOf("common,dead2,own$it") },
                setOf("dead", "dead2")
            ),
            Case(
                "expired",
                crashes(3) { listOf("common,dead,own$it") },
                emptySet(),
                10.minutes + 3.seconds
            ),
            Case("one request sent again", crashes(2) { listOf("common,a,same") }, setOf("=same"))
        )

    @Test
    fun `crashes are attributed to the trait that explains them`() {
        cases.forEach { case ->
            val events = case.events.sortedBy { it.at }
            val evidence = events.fold(CrashEvidence()) { all, event -> all.apply(event) }
            val now = START + case.askedAt
            val names = case.events.flatMap { it.requests }.flatMap { traitNames(it) }.toSet()
            val blocked = names.filter {
                evidence.blockOf(listOf(traitOf(it)), now) != null
            }.toSet()
            assertEquals(case.blocked, blocked, case.name)
        }
    }

    @Test
    fun `hosts that saw one crash each block the part together`() {
        val reports =
            crashes(3) { listOf("common,dead,own$it") }.map { event ->
                CrashEvidence().apply(Event(0.seconds, null, listOf("common,a"))).apply(event)
            }
        val evidence =
            reports.fold(CrashEvidence()) { all, report ->
                all.received(report.publication(), START)
            }
        assertEquals(setOf(traitOf("dead").fingerprint), evidence.blocks.keys.toSet())
    }

    @Test
    fun `trials of a blocked part become rare`() {
        var evidence = CrashEvidence()
        var now = START
        var trials = 0
        crashes(3) { listOf("common,dead,own$it") }.forEach { evidence = evidence.apply(it) }
        while (now - START < 4.minutes) {
            now += 100.milliseconds
            val block = checkNotNull(evidence.blockOf(listOf(traitOf("dead")), now))
            if (now < block.trialDueAt) continue
            trials++
            val target = TargetIncarnation(TargetId("trial-$trials"), null)
            evidence = evidence.crashed(target, listOf(traitOf("dead")), now)
        }
        assertTrue(trials in 1..3, "$trials trials")
    }

    @Test
    fun `state stays bounded under many distinct parts`() {
        val full =
            (0..20_000).fold(CrashEvidence()) { all, number ->
                all.survived(listOf(traitOf("part$number")), START)
            }
        assertTrue(full.own.survivals.size <= CrashEvidence.MAXIMUM_SURVIVALS)
        val crashed =
            (0..100).fold(CrashEvidence()) { all, number ->
                val traits = List(200) { traitOf("part$number-$it") }
                all.crashed(TargetIncarnation(TargetId("t$number"), null), traits, START)
            }
        val crashes = crashed.publication().crashes
        assertEquals(CrashEvidence.MAXIMUM_CRASHES, crashes.size)
        assertTrue(crashes.values.all { it.traits.size <= CrashEvidence.MAXIMUM_TRAITS })
    }

    private fun CrashEvidence.apply(event: Event): CrashEvidence {
        val now = START + event.at
        return event.requests.fold(this) { all, request ->
            val traits = traitNames(request).mapIndexed { depth, name -> traitOf(name, depth) }
            val target = event.target
            if (target == null) {
                all.survived(traits, now)
            } else {
                all.crashed(TargetIncarnation(TargetId(target), null), traits, now)
            }
        }
    }

    private companion object {
        val START = MonotonicTime(0) + 60.minutes

        /** [count] crashes of different targets, [gapMillis] apart. */
        fun crashes(
            count: Int,
            gapMillis: Int = 1_000,
            prefix: String = "t",
            requests: (Int) -> List<String>
        ): List<Event> = (1..count).map {
            Event((it * gapMillis).milliseconds, "$prefix$it", requests(it))
        }

        fun survived(request: String, atMillis: Int = 0): List<Event> =
            listOf(Event(atMillis.milliseconds, null, listOf(request)))

        /** The last name of a request is its own; it stands for the whole request. */
        fun traitNames(request: String): List<String> {
            val names = request.split(',')
            return names.dropLast(if (names.size > 2) 1 else 0).ifEmpty { names } +
                "=${names.last()}"
        }

        fun traitOf(name: String, depth: Int = 0): RequestTrait = if (name.startsWith("=")) {
            RequestTrait.ofRequest(Fingerprint.of(name))
        } else {
            RequestTrait.ofPromptPart(name, depth)
        }
    }
}
