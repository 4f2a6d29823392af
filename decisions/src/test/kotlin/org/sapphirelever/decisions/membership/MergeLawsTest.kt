package org.sapphirelever.decisions.membership

import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.HostId
import org.sapphirelever.core.Incarnation
import org.sapphirelever.core.MonotonicTime

/** Guards against tables that never become equal because messages arrived in another order. */
class MergeLawsTest {
    @Property(tries = 500, seed = "41")
    fun `merge is commutative, associative and idempotent`(
        @ForAll("records") first: Member,
        @ForAll("records") second: Member,
        @ForAll("records") third: Member
    ) {
        assertEquals(first, first.merge(first))
        assertEquals(first.merge(second), second.merge(first))
        assertEquals(first.merge(second).merge(third), first.merge(second.merge(third)))
    }

    @Property(tries = 200, seed = "42")
    fun `a table does not depend on order or repetition of updates`(
        @ForAll("updates") updates: List<Member>,
        @ForAll shuffle: Long
    ) {
        val now = MonotonicTime.ZERO
        val start = MembershipState.starting(member(0), now)
        val others = updates.filter { it.id != start.own.id }
        val inOrder = start.on(MembershipEvent.Received(null, others, now)).state
        val shuffled = (others + others).shuffled(Random(shuffle))
            .fold(start) { state, update ->
                state.on(MembershipEvent.Received(null, listOf(update), now)).state
            }
        assertEquals(
            inOrder.members.mapValues { it.value.member },
            shuffled.members.mapValues { it.value.member }
        )
        assertEquals(inOrder.tableHash, shuffled.tableHash)
    }

    @Property(tries = 100, seed = "43")
    fun `links reach every host of a data centre and their number stays logarithmic`(
        @ForAll shuffle: Long
    ) {
        val size = Random(shuffle).nextInt(1, 200)
        val members = (0 until size).map { member(it, "h$shuffle") }
        val links = members.associate { own ->
            val state = MembershipState.starting(own, MonotonicTime.ZERO)
                .on(MembershipEvent.Received(null, members - own, MonotonicTime.ZERO)).state
            own.id to state.desiredLinks()
        }
        var reached = setOf(members.first().id)
        while (true) {
            val further = reached + reached.flatMap { links.getValue(it) }
            if (further == reached) break
            reached = further
        }
        assertEquals(size, reached.size)
        assertTrue(links.values.all { it.size <= Int.SIZE_BITS - size.countLeadingZeroBits() })
    }

    @Provide
    fun records(): Arbitrary<Member> = Combinators.combine(
        Arbitraries.integers().between(0, 3),
        Arbitraries.of(MemberStatus.entries)
    ).`as` { version, status -> member(1).copy(version = version, status = status) }

    @Provide
    fun updates(): Arbitrary<List<Member>> = Combinators.combine(
        Arbitraries.integers().between(0, 5),
        Arbitraries.integers().between(0, 3),
        Arbitraries.of(MemberStatus.entries)
    ).`as` { number, version, status -> member(number).copy(version = version, status = status) }
        .list().ofMaxSize(12)

    private fun member(number: Int, prefix: String = "i"): Member = Member(
        id = MemberId(Incarnation("$prefix$number")),
        host = HostId("host-$number"),
        dataCentre = DataCentre("krakow-a"),
        peer = Endpoint("127.0.0.1", number),
        http = Endpoint("127.0.0.1", number)
    )
}
