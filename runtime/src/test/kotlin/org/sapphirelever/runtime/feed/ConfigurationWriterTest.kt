package org.sapphirelever.runtime.feed

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.test.runTest
import org.sapphirelever.core.OrganisationName
import org.sapphirelever.core.Revision
import org.sapphirelever.core.SapphireleverException
import org.sapphirelever.core.resource.Organisation

/** Guards against lost, duplicate or misreported configuration writes. */
class ConfigurationWriterTest {
    /** [others] maps the number of a swap, from 1, to the number of other writes just before it. */
    private data class Case(
        val name: String,
        val faults: List<SwapFault> = emptyList(),
        val others: Map<Int, Int> = emptyMap(),
        val expected: Revision? = null,
        val down: Boolean = false,
        val result: String
    )

    private val cases = listOf(
        Case("a plain write is accepted", result = "accepted 2"),
        Case("a lost reply is read back", listOf(SwapFault.REPLY_LOST), result = "accepted 2"),
        Case(
            "a write that did not happen is sent again under its identity",
            listOf(SwapFault.NOT_DONE_AND_REPLY_LOST),
            result = "accepted 2"
        ),
        Case(
            "another write wins and the change is applied on top",
            others = mapOf(1 to 1),
            result = "accepted 3"
        ),
        Case(
            "the operator's expected revision makes it a conflict with the winner",
            others = mapOf(1 to 3),
            expected = Revision(1),
            result = "revision-conflict revision 2 won, written by change other-1"
        ),
        Case(
            "a conflict after a lost reply is reported as a conflict",
            listOf(SwapFault.NOT_DONE_AND_REPLY_LOST),
            others = mapOf(1 to 1),
            expected = Revision(1),
            result = "revision-conflict revision 2 won, written by change other-1"
        ),
        Case(
            "more than 256 changes after a lost reply leave it unknown",
            listOf(SwapFault.NOT_DONE_AND_REPLY_LOST),
            others = mapOf(1 to 257),
            result = "write-unknown"
        ),
        Case(
            "a refusal writes nothing",
            listOf(SwapFault.REFUSED),
            result = "platform-unavailable"
        ),
        Case(
            "a refusal after a lost reply leaves it unknown",
            listOf(SwapFault.NOT_DONE_AND_REPLY_LOST, SwapFault.REFUSED),
            result = "write-unknown"
        ),
        Case("an outage writes nothing", down = true, result = "platform-unavailable"),
        Case(
            "an operator that loses five races gets a conflict with the last winner",
            others = (1..5).associateWith { 1 },
            result = "revision-conflict revision 6 won, written by change other-5"
        )
    )

    @Test
    fun `replies of the platform determine the result of the write`() = runTest {
        for (case in cases) {
            val platform = FakePlatform()
            val other = ConfigurationWriter(platform)
            other.write(change("first"))
            var swaps = 0
            var others = 0
            var racing = false
            platform.beforeSwap = {
                if (!racing) {
                    racing = true
                    repeat(case.others[++swaps] ?: 0) { other.write(change("other-${++others}")) }
                    racing = false
                }
            }
            platform.faults.addAll(case.faults)
            platform.down = case.down
            assertEquals(case.result, result(platform, "own", case.expected), case.name)
        }
    }

    /** Guards against an answer with the newest revision instead of that of the own change. */
    @Test
    fun `a retry of an operator returns the revision of its own change`() = runTest {
        val platform = FakePlatform()
        val writer = ConfigurationWriter(platform)
        assertEquals("accepted 1", result(platform, "own", Revision(0)))
        repeat(3) { writer.write(change("other-$it")) }
        assertEquals("accepted 1", result(platform, "own", Revision(0)))
    }

    /** Guards against a write with a lost reply that takes effect only after the reader's watch. */
    @Test
    fun `an accepted configuration is offered to the host that wrote it`() = runTest {
        for (fault in listOf(SwapFault.NONE, SwapFault.REPLY_LOST)) {
            val platform = FakePlatform().apply { faults.add(fault) }
            val offered = mutableListOf<Long>()
            ConfigurationWriter(platform) { offered.add(it.revision.value) }.write(change("own"))
            assertEquals(1, offered.max(), "$fault")
        }
    }

    @Test
    fun `exactly one of several operators with lost replies wins a revision`() = runTest {
        val platform = FakePlatform()
        val faults = listOf(SwapFault.REPLY_LOST, SwapFault.NOT_DONE_AND_REPLY_LOST)
        platform.faults.addAll((0 until 20).map { faults[it % 2] })
        val results = (1..8).map {
            async { result(platform, "racer-$it", Revision(0)) }
        }.awaitAll()
        assertEquals(1, results.count { it == "accepted 1" }, results.toString())
        assertEquals(7, results.count { it.startsWith("revision-conflict revision 1 won") })
    }

    private suspend fun result(
        platform: FakePlatform,
        identity: String,
        expected: Revision?
    ): String = try {
        "accepted ${ConfigurationWriter(platform).write(change(identity, expected))}"
    } catch (failure: SapphireleverException) {
        val detail = failure.message.orEmpty().takeIf { it != failure.code.meaning }
        listOfNotNull(failure.code.text, detail).joinToString(" ")
    }

    private fun change(identity: String, expected: Revision? = null) =
        Change(identity, expected) { it.with(Organisation(OrganisationName(identity))) }
}
