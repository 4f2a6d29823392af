/*
 * Admission of forwarded requests.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class AdmissionDecisionTest {
    private val configured =
        CachedConfiguration()
            .adopted(
                configuration(
                    7,
                    route("wide"),
                    route("narrow", prefix = "/b/"),
                    route("open", host = "open.example", anonymous = true)
                )
            ).confirmed(clockReading(0))

    private data class Case(
        val name: String,
        val host: String = "a.example",
        val path: String = "/b/1",
        val key: String? = "key",
        val now: ClockReading = clockReading(100),
        val configuration: CachedConfiguration? = null,
        val expected: String
    )

    /**
     * Guards against 404 while no configuration is loaded, against accepting revoked keys, and
     * against routes that are served by a configuration that the host knows to be old.
     */
    private val cases =
        listOf(
            Case("longest prefix", expected = "narrow for krakow rank 1"),
            Case("shorter prefix", path = "/c", expected = "wide for krakow rank 1"),
            Case(
                "host name in another case",
                host = "A.EXAMPLE",
                expected = "narrow for krakow rank 1"
            ),
            Case("unknown host", host = "b.example", expected = "UnknownRoute"),
            Case("unknown key", key = "other", expected = "UnknownKey"),
            Case("no key", key = null, expected = "UnknownKey"),
            Case("anonymous", host = "open.example", key = null, expected = "open for null rank 2"),
            Case(
                "no configuration loaded",
                configuration = CachedConfiguration(),
                expected = "NotReady"
            ),
            Case(
                "stale by the monotonic clock",
                now = clockReading(4_100, 0),
                expected = "Unconfirmed"
            ),
            Case(
                "stale by the wall clock only",
                now = clockReading(100, 4_100),
                expected = "Unconfirmed"
            ),
            Case(
                "a stale configuration cannot tell that a route is unknown",
                host = "b.example",
                now = clockReading(4_100),
                expected = "Unconfirmed"
            ),
            Case(
                "an anonymous route needs no recent confirmation",
                host = "open.example",
                key = null,
                now = clockReading(60_000),
                expected = "open for null rank 2"
            ),
            Case(
                "an anonymous route while changes begin to arrive",
                host = "open.example",
                key = null,
                now = clockReading(2_500),
                configuration = configured.changesArrive(clockReading(1_500)),
                expected = "open for null rank 2"
            ),
            Case(
                "an anonymous route while changes arrive for too long",
                host = "open.example",
                key = null,
                now = clockReading(2_501),
                configuration =
                    configured
                        .changesArrive(clockReading(1_500))
                        .changesArrive(clockReading(2_400)),
                expected = "Unconfirmed"
            ),
            Case(
                "an unknown route while changes arrive for too long",
                host = "b.example",
                now = clockReading(2_600),
                configuration = configured.changesArrive(clockReading(1_500)),
                expected = "Unconfirmed"
            ),
            Case(
                "an anonymous route once the store cannot be reached",
                host = "open.example",
                key = null,
                now = clockReading(60_000),
                configuration = configured.changesArrive(clockReading(1_500)).storeUnreachable(),
                expected = "open for null rank 2"
            ),
            Case(
                "an anonymous route once the changes are applied",
                host = "open.example",
                key = null,
                now = clockReading(4_000),
                configuration =
                    configured.changesArrive(clockReading(500)).confirmed(clockReading(600)),
                expected = "open for null rank 2"
            )
        )

    @Test
    fun `a request is admitted by the cached configuration and its age`() {
        cases.forEach { case ->
            val identity = RequestIdentity("1", case.host, case.path, case.key)
            val admission =
                (case.configuration ?: configured).admit(
                    identity,
                    case.now,
                    ConfigurationBounds(
                        maximumConfigurationAge(5.seconds),
                        maximumSupersededTime(2.seconds)
                    )
                )
            assertEquals(case.expected, text(admission), case.name)
        }
    }

    @Test
    fun `an older configuration never replaces a newer one`() {
        val adopted = configured.adopted(configuration(6, route("old")))
        assertEquals(7, adopted.version)
        assertEquals(9, adopted.adopted(configuration(9)).version)
    }

    @Test
    fun `keys are rejected one second before the revocation limit`() {
        assertEquals(4_000.milliseconds, maximumConfigurationAge(5.seconds))
        assertEquals(0.milliseconds, maximumConfigurationAge(500.milliseconds))
    }

    private fun text(admission: Admission): String = when (admission) {
        is Admission.Granted ->
            "${admission.route.name} for ${admission.organisation} rank ${admission.rank}"

        else -> admission::class.simpleName.orEmpty()
    }
}
