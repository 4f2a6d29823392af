package org.sapphirelever.decisions.keys

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.minutes
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.Incarnation
import org.sapphirelever.core.MonotonicTime
import org.sapphirelever.core.OrganisationName

/** Guards against a key that runs twice, and against "not run" for a key that may have run. */
class KeyStateTest {
    private enum class Step {
        USE_OWNER,
        USE_OTHER,
        FINISH,
        LOSE,
        HAND_OVER,
        EXPIRE,
        SWEEP,
        OWNER_GONE
    }

    /** Two processes: the owner of the key and the successor that takes over its claims. */
    private data class World(
        val owner: KeyState<String> = KeyState(OWNER, sizeOf = { it.length }),
        val successor: KeyState<String> = KeyState(SUCCESSOR, sizeOf = { it.length }),
        val ownerAlive: Boolean = true,
        val now: MonotonicTime = MonotonicTime.ZERO,
        val runs: Int = 0
    )

    @Test
    fun `a key runs at most once in every order of steps`() {
        var reached = setOf(World())
        var states = reached
        repeat(DEPTH) {
            reached = reached.flatMap { world -> Step.entries.map { world.after(it) } }.toSet()
            states = states + reached
        }
        assertTrue(states.all { it.runs <= 1 })
        assertEquals(setOf(0, 1), states.map { it.runs }.toSet())
        println("KeyState worlds reached to depth $DEPTH: ${states.size}")
    }

    private fun World.after(step: Step): World = when (step) {
        Step.USE_OWNER -> if (ownerAlive) useOwner() else this
        Step.USE_OTHER -> useSuccessor()
        Step.FINISH -> if (ownerAlive) copy(owner = owner.finish(KEY, "done")) else this
        Step.LOSE -> if (ownerAlive) copy(owner = owner.finish(KEY, null)) else this
        Step.HAND_OVER -> if (ownerAlive) handOver() else this
        Step.EXPIRE -> copy(now = now + 11.minutes)
        Step.SWEEP -> copy(owner = owner.swept(now), successor = successor.swept(now))
        Step.OWNER_GONE -> copy(ownerAlive = false)
    }

    private fun World.useOwner(): World {
        val used = owner.use(KEY, FINGERPRINT, now)
        val action = used.actions.single()
        val refused = action as? KeyAction.RefuseNotRun
        if (refused != null) assertEquals(0, runs, "not run is reported after a run")
        return copy(owner = used.state, runs = runs + if (action == KeyAction.Run) 1 else 0)
    }

    private fun World.useSuccessor(): World {
        val used = successor.use(KEY, FINGERPRINT, now)
        val action = used.actions.single()
        assertTrue(action != KeyAction.Run && action !is KeyAction.RefuseNotRun, "$action")
        return copy(successor = used.state)
    }

    private fun World.handOver(): World {
        val stopped = owner.handOver()
        return copy(owner = stopped, successor = successor.takeOver(stopped.claims))
    }

    private data class KeyUseCase(
        val name: String,
        val state: KeyState<String>,
        val expected: KeyAction<String>,
        val fingerprint: Fingerprint = FINGERPRINT,
        val now: MonotonicTime = MonotonicTime.ZERO,
        val key: RequestKey = KEY
    )

    @Test
    fun `each use of a key is answered by the state of its claim`() {
        val fresh = KeyState<String>(OWNER, sizeOf = { it.length })
        val claimed = fresh.use(KEY, FINGERPRINT, MonotonicTime.ZERO).state
        val smallLimits = KeyLimits(maximumClaims = 1, maximumRetainedCharacters = 3)
        val expiry = MonotonicTime.ZERO + 10.minutes
        val unknown = KeyAction.RefuseUnknown(ErrorCode.KEY_OWNER_GONE)
        val cases =
            listOf(
                KeyUseCase("first", fresh, KeyAction.Run),
                KeyUseCase("second while running", claimed, KeyAction.Attach),
                KeyUseCase("after end", claimed.finish(KEY, "done"), KeyAction.Replay("done")),
                KeyUseCase("after an unknown outcome", claimed.finish(KEY, null), unknown),
                KeyUseCase("after not run", claimed.release(KEY), KeyAction.Run),
                KeyUseCase(
                    "other input",
                    claimed,
                    KeyAction.RefuseNotRun(ErrorCode.KEY_MISMATCH),
                    fingerprint = Fingerprint.of("other")
                ),
                KeyUseCase(
                    "expired",
                    fresh,
                    KeyAction.RefuseUnknown(ErrorCode.KEY_EXPIRED),
                    now = expiry
                ),
                KeyUseCase(
                    "issued in the future",
                    fresh,
                    KeyAction.RefuseNotRun(ErrorCode.KEY_MALFORMED),
                    key = KEY.copy(issuedAt = expiry)
                ),
                KeyUseCase("other owner", KeyState(SUCCESSOR, sizeOf = { 0 }), KeyAction.Forward),
                KeyUseCase(
                    "full",
                    claimed.copy(limits = smallLimits),
                    KeyAction.RefuseNotRun(ErrorCode.OVERLOADED),
                    key = KEY.copy(nonce = 2)
                ),
                KeyUseCase(
                    "outcome too long to keep",
                    claimed.copy(limits = smallLimits).finish(KEY, "done"),
                    unknown
                ),
                KeyUseCase(
                    "stopping",
                    fresh.handOver(),
                    KeyAction.RefuseNotRun(ErrorCode.STOPPING)
                )
            )
        for (case in cases) {
            val action = case.state.use(case.key, case.fingerprint, case.now).actions.single()
            assertEquals(case.expected, action, case.name)
        }
    }

    @Test
    fun `only the text that encode gives is a key`() {
        val text = KEY.encode()
        assertEquals(KEY, RequestKey.parse(text))
        val fields = text.split(".")
        val changed =
            fields.indices.flatMap { index ->
                listOf("", "0${fields[index]}", "+1", "=").map { field ->
                    fields.toMutableList().also { it[index] = field }.joinToString(".")
                }
            }
        val malformed = changed + listOf("", "$text.", " $text", "$text ", "k1", "x".repeat(5000))
        for (candidate in malformed) {
            val parsed = RequestKey.parse(candidate)
            assertTrue(parsed == null || parsed.encode() == candidate, candidate)
            assertTrue(parsed != KEY, candidate)
        }
    }

    private companion object {
        const val DEPTH = 7
        val OWNER = Incarnation("owner")
        val SUCCESSOR = Incarnation("successor")
        val FINGERPRINT = Fingerprint.of("organisation", "pipeline", "input")
        val KEY =
            RequestKey(
                OWNER,
                Endpoint("127.0.0.1", 7000),
                OrganisationName("kennels ńł.1"),
                MonotonicTime.ZERO,
                1
            )
    }
}
